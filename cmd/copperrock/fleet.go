package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/sharedwork"
)

// What a fleet divides is named by these.
const (
	teamQuantity    = sharedwork.TeamQuantityPrefix
	enginesQuantity = "engines"
	furtherQuantity = "further dispatches"
)

// sections are the parts of the operator's settings that parts of the program declare.
var sections = []operator.Section{fleetSection, dutySection, storeSection}

// fleetSection is the section of the operator's settings on the fleet.
var fleetSection = operator.Section{Name: "fleet", Text: fleet.About, Declare: func(s *operator.Settings, o *schema.Object) any {
	f := &fleet.Options{Self: s.Name}
	f.Declare(o)
	for _, b := range s.Teams.Budgets {
		switch {
		case b.FleetWide && !f.Enabled():
			o.AddError("voters", "are missing: team %s has a budget of scope fleet", b.Name)
		case b.FleetWide:
			f.AddOccupancy(teamQuantity+b.Name, b.Limit)
		}
	}
	if f.DivideEngines && f.Enabled() {
		f.AddOccupancy(enginesQuantity, 1)
	}
	if b := s.Config.Settings.Admission; f.FurtherAttempts > 0 && f.Enabled() {
		f.AddRate(furtherQuantity, f.FurtherAttempts, b.RetryBudgetWindow)
		if b.RetryBudgetWindow == 0 {
			o.AddError("further", "needs deployment.rules.further_window, over which it is counted")
		}
	}
	return f
}}

// fleetOf is what the settings say of the fleet; none is nil.
func fleetOf(s *operator.Settings) *fleet.Options {
	f, _ := s.Sections[fleetSection.Name].(*fleet.Options)
	return f
}

// spends lets a gateway hold parts.
type spends struct {
	gateway *gateway.Gateway
	options *fleet.Options
}

// Usage tells what the gateway uses of each quantity.
func (s spends) Usage() (uses []fleet.Usage) {
	for _, q := range s.options.Quantities {
		var u gateway.Usage
		team, is := strings.CutPrefix(q.Name, teamQuantity)
		switch {
		case is:
			u = s.gateway.TeamUsage(team)
		case q.Name == furtherQuantity:
			u = s.gateway.RetryUsage()
		default:
			u = s.gateway.EngineUsage()
		}
		uses = append(uses, fleet.Usage{Quantity: q.Name, Used: u.Used, Demand: u.Wanted})
	}
	return uses
}

// SetQuotas tells the gateway what it may use.
func (s spends) SetQuotas(shares []fleet.Quota) {
	for _, share := range shares {
		part := gateway.Quota{Limit: share.Limit, Leased: share.LeaseValid}
		team, is := strings.CutPrefix(share.Quantity, teamQuantity)
		switch {
		case is:
			s.gateway.SetTeamQuota(team, part)
		case share.Quantity == furtherQuantity:
			s.gateway.SetRetryQuota(part)
		default:
			s.gateway.SetEngineQuota(part)
		}
	}
}

type fleetSettings struct {
	Settings string `env:"COPPERROCK_SETTINGS" placeholder:"FILE" help:"The operator's settings; docs/settings.md lists them."`
}

func (c fleetSettings) read() (*fleet.Options, error) {
	s, err := read(c.Settings, "")
	if err != nil {
		return nil, err
	}
	f := fleetOf(s)
	if !f.Enabled() {
		return nil, fmt.Errorf("%s: names no voters, so there is no fleet", c.Settings)
	}
	return f, nil
}

type fleetInit struct {
	fleetSettings
	Join bool `help:"In a fleet that runs: this voter takes another's place, under a number never used before."`
}

// Run makes the votes of this voter of a new fleet.
func (c *fleetInit) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	if err := fleet.InitVoter(f, c.Join); err != nil {
		return err
	}
	what := "in the new fleet"
	if c.Join {
		what = "which is to be taken into the fleet"
	}
	fmt.Fprintf(out, "%s: votes of %s %s %s\n", f.RaftLogPath(), f.Self, what, f.Name)
	return nil
}

type fleetStatus struct {
	fleetSettings
	Within time.Duration `default:"3s" help:"How long to wait for a voter."`
}

// Run prints what the voters know.
func (c *fleetStatus) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	var best *fleet.Status
	for _, v := range f.Voters {
		ctx, cancel := context.WithTimeout(context.Background(), c.Within)
		view, err := fleet.QueryStatus(ctx, f, v.Address)
		cancel()
		if err != nil {
			fmt.Fprintf(out, "%s at %s: %v\n", v.Name, v.Address, err)
			continue
		}
		what := "follows"
		if view.IsLeader {
			what = "leads"
		}
		fmt.Fprintf(out, "%s at %s: %s, term %d\n", v.Name, v.Address, what, view.Term)
		if best == nil || view.IsLeader && (!best.IsLeader || view.Term > best.Term) {
			best = &view
		}
	}
	if best == nil {
		return fmt.Errorf("no voter of %s answers", f.Name)
	}
	printView(out, *best)
	return nil
}

// leader asks the voters until one that leads tells what it knows.
func leader(f *fleet.Options, within time.Duration) (best fleet.Status, err error) {
	err = fmt.Errorf("no voter of %s leads that could be reached", f.Name)
	for _, v := range f.Voters {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		view, bad := fleet.QueryStatus(ctx, f, v.Address)
		cancel()
		if bad == nil && view.IsLeader && view.Term >= best.Term {
			best, err = view, nil
		}
	}
	return best, err
}

// printView prints the parts of each quantity and their sums.
func printView(out io.Writer, view fleet.Status) {
	fmt.Fprintf(out, "\n%d controllers, voters %d, generation %d of what is divided\n", len(view.Controllers), view.Voters, view.Generation)
	for _, q := range view.Quantities {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(out, "\n%s: %.6g, %.6g of it set aside\n", q.Name, q.Total, q.FloorReserve)
		fmt.Fprintln(w, "controller\tmay use\tbound to\tuses\twould use\t")
		amount, bound := 0.0, 0.0
		for _, p := range q.Allocations {
			fmt.Fprintf(w, "%s\t%.6g\t%.6g\t%.6g\t%.6g\t\n", p.Controller, p.Amount, p.Committed, p.Used, p.Wanted)
			amount, bound = amount+p.Amount, bound+p.Committed
		}
		fmt.Fprintf(w, "all\t%.6g\t%.6g\t\t\t\n", amount, bound)
		w.Flush()
	}
}

type fleetCheck struct {
	First  string `arg:"" help:"One controller's settings."`
	Second string `arg:"" help:"Another's."`
}

// Run tells in what two controllers' settings disagree.
func (c *fleetCheck) Run(out io.Writer) error {
	var both [2]*fleet.Options
	for i, file := range []string{c.First, c.Second} {
		f, err := fleetSettings{file}.read()
		if err != nil {
			return err
		}
		both[i] = f
	}
	wrong := fleet.CompareOptions(both[0], both[1])
	for _, w := range wrong {
		fmt.Fprintln(out, w)
	}
	if len(wrong) > 0 {
		return errTold
	}
	fmt.Fprintf(out, "%s and %s agree\n", c.First, c.Second)
	return nil
}
