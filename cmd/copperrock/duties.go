package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/sharedwork"
)

// dutySection is the section of the operator's settings on what the fleet does as one.
var dutySection = operator.Section{Name: "duties", Text: sharedwork.SectionText, Declare: func(s *operator.Settings, o *schema.Object) any {
	d := &sharedwork.Options{}
	var types []sharedwork.Class
	for i, name := range s.Config.Settings.Classes {
		types = append(types, sharedwork.Class{Name: name, Idempotent: s.Config.Settings.Admission.Classes[i].Idempotency == admission.Idempotent, Timeout: s.Config.Settings.ClassTimeouts[i]})
	}
	var teams []string
	for _, b := range s.Teams.Budgets {
		teams = append(teams, b.Name)
	}
	d.Declare(o, types, teams)
	f := fleetOf(s)
	switch {
	case d.Enabled() && !f.Enabled():
		o.AddError("", "there is no fleet: fleet.voters names none")
	case d.PublishList && s.EngineFile.File == "":
		o.AddError("list", "engines.file names no list")
	case f.Enabled():
		f.Tasks, f.ScheduledJobs = d.Tasks(), d.JobNames()
	}
	return d
}}

// dutiesOf is what the settings say of duties, nil where they were not read.
func dutiesOf(s *operator.Settings) *sharedwork.Options {
	d, _ := s.Sections[dutySection.Name].(*sharedwork.Options)
	return d
}

type fleetOrder struct {
	fleetSettings
	Within time.Duration `default:"5s" help:"How long to try."`
}

// give has the fleet keep an order.
func (c *fleetOrder) give(out io.Writer, order state.Command) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	order.Op = state.OpSetOverride
	if err := fleet.ProposeAsOperator(ctx, f, order); err != nil {
		return err
	}
	fmt.Fprintln(out, "ordered; copperrock fleet orders tells who has not taken it up yet")
	return nil
}

// until is when an order ends by itself, 0 for never.
func until(after time.Duration) int64 {
	if after <= 0 {
		return 0
	}
	return time.Now().Add(after + time.Second - 1).Unix()
}

type fleetDrain struct {
	fleetOrder
	Engine string        `arg:"" help:"Its name, as the list has it."`
	For    time.Duration `help:"Take it back by itself after so long; 0 for never."`
}

// Run has every controller send nothing new to an engine.
func (c *fleetDrain) Run(out io.Writer) error {
	return c.give(out, state.Command{Text: state.DrainEngine, Subject: c.Engine, Time: until(c.For)})
}

type fleetResume struct {
	fleetOrder
	Engine string `arg:"" help:"Its name."`
}

// Run takes a drain back.
func (c *fleetResume) Run(out io.Writer) error {
	return c.give(out, state.Command{Text: state.DrainEngine, Subject: c.Engine, Revoke: true})
}

type fleetBudget struct {
	fleetOrder
	Team string        `arg:"" help:"Its name."`
	Most float64       `arg:"" optional:"" help:"MB of the whole fleet, in place of most_mb in the settings."`
	Back bool          `help:"Let the settings hold again."`
	For  time.Duration `help:"Let them hold again by itself after so long; 0 for never."`
}

// Run sets a team's budget over the settings'.
func (c *fleetBudget) Run(out io.Writer) error {
	if c.Back == (c.Most > 0) {
		return errors.New("give either a figure in MB or --back")
	}
	return c.give(out, state.Command{Text: state.TeamBudget, Subject: teamQuantity + c.Team, Amount: c.Most, Revoke: c.Back, Time: until(c.For)})
}

type fleetView struct {
	fleetSettings
	Within time.Duration `default:"3s" help:"How long to wait for a voter."`
}

// view is what the voter that leads knows.
func (c fleetView) view() (fleet.Status, error) {
	f, err := c.read()
	if err != nil {
		return fleet.Status{}, err
	}
	return leader(f, c.Within)
}

type fleetOrders struct{ fleetView }

// Run lists orders, with those who have not taken them up.
func (c *fleetOrders) Run(out io.Writer) error {
	view, err := c.view()
	if err != nil {
		return err
	}
	if len(view.Overrides) == 0 {
		fmt.Fprintln(out, "no orders")
	}
	for _, o := range view.Overrides {
		what := fmt.Sprintf("%s %s", o.Kind, strings.TrimPrefix(o.Target, teamQuantity))
		if o.Kind == state.TeamBudget {
			what += fmt.Sprintf(" at %g MB", o.Amount)
		}
		switch {
		case o.Revoked:
			what += ", taken back"
		case o.ExpiresAt > 0:
			what += " until " + clockOf(o.ExpiresAt)
		}
		var late []string
		for _, one := range view.Controllers {
			if !one.Replaced && one.AppliedOverride < o.Number {
				late = append(late, one.Name)
			}
		}
		said := "taken up by all"
		if len(late) > 0 {
			said = "not taken up yet by " + strings.Join(late, ", ")
		}
		fmt.Fprintf(out, "%s: %s\n", what, said)
	}
	return nil
}

type dutiesList struct{ fleetView }

// Run tells who owns what, and what waits.
func (c *dutiesList) Run(out io.Writer) error {
	view, err := c.view()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "duty\tslices\towner\thas")
	for _, d := range view.Tasks {
		count := map[string]int{}
		for _, owner := range d.Owners {
			count[owner]++
		}
		for _, name := range sorted(count) {
			owner := name
			if owner == "" {
				owner = "(nobody)"
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\n", d.Name, len(d.Owners), owner, count[name])
		}
	}
	w.Flush()
	for _, j := range view.ScheduledJobs {
		for _, r := range j.Runs {
			if r.State == state.RunUncertain {
				fmt.Fprintf(out, "%s of %s may have run (%s): copperrock duties settle %s %d --ran, or --again\n", j.Name, clockOf(r.Due), r.Outcome, j.Name, r.Due)
			}
		}
	}
	return nil
}

type dutiesHistory struct {
	fleetView
	Job string `arg:"" optional:"" help:"One job alone."`
}

// Run tells the latest occurrences of jobs.
func (c *dutiesHistory) Run(out io.Writer) error {
	view, err := c.view()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "job\tdue\tnumber\tis\tby\ttries\t")
	for _, j := range view.ScheduledJobs {
		for _, r := range j.Runs {
			if c.Job == "" || c.Job == j.Name {
				fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%s\t%d\t%s\n", j.Name, clockOf(r.Due), r.Due, r.State, r.Owner.Name, r.Attempts, r.Outcome)
			}
		}
	}
	return w.Flush()
}

func clockOf(unix int64) string { return time.Unix(unix, 0).UTC().Format("2006-01-02 15:04:05") }

type dutiesSettle struct {
	fleetSettings
	Job    string        `arg:"" help:"Its name."`
	Number int64         `arg:"" help:"Of the occurrence, as duties history has it."`
	Ran    bool          `help:"It ran: it is over."`
	Again  bool          `help:"It did not run: it is run now."`
	Within time.Duration `default:"5s" help:"How long to try."`
}

// Run takes a person's word on an occurrence that may have run.
func (c *dutiesSettle) Run(out io.Writer) error {
	if c.Ran == c.Again {
		return errors.New("say --ran or --again")
	}
	f, err := c.read()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	if err := fleet.ProposeAsOperator(ctx, f, state.Command{Op: state.OpResolveRun, Subject: c.Job, Time: c.Number, Rerun: c.Again, Text: "it ran, by a person's word"}); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s of %s is settled\n", c.Job, clockOf(c.Number))
	return nil
}

func sorted(count map[string]int) (names []string) {
	return slices.Sorted(maps.Keys(count))
}
