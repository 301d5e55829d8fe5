package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/state"
)

type statusCommand struct {
	fleetSettings
	Within time.Duration `default:"3s" help:"How long to wait for each voter."`
}

// status returns the status that the leader of the fleet reports.
func (c statusCommand) status() (fleet.Status, error) {
	f, err := c.read()
	if err != nil {
		return fleet.Status{}, err
	}
	return leaderStatus(f, c.Within)
}

type dutiesList struct{ statusCommand }

// Run lists the owners of the shards of each task, and the runs that an operator has to settle.
func (c *dutiesList) Run(out io.Writer) error {
	status, err := c.status()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "duty\tslices\towner\thas")
	for _, task := range status.Tasks {
		count := map[string]int{}
		for _, owner := range task.Owners {
			count[owner]++
		}
		for _, name := range sortedNames(count) {
			owner := name
			if owner == "" {
				owner = "(nobody)"
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\n", task.Name, len(task.Owners), owner, count[name])
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, j := range status.ScheduledJobs {
		for _, r := range j.Runs {
			if r.State == state.RunUncertain {
				fmt.Fprintf(out, "%s of %s may have run (%s); settle it: copperrock duties settle %s %d --ran, or --again\n", j.Name, formatTime(r.Due), r.Outcome, j.Name, r.Due)
			}
		}
	}
	return nil
}

type dutiesHistory struct {
	statusCommand
	Job string `arg:"" optional:"" help:"Show only this job."`
}

// Run lists the latest runs of scheduled jobs.
func (c *dutiesHistory) Run(out io.Writer) error {
	status, err := c.status()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "job\tdue\tnumber\tis\tby\ttries\t")
	for _, j := range status.ScheduledJobs {
		for _, r := range j.Runs {
			if c.Job == "" || c.Job == j.Name {
				fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%s\t%d\t%s\n", j.Name, formatTime(r.Due), r.Due, r.State, r.Owner.Name, r.Attempts, r.Outcome)
			}
		}
	}
	return w.Flush()
}

func formatTime(unix int64) string { return time.Unix(unix, 0).UTC().Format("2006-01-02 15:04:05") }

type dutiesSettle struct {
	fleetSettings
	Job    string        `arg:"" help:"Name of the job."`
	Number int64         `arg:"" help:"Number of the occurrence, as listed by duties history."`
	Ran    bool          `help:"It ran, and will not run again."`
	Again  bool          `help:"It did not run, and runs now."`
	Within time.Duration `default:"5s" help:"How long to try."`
}

// Run settles a run of which the fleet doesn't know whether it took place.
func (c *dutiesSettle) Run(out io.Writer) error {
	if c.Ran == c.Again {
		return errors.New("give either --ran or --again")
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
	fmt.Fprintf(out, "%s of %s is settled\n", c.Job, formatTime(c.Number))
	return nil
}

func sortedNames(count map[string]int) (names []string) {
	return slices.Sorted(maps.Keys(count))
}
