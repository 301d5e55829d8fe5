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
	File     string `arg:"" help:"The list of engines."`
	Settings string `placeholder:"FILE" help:"The operator's settings, for zones, kinds and bounds."`
}

func (c *enginesCheck) Run(out io.Writer) error {
	settings, err := engineFileSettings(c.Settings)
	if err != nil {
		return err
	}
	list, err := readList(c.File, settings.Bounds())
	if err != nil {
		return err
	}
	fmt.Fprintln(out, listSummary(c.File, list))
	return nil
}

type enginesDiff struct {
	Old      string `arg:"" help:"The current list of engines."`
	New      string `arg:"" help:"The new list of engines."`
	Settings string `placeholder:"FILE" help:"The operator's settings, for zones, kinds and bounds."`
}

func (c *enginesDiff) Run(out io.Writer) error {
	settings, err := engineFileSettings(c.Settings)
	if err != nil {
		return err
	}
	current, err := readList(c.Old, settings.Bounds())
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.New)
	if err != nil {
		return err
	}
	// The tracker decides as it would in a running controller.
	settings.File = c.New
	tracker := settings.Tracker()
	tracker.Restore(current)
	tracker.FileChanged(0)
	tracker.Observe(0, discovery.Content{Text: text})
	switch d := tracker.Observe(tracker.SettleTime, discovery.Content{Text: text}); d.Verdict {
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

// engineFileSettings returns the settings of the engines file, or the defaults if file is "".
func engineFileSettings(file string) (operator.EngineFile, error) {
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

func readList(file string, bounds discovery.Bounds) (discovery.List, error) {
	info, err := os.Stat(file)
	switch {
	case err != nil:
		return discovery.List{}, err
	case !info.Mode().IsRegular():
		return discovery.List{}, fmt.Errorf("%s: is no file", file)
	case info.Size() > int64(bounds.MaxBytes):
		return discovery.List{}, fmt.Errorf("%s: is over %d bytes", file, bounds.MaxBytes)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return discovery.List{}, err
	}
	return discovery.Parse(file, text, bounds)
}

func listSummary(file string, l discovery.List) string {
	return fmt.Sprintf("%s: good: generation %d, %d engines, %d of them take jobs", file, l.Generation, len(l.Endpoints), l.AvailableCount())
}
