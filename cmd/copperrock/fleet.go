package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"copperrock.example/copperrock/internal/fleet"
)

type fleetSettings struct {
	Settings string `env:"COPPERROCK_SETTINGS" placeholder:"FILE" help:"The operator's settings; docs/settings.md lists them."`
}

func (c fleetSettings) read() (*fleet.Options, error) {
	s, err := readSettings(c.Settings, "")
	if err != nil {
		return nil, err
	}
	f := fleetOptions(s)
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
	return printStatus(out, *best)
}

// leaderStatus asks the voters until one that leads tells what it knows.
func leaderStatus(f *fleet.Options, within time.Duration) (best fleet.Status, err error) {
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

// printStatus prints the parts of each quantity and their sums.
func printStatus(out io.Writer, view fleet.Status) error {
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
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
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
		return errReported
	}
	fmt.Fprintf(out, "%s and %s agree\n", c.First, c.Second)
	return nil
}
