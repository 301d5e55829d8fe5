package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/state"
)

type overrideCommand struct {
	fleetSettings
	Within time.Duration `default:"5s" help:"How long to try."`
}

// propose has the fleet keep an order.
func (c *overrideCommand) propose(out io.Writer, order state.Command) error {
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

// expiry is when an order ends by itself, 0 for never.
func expiry(after time.Duration) int64 {
	if after <= 0 {
		return 0
	}
	return time.Now().Add(after + time.Second - 1).Unix()
}

type fleetDrain struct {
	overrideCommand
	Engine string        `arg:"" help:"Its name, as the list has it."`
	For    time.Duration `help:"Take it back by itself after so long; 0 for never."`
}

// Run has every controller send nothing new to an engine.
func (c *fleetDrain) Run(out io.Writer) error {
	return c.propose(out, state.Command{Text: state.DrainEngine, Subject: c.Engine, Time: expiry(c.For)})
}

type fleetResume struct {
	overrideCommand
	Engine string `arg:"" help:"Its name."`
}

// Run takes a drain back.
func (c *fleetResume) Run(out io.Writer) error {
	return c.propose(out, state.Command{Text: state.DrainEngine, Subject: c.Engine, Revoke: true})
}

type fleetBudget struct {
	overrideCommand
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
	return c.propose(out, state.Command{Text: state.TeamBudget, Subject: teamQuantity + c.Team, Amount: c.Most, Revoke: c.Back, Time: expiry(c.For)})
}

type fleetOrders struct{ statusCommand }

// Run lists orders, with those who have not taken them up.
func (c *fleetOrders) Run(out io.Writer) error {
	view, err := c.status()
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
			what += " until " + formatTime(o.ExpiresAt)
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
