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

// propose proposes an override to the fleet.
func (c *overrideCommand) propose(out io.Writer, override state.Command) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	override.Op = state.OpSetOverride
	if err := fleet.ProposeAsOperator(ctx, f, override); err != nil {
		return err
	}
	fmt.Fprintln(out, "ordered; copperrock fleet orders lists the controllers that have not applied it yet")
	return nil
}

// expiry returns the Unix time at which an override expires, rounded up to a second, or 0 for never.
func expiry(after time.Duration) int64 {
	if after <= 0 {
		return 0
	}
	return time.Now().Add(after + time.Second - 1).Unix()
}

type fleetDrain struct {
	overrideCommand
	Engine string        `arg:"" help:"Name of the engine, as in the list of engines."`
	For    time.Duration `help:"Time after which the drain ends; 0 for never."`
}

// Run orders all controllers to send nothing new to an engine.
func (c *fleetDrain) Run(out io.Writer) error {
	return c.propose(out, state.Command{Text: state.DrainEngine, Subject: c.Engine, Time: expiry(c.For)})
}

type fleetResume struct {
	overrideCommand
	Engine string `arg:"" help:"Name of the engine."`
}

// Run revokes a drain.
func (c *fleetResume) Run(out io.Writer) error {
	return c.propose(out, state.Command{Text: state.DrainEngine, Subject: c.Engine, Revoke: true})
}

type fleetBudget struct {
	overrideCommand
	Team string        `arg:"" help:"Name of the team."`
	Most float64       `arg:"" optional:"" help:"Budget of the whole fleet in MB, which replaces most_mb in the settings."`
	Back bool          `help:"Revoke the order, so that the settings apply again."`
	For  time.Duration `help:"Time after which the settings apply again; 0 for never."`
}

// Run overrides a team's budget in the settings.
func (c *fleetBudget) Run(out io.Writer) error {
	if c.Back == (c.Most > 0) {
		return errors.New("give either a figure in MB or --back")
	}
	return c.propose(out, state.Command{Text: state.TeamBudget, Subject: teamQuantity + c.Team, Amount: c.Most, Revoke: c.Back, Time: expiry(c.For)})
}

type fleetOrders struct{ statusCommand }

// Run lists the overrides, with the controllers that have not applied them.
func (c *fleetOrders) Run(out io.Writer) error {
	status, err := c.status()
	if err != nil {
		return err
	}
	if len(status.Overrides) == 0 {
		fmt.Fprintln(out, "no orders")
	}
	for _, o := range status.Overrides {
		line := fmt.Sprintf("%s %s", o.Kind, strings.TrimPrefix(o.Target, teamQuantity))
		if o.Kind == state.TeamBudget {
			line += fmt.Sprintf(" at %g MB", o.Amount)
		}
		switch {
		case o.Revoked:
			line += ", revoked"
		case o.ExpiresAt > 0:
			line += " until " + formatTime(o.ExpiresAt)
		}
		var pending []string
		for _, controller := range status.Controllers {
			if !controller.Replaced && controller.AppliedOverride < o.Number {
				pending = append(pending, controller.Name)
			}
		}
		progress := "applied by all controllers"
		if len(pending) > 0 {
			progress = "not applied yet by " + strings.Join(pending, ", ")
		}
		fmt.Fprintf(out, "%s: %s\n", line, progress)
	}
	return nil
}
