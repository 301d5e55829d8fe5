package main

import (
	"fmt"
	"io"
	"os"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/limits"
)

type enginesCheck struct {
	File     string `arg:"" help:"The list."`
	Settings string `placeholder:"FILE" help:"The operator's settings, for the zones and kinds that there are and the bounds."`
}

func (c *enginesCheck) Run(out io.Writer) error {
	b, err := engineFileOf(c.Settings)
	if err != nil {
		return err
	}
	l, err := readList(c.File, b.Bounds())
	if err != nil {
		return err
	}
	fmt.Fprintln(out, listSummary(c.File, l))
	return nil
}

type enginesDiff struct {
	Old      string `arg:"" help:"The list that holds."`
	New      string `arg:"" help:"The list that is to hold."`
	Settings string `placeholder:"FILE" help:"The operator's settings, for zones, kinds and bounds."`
}

func (c *enginesDiff) Run(out io.Writer) error {
	e, err := engineFileOf(c.Settings)
	if err != nil {
		return err
	}
	before, err := readList(c.Old, e.Bounds())
	if err != nil {
		return err
	}
	after, err := os.ReadFile(c.New)
	if err != nil {
		return err
	}
	// The keeper itself says what would become of it.
	e.File = c.New
	k := e.Tracker()
	k.Restore(before)
	k.FileChanged(0)
	k.Observe(0, discovery.Content{Text: after})
	switch d := k.Observe(k.SettleTime, discovery.Content{Text: after}); d.Verdict {
	case discovery.Reject:
		return d.Reason
	case discovery.NoChange:
		fmt.Fprintln(out, "nothing differs")
	default:
		for _, line := range d.Difference.Lines() {
			fmt.Fprintln(out, line)
		}
		fmt.Fprintf(out, "%d added, %d removed, %d changed\n", len(d.Difference.Added), len(d.Difference.Removed),
			len(d.Difference.Changed))
		if d.Verdict == discovery.HoldDown {
			fmt.Fprintf(out, "would be held back: %v; \"confirmed\": true has it taken\n", d.Reason)
		}
	}
	return nil
}

// engineFileOf are those of the settings, or the defaults without a file.
func engineFileOf(file string) (operator.EngineFile, error) {
	if file == "" {
		l := limits.For(192, 1024)
		return operator.EngineFile{MaxBytes: 4 << 20, MaxEndpoints: l.MaxEngines, MaxRemovedFraction: 0.5}, nil
	}
	s, err := readSettings(file, "")
	if err != nil {
		return operator.EngineFile{}, err
	}
	return s.EngineFile, nil
}

func readList(file string, b discovery.Bounds) (discovery.List, error) {
	info, err := os.Stat(file)
	switch {
	case err != nil:
		return discovery.List{}, err
	case !info.Mode().IsRegular():
		return discovery.List{}, fmt.Errorf("%s: is no file", file)
	case info.Size() > int64(b.MaxBytes):
		return discovery.List{}, fmt.Errorf("%s: is over %d bytes", file, b.MaxBytes)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return discovery.List{}, err
	}
	return discovery.Parse(file, text, b)
}

func listSummary(file string, l discovery.List) string {
	return fmt.Sprintf("%s: good: generation %d, %d engines, %d of them take jobs", file, l.Generation, len(l.Endpoints), l.AvailableCount())
}
