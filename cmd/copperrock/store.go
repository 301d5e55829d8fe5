package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/storage/recovery"
	"copperrock.example/copperrock/internal/storage/requestlog"
	"copperrock.example/copperrock/internal/storage/vfs"
	"copperrock.example/copperrock/internal/storage/wal"
)

// storeSection is the section of the operator's settings on what outlives a crash.
var storeSection = operator.Section{Name: "store", Text: requestlog.Description, Declare: func(s *operator.Settings, o *schema.Object) any {
	opts := &requestlog.Options{Owner: s.Name}
	opts.Declare(o)
	if opts.Enabled() && s.RequestFields.IdempotencyKey == "" {
		o.AddError("folder", "requests.retry names no field: no job has a key")
	}
	if opts.Enabled() && s.EngineFile.File != "" && s.EngineFile.CopyPath == "" { // the last good list stands beside the store's files
		s.EngineFile.CopyPath = filepath.Join(opts.Folder, "engines.jsonc")
	}
	return opts
}}

// storeOf is what the settings say of the store, nil where they were not read.
func storeOf(s *operator.Settings) *requestlog.Options {
	o, _ := s.Sections[storeSection.Name].(*requestlog.Options)
	return o
}

// comesBack opens the store, replays it and gives it to the gateway, and then writes what comes until ctx ends. Jobs are
// taken once that is done and engines are known.
func comesBack(ctx context.Context, g *gateway.Gateway, o *requestlog.Options, log zerolog.Logger) error {
	began := time.Now()
	since := func() float64 { return time.Since(began).Seconds() }
	r := recovery.New(0)
	s, err := requestlog.Open(*o, nil, requestlog.MachineClock(), log)
	if err != nil {
		r.Handle(since(), recovery.Failed)
		log.Error().Err(err).Bool("needed", o.Required).Msg("the store can't be used")
		g.StoreOpened(nil)
		if o.Required {
			return fmt.Errorf("store: %w", err)
		}
		<-ctx.Done()
		return ctx.Err()
	}
	r.Handle(since(), recovery.Opened)
	found, machine := s.Replayed()
	for _, lost := range found.Damaged {
		log.Error().Str("lost", lost.Error()).Float64("strict_for", o.Retention).Msg("the store is damaged: what is lost is taken to have run; the file is put aside as .damaged")
	}
	r.Handle(since(), recovery.Replayed)
	s.SnapshotLearned = g.LearnedState
	g.StoreOpened(s)
	keys, _, _ := s.Usage()
	e := log.Info().Int("records", found.Records).Int64("bytes", found.Bytes).Int("keys", keys).Bool("clean", found.CleanShutdown).Bool("machine_started", machine)
	if found.TornBytes > 0 {
		e = e.Int64("torn", found.TornBytes)
	}
	e.Msg("store replayed")
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for !r.Ready() {
		select {
		case err := <-done:
			return err
		case <-look.C:
			if g.EndpointCount() > 0 && r.Handle(since(), recovery.EndpointsListed) {
				log.Info().Str("took", r.Durations()).Msg("recovered")
			}
		}
	}
	return <-done
}

type storeFolder struct {
	Folder string `arg:"" help:"The store's folder."`
}

// open reads a store that no process has open.
func (c storeFolder) open(each func(kind byte, body []byte) error) (wal.Identity, wal.ReplayResult, error) {
	folder, err := vfs.Open(c.Folder, true)
	if err != nil {
		return wal.Identity{}, wal.ReplayResult{}, err
	}
	who := wal.Identity{}
	found, err := wal.Replay(folder, &who, each)
	return who, found, err
}

type storeCheck struct{ storeFolder }

// Run tells whether a store can be read, and what is wrong with it. It changes nothing.
func (c *storeCheck) Run(out io.Writer) error {
	who, found, err := c.open(func(byte, []byte) error { return nil })
	if err != nil {
		return err
	}
	end := "killed, or still running"
	if found.CleanShutdown {
		end = "ended in order"
	}
	fmt.Fprintf(out, "store of %s: %d records, %d bytes; %s\n", who.Name, found.Records, found.Bytes, end)
	if found.TornBytes > 0 {
		fmt.Fprintf(out, "%d bytes of writes that had not ended are passed over\n", found.TornBytes)
	}
	for _, d := range found.Damaged {
		fmt.Fprintln(out, "damaged:", d)
	}
	if len(found.Damaged) > 0 {
		return errors.New("the store is damaged")
	}
	return nil
}

type storeShow struct {
	storeFolder
	Key string `help:"One key alone."`
}

// Run lists what is kept under keys, the latest state of each.
func (c *storeShow) Run(out io.Writer) error {
	lines, who, _, err := requestlog.Describe(c.Folder, c.Key)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tkey\ttype\tdispatches\tis\n", who)
	for _, key := range slices.Sorted(maps.Keys(lines)) {
		fmt.Fprintf(w, "\t%s\n", lines[key])
	}
	return w.Flush()
}

type storeCompact struct {
	storeFolder
	Name string `required:"" help:"The controller whose store it is: its name in the settings."`
}

// Run writes a store anew that no process has open: the smallest file with all that counts.
func (c *storeCompact) Run(out io.Writer) error {
	o := requestlog.DefaultOptions()
	o.Folder, o.Owner = c.Folder, c.Name
	before, after, err := requestlog.Compact(o)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d bytes before, %d now\n", before, after)
	return nil
}
