package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/platform"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/limits"
)

type checkCommand struct {
	File     string `arg:"" help:"The operator's settings."`
	Platform string `placeholder:"FILE" help:"What the platform tells at the start, as in LB_CONFIG."`
	Probe    bool   `help:"Also try to connect to each engine and to the command channel."`
}

func (c *checkCommand) Run(out io.Writer) error {
	s, err := read(c.File, c.Platform)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: good: %q on %s, %d reservation types, %d MB, %d descriptors\n", c.File, s.Name, s.Listen,
		len(s.Config.Settings.Classes), s.MemoryMB, s.MaxDescriptors)
	var engines []discovery.Endpoint
	if s.EngineFile.File != "" {
		l, err := readList(s.EngineFile.File, s.EngineFile.Bounds())
		if err != nil {
			return err
		}
		fmt.Fprintln(out, told(s.EngineFile.File, l))
		engines = l.Endpoints
	}
	if c.Probe {
		return knock(out, s, engines)
	}
	return nil
}

// read reads the operator's file, or what the platform tells, or both.
func read(file, platformFile string) (*operator.Settings, error) {
	if file == "" && platformFile == "" {
		return nil, errors.New("no settings: give --settings FILE, or COPPERROCK_SETTINGS, or LB_CONFIG where a platform starts the program")
	}
	var told *platform.Config
	if platformFile != "" {
		c, err := platform.Read(platformFile)
		if err != nil {
			return nil, err
		}
		if file == "" {
			return operator.FromPlatform(c, sections...), nil
		}
		told = &c
	}
	return operator.Read(file, told, sections...)
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

func told(file string, l discovery.List) string {
	return fmt.Sprintf("%s: good: generation %d, %d engines, %d of them take jobs", file, l.Generation, len(l.Endpoints), l.AvailableCount())
}

// knock connects to all that is named, at most 32 at a time.
func knock(out io.Writer, s *operator.Settings, engines []discovery.Endpoint) error {
	var group errgroup.Group
	group.SetLimit(32)
	unreachable := make([]error, len(engines)+1)
	try := func(at int, address string) {
		group.Go(func() error {
			wait, cancel := context.WithTimeout(context.Background(), limits.Duration(max(s.Config.Settings.DialTimeout, 0.1)))
			defer cancel()
			peer, err := new(net.Dialer).DialContext(wait, "tcp", address)
			if unreachable[at] = err; err == nil {
				peer.Close()
			}
			return nil
		})
	}
	for i, e := range engines {
		try(i, e.Address)
	}
	if s.ChannelAddress != "" {
		try(len(engines), s.ChannelAddress)
	}
	group.Wait()
	bad := 0
	for i, err := range unreachable {
		if err == nil {
			continue
		}
		bad++
		name := "the command channel"
		if i < len(engines) {
			name = engines[i].Name
		}
		fmt.Fprintf(out, "%s can't be reached: %v\n", name, err)
	}
	if bad > 0 {
		return errTold
	}
	fmt.Fprintln(out, "all that is named can be reached")
	return nil
}

type enginesCheck struct {
	File     string `arg:"" help:"The list."`
	Settings string `placeholder:"FILE" help:"The operator's settings, for the zones and kinds that there are and the bounds."`
}

func (c *enginesCheck) Run(out io.Writer) error {
	b, err := bounds(c.Settings)
	if err != nil {
		return err
	}
	l, err := readList(c.File, b.Bounds())
	if err != nil {
		return err
	}
	fmt.Fprintln(out, told(c.File, l))
	return nil
}

// bounds are those of the settings, or the defaults without a file.
func bounds(file string) (operator.EngineFile, error) {
	if file == "" {
		l := limits.For(192, 1024)
		return operator.EngineFile{MaxBytes: 4 << 20, MaxEndpoints: l.MaxEngines, MaxRemovedFraction: 0.5}, nil
	}
	s, err := read(file, "")
	if err != nil {
		return operator.EngineFile{}, err
	}
	return s.EngineFile, nil
}

type enginesDiff struct {
	Old      string `arg:"" help:"The list that holds."`
	New      string `arg:"" help:"The list that is to hold."`
	Settings string `placeholder:"FILE" help:"The operator's settings, for zones, kinds and bounds."`
}

func (c *enginesDiff) Run(out io.Writer) error {
	e, err := bounds(c.Settings)
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

type versionCommand struct{}

func (versionCommand) Run(out io.Writer) error {
	version, revision := "devel", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" && info.Main.Version != "(devel)" {
			version = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	fmt.Fprintf(out, "copperrock %s%s, %s\n", version, revision, runtime.Version())
	return nil
}
