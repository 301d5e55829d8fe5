package state

// QuantityKind tells when what was used of a quantity may be used again.
type QuantityKind int

// The kinds of quantity.
const (
	Occupancy QuantityKind = iota // once the request that uses it ends
	Rate                          // a window after it was used
)

// Quantity is something that is divided among the controllers. Its unit is the matter of whoever configures it.
type Quantity struct {
	Name         string       `msgpack:"Name"`
	Kind         QuantityKind `msgpack:"Form"`
	Total        float64      `msgpack:"Whole"`
	FloorReserve float64      `msgpack:"Aside"`  // of Total; never allocated, it covers the floors of controllers without a lease
	Window       float64      `msgpack:"Window"` // seconds; of a Rate
}

// Allocation is what a controller holds of a quantity.
type Allocation struct {
	Amount    float64 `msgpack:"Amount"` // that it may use, as it has been told or will be
	Committed float64 `msgpack:"Bound"`  // that it may still be using; never below Amount
	Revision  uint64  `msgpack:"Number"` // of the last change of Amount; rises over the whole state, so also across an expiry and a new join
}

// Configure replaces what is divided and which tasks there are by those of a later generation. Scheduled jobs that are not
// named are dropped once none of their runs is open.
type Configure struct {
	Generation    uint64
	Quantities    []Quantity
	Tasks         []Task
	ScheduledJobs []string
}

// Command encodes the configuration.
func (c Configure) Command() Command {
	return Command{Op: OpConfigure, Generation: c.Generation, Quantities: c.Quantities, Tasks: c.Tasks, ScheduledJobs: c.ScheduledJobs}
}

// configure keeps the allocations of quantities that stay. A total that was lowered takes effect as controllers settle.
func (m *Machine) configure(c Configure) error {
	if c.Generation <= m.Generation {
		return reject(ErrStaleGeneration, "generation %d is not later than %d", c.Generation, m.Generation)
	}
	next, err := m.checkQuantities(c.Quantities)
	if err != nil {
		return err
	}
	if err := m.configureTasks(c.Tasks); err != nil {
		return err
	}
	for name := range m.Quantities {
		if _, stays := next[name]; !stays {
			for _, controller := range m.Controllers {
				delete(controller.Allocations, name)
			}
		}
	}
	m.Generation, m.Quantities = c.Generation, next
	m.dropUnnamedJobs(c.ScheduledJobs)
	return nil
}

// checkQuantities gives quantities by name, if they may replace the present ones.
func (m *Machine) checkQuantities(quantities []Quantity) (map[string]Quantity, error) {
	next := map[string]Quantity{}
	for _, q := range quantities {
		if q.Name == "" || !(q.Total >= 0) || !(q.FloorReserve >= 0) || q.FloorReserve > q.Total || q.Kind == Rate && !(q.Window > 0) {
			return nil, reject(ErrInvalid, "quantity %q is not whole", q.Name)
		}
		if old, known := m.Quantities[q.Name]; known && old.Kind != q.Kind {
			return nil, reject(ErrInvalid, "quantity %q can't change its form", q.Name)
		}
		if _, twice := next[q.Name]; twice {
			return nil, reject(ErrInvalid, "quantity %q stands there twice", q.Name)
		}
		next[q.Name] = q
	}
	return next, nil
}

// Allocate changes the amount that a controller may use of a quantity.
type Allocate struct {
	Controller ControllerID
	Quantity   string
	Amount     float64
}

// Command encodes the allocation.
func (a Allocate) Command() Command {
	return Command{Op: OpAllocate, Controller: a.Controller, Subject: a.Quantity, Amount: a.Amount}
}

// allocate sets an amount. Less stays committed until the controller has settled; more is given as far as it is available.
func (m *Machine) allocate(controller *Controller, name string, amount float64) error {
	quantity, known := m.Quantities[name]
	held := controller.Allocations[name]
	switch {
	case !known:
		return reject(ErrInvalid, "no quantity %q", name)
	case !(amount >= 0):
		return reject(ErrInvalid, "%q: no amount %g", name, amount)
	case controller.Replaced && amount > held.Amount:
		return reject(ErrStaleIncarnation, "%s of incarnation %d is replaced", controller.Name, controller.Incarnation)
	case quantity.Kind == Rate && amount > held.Amount && held.Committed > held.Amount: // what was given up counts for a window more
		return reject(ErrInvalid, "%q: %s has not settled", name, controller.Name)
	}
	if amount > held.Committed {
		amount = min(amount, held.Committed+m.Available(name))
	}
	if amount == held.Amount {
		return nil
	}
	controller.Allocations[name] = Allocation{Amount: amount, Committed: max(held.Committed, amount), Revision: m.AppliedCommands}
	return nil
}

// Settle records that a controller keeps to the allocation of a revision, and how much it still uses.
type Settle struct {
	Controller ControllerID
	Quantity   string
	Revision   uint64
	Used       float64
}

// Command encodes the settlement.
func (s Settle) Command() Command {
	return Command{Op: OpSettle, Controller: s.Controller, Subject: s.Quantity, Number: s.Revision, Amount: s.Used}
}

// settle frees what a controller neither may use nor uses. What it uses beyond its amount stays committed: no request is
// cancelled for it.
func (m *Machine) settle(controller *Controller, name string, revision uint64, used float64) error {
	held, known := controller.Allocations[name]
	switch {
	case !known || held.Revision != revision:
		return reject(ErrFenced, "%q: %s has number %d, not %d", name, controller.Name, held.Revision, revision)
	case !(used >= 0):
		return reject(ErrInvalid, "%q: no use %g", name, used)
	}
	held.Committed = min(max(held.Amount, used), held.Committed)
	controller.Allocations[name] = held
	if held.Committed == 0 && held.Amount == 0 && controller.Replaced {
		delete(controller.Allocations, name)
	}
	return nil
}

// Total is what there is of a quantity, with an operator's override, and how much of that is reserved for floors.
func (m *Machine) Total(name string) (total, floorReserve float64) {
	return m.effectiveTotal(name), m.Quantities[name].FloorReserve
}

// effectiveTotal is an operator's override of a total, else the configured one.
func (m *Machine) effectiveTotal(name string) float64 {
	if override, set := m.Overrides[OverrideKey(TeamBudget, name)]; set && !override.Revoked {
		return override.Amount
	}
	return m.Quantities[name].Total
}

// TotalCommitted is what all controllers together may still be using of a quantity.
func (m *Machine) TotalCommitted(name string) (sum float64) {
	for _, controller := range m.SortedControllers() { // in one order, so that the sum is the same on every voter
		sum += controller.Allocations[name].Committed
	}
	return sum
}

// Available is what may still be allocated of a quantity.
func (m *Machine) Available(name string) float64 {
	total, floorReserve := m.Total(name)
	return max(total-floorReserve-m.TotalCommitted(name), 0)
}
