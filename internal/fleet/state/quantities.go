package state

// QuantityKind determines when a used amount becomes available again.
type QuantityKind int

// The kinds of quantity.
const (
	Occupancy QuantityKind = iota // an amount is available again when the request that uses it ends
	Rate                          // an amount is available again one window after it was used
)

// Quantity is a resource that is divided among the controllers. Its unit is defined by whoever configures it.
type Quantity struct {
	Name         string       `msgpack:"Name"`
	Kind         QuantityKind `msgpack:"Form"`
	Total        float64      `msgpack:"Whole"`
	FloorReserve float64      `msgpack:"Aside"`  // part of Total never allocated: covers the floors of controllers without a lease
	Window       float64      `msgpack:"Window"` // seconds, for a Rate
}

// Allocation is what a controller holds of a quantity.
type Allocation struct {
	Amount    float64 `msgpack:"Amount"` // amount that it may use, according to its current or its next lease
	Committed float64 `msgpack:"Bound"`  // amount that it may still be using, never less than Amount
	Revision  uint64  `msgpack:"Number"` // of the last change of Amount; increases across the whole state, even when a name rejoins
}

// Configure replaces the quantities, tasks and scheduled jobs by those of a later generation. A scheduled job that is not
// listed keeps its open runs and its latest due time.
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

// configure keeps the allocations of quantities that are still configured. A lowered total takes effect as controllers
// settle.
func (m *Machine) configure(c Configure) error {
	if c.Generation <= m.Generation {
		return reject(ErrStaleGeneration, "configuration generation %d is not later than %d", c.Generation, m.Generation)
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
	m.listJobs(c.ScheduledJobs)
	return nil
}

// checkQuantities validates quantities that are to replace the current ones, and returns them by name.
func (m *Machine) checkQuantities(quantities []Quantity) (map[string]Quantity, error) {
	next := map[string]Quantity{}
	for _, q := range quantities {
		if q.Name == "" || !(q.Total >= 0) || !(q.FloorReserve >= 0) || q.FloorReserve > q.Total || q.Kind == Rate && !(q.Window > 0) {
			return nil, reject(ErrInvalid, "quantity %q has an invalid name, total, floor reserve or window", q.Name)
		}
		if old, exists := m.Quantities[q.Name]; exists && old.Kind != q.Kind {
			return nil, reject(ErrInvalid, "the kind of quantity %q can't be changed", q.Name)
		}
		if _, duplicate := next[q.Name]; duplicate {
			return nil, reject(ErrInvalid, "quantity %q is listed twice", q.Name)
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

// allocate sets an amount. After a decrease, the previous amount stays committed until the controller has settled. An
// increase is limited to what is available.
func (m *Machine) allocate(controller *Controller, name string, amount float64) error {
	quantity, exists := m.Quantities[name]
	current := controller.Allocations[name]
	switch {
	case !exists:
		return reject(ErrInvalid, "unknown quantity %q", name)
	case !(amount >= 0):
		return reject(ErrInvalid, "quantity %q: invalid amount %g", name, amount)
	case controller.Replaced && amount > current.Amount:
		return reject(ErrStaleIncarnation, "controller %s of incarnation %d has been replaced", controller.Name, controller.Incarnation)
	case quantity.Kind == Rate && amount > current.Amount && current.Committed > current.Amount:
		// What was used of a rate before its decrease still counts for a window.
		return reject(ErrInvalid, "quantity %q: controller %s has not settled its last decrease", name, controller.Name)
	}
	if amount > current.Committed {
		amount = min(amount, current.Committed+m.Available(name))
	}
	if amount == current.Amount {
		return nil
	}
	controller.Allocations[name] = Allocation{Amount: amount, Committed: max(current.Committed, amount), Revision: m.AppliedCommands}
	return nil
}

// Settle records that a controller applies the allocation of a revision, and how much it still uses.
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

// settle frees the committed amount that a controller neither may use nor still uses. What it uses beyond its amount stays
// committed, because no request is cancelled to release it.
func (m *Machine) settle(controller *Controller, name string, revision uint64, used float64) error {
	current, exists := controller.Allocations[name]
	switch {
	case !exists || current.Revision != revision:
		return reject(ErrFenced, "quantity %q: the allocation of controller %s has revision %d, not %d", name, controller.Name, current.Revision, revision)
	case !(used >= 0):
		return reject(ErrInvalid, "quantity %q: invalid used amount %g", name, used)
	}
	current.Committed = min(max(current.Amount, used), current.Committed)
	controller.Allocations[name] = current
	if current.Committed == 0 && current.Amount == 0 && controller.Replaced {
		delete(controller.Allocations, name)
	}
	return nil
}

// Total returns the total of a quantity, with an operator's override applied, and how much of it is reserved for floors.
func (m *Machine) Total(name string) (total, floorReserve float64) {
	return m.effectiveTotal(name), m.Quantities[name].FloorReserve
}

// effectiveTotal returns an operator's override of a total, or the configured total if there is none.
func (m *Machine) effectiveTotal(name string) float64 {
	if override, exists := m.Overrides[OverrideKey(TeamBudget, name)]; exists && !override.Revoked {
		return override.Amount
	}
	return m.Quantities[name].Total
}

// TotalCommitted returns how much all controllers together may still be using of a quantity.
func (m *Machine) TotalCommitted(name string) (sum float64) {
	for _, controller := range m.SortedControllers() { // in a fixed order, so that the sum is the same on every voter
		sum += controller.Allocations[name].Committed
	}
	return sum
}

// Available returns how much may still be allocated of a quantity.
func (m *Machine) Available(name string) float64 {
	total, floorReserve := m.Total(name)
	return max(total-floorReserve-m.TotalCommitted(name), 0)
}
