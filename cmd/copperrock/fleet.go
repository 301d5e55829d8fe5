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
		return nil, fmt.Errorf("%s: there is no fleet: fleet.voters is empty", c.Settings)
	}
	return f, nil
}

type fleetInit struct {
	fleetSettings
	Join bool `help:"Join a running fleet: this voter replaces another one, under a number that was never used before."`
}

// Run creates the raft log of this voter.
func (c *fleetInit) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	if err := fleet.InitVoter(f, c.Join); err != nil {
		return err
	}
	role := "in the new fleet"
	if c.Join {
		role = "which is to join the fleet"
	}
	fmt.Fprintf(out, "%s: log of voter %s %s %s\n", f.RaftLogPath(), f.Self, role, f.Name)
	return nil
}

type fleetStatus struct {
	fleetSettings
	Within time.Duration `default:"3s" help:"How long to wait for each voter."`
}

// Run prints the role of each voter, and then the status that the leader reports, or another voter if no leader answers.
func (c *fleetStatus) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	var latest *fleet.Status
	for _, v := range f.Voters {
		ctx, cancel := context.WithTimeout(context.Background(), c.Within)
		status, err := fleet.QueryStatus(ctx, f, v.Address)
		cancel()
		if err != nil {
			fmt.Fprintf(out, "%s at %s: %v\n", v.Name, v.Address, err)
			continue
		}
		role := "follows"
		if status.IsLeader {
			role = "leads"
		}
		fmt.Fprintf(out, "%s at %s: %s, term %d\n", v.Name, v.Address, role, status.Term)
		if latest == nil || status.IsLeader && (!latest.IsLeader || status.Term > latest.Term) {
			latest = &status
		}
	}
	if latest == nil {
		return fmt.Errorf("no voter of fleet %s answers", f.Name)
	}
	return printStatus(out, *latest)
}

// leaderStatus queries all voters and returns the status that the leader with the highest term reports.
func leaderStatus(f *fleet.Options, timeout time.Duration) (latest fleet.Status, err error) {
	err = fmt.Errorf("no voter of fleet %s that can be reached is the leader", f.Name)
	for _, v := range f.Voters {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		status, queryErr := fleet.QueryStatus(ctx, f, v.Address)
		cancel()
		if queryErr == nil && status.IsLeader && status.Term >= latest.Term {
			latest, err = status, nil
		}
	}
	return latest, err
}

// printStatus prints the allocations of each quantity and their sums.
func printStatus(out io.Writer, status fleet.Status) error {
	fmt.Fprintf(out, "\n%d controllers, voters %d, generation %d of what is divided\n", len(status.Controllers), status.Voters, status.Generation)
	for _, q := range status.Quantities {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(out, "\n%s: %.6g, of which %.6g is reserved for floors\n", q.Name, q.Total, q.FloorReserve)
		fmt.Fprintln(w, "controller\tmay use\tbound to\tuses\twould use\t")
		amount, committed := 0.0, 0.0
		for _, p := range q.Allocations {
			fmt.Fprintf(w, "%s\t%.6g\t%.6g\t%.6g\t%.6g\t\n", p.Controller, p.Amount, p.Committed, p.Used, p.Wanted)
			amount, committed = amount+p.Amount, committed+p.Committed
		}
		fmt.Fprintf(w, "all\t%.6g\t%.6g\t\t\t\n", amount, committed)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

type fleetCheck struct {
	First  string `arg:"" help:"The settings of one controller."`
	Second string `arg:"" help:"The settings of another controller."`
}

// Run lists the contradictions between the settings of two controllers.
func (c *fleetCheck) Run(out io.Writer) error {
	var both [2]*fleet.Options
	for i, file := range []string{c.First, c.Second} {
		f, err := fleetSettings{file}.read()
		if err != nil {
			return err
		}
		both[i] = f
	}
	differences := fleet.CompareOptions(both[0], both[1])
	for _, d := range differences {
		fmt.Fprintln(out, d)
	}
	if len(differences) > 0 {
		return errReported
	}
	fmt.Fprintf(out, "%s and %s agree\n", c.First, c.Second)
	return nil
}
