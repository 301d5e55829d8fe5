package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"copperrock.example/copperrock/internal/storage/requestlog"
	"copperrock.example/copperrock/internal/storage/vfs"
	"copperrock.example/copperrock/internal/storage/wal"
)

type storeFolder struct {
	Folder string `arg:"" help:"The store's folder."`
}

// open replays a store without locking or changing it, and calls each with every record.
func (c storeFolder) open(each func(kind byte, body []byte) error) (wal.Identity, wal.ReplayResult, error) {
	folder, err := vfs.Open(c.Folder, true)
	if err != nil {
		return wal.Identity{}, wal.ReplayResult{}, err
	}
	identity := wal.Identity{}
	result, err := wal.Replay(folder, &identity, each)
	return identity, result, err
}

type storeCheck struct{ storeFolder }

// Run checks whether a store can be read, and lists what is damaged. It changes nothing.
func (c *storeCheck) Run(out io.Writer) error {
	identity, result, err := c.open(func(byte, []byte) error { return nil })
	if err != nil {
		return err
	}
	shutdown := "killed, or still running"
	if result.CleanShutdown {
		shutdown = "shut down cleanly"
	}
	fmt.Fprintf(out, "store of %s: %d records, %d bytes; %s\n", identity.Name, result.Records, result.Bytes, shutdown)
	if result.TornBytes > 0 {
		fmt.Fprintf(out, "%d bytes of incomplete writes are ignored\n", result.TornBytes)
	}
	for _, d := range result.Damaged {
		fmt.Fprintln(out, "damaged:", d)
	}
	if len(result.Damaged) > 0 {
		return errors.New("the store is damaged")
	}
	return nil
}

type storeShow struct {
	storeFolder
	Key string `help:"Show only this key."`
}

// Run lists the latest state of each key.
func (c *storeShow) Run(out io.Writer) error {
	lines, owner, _, err := requestlog.Describe(c.Folder, c.Key)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tkey\ttype\tdispatches\tis\n", owner)
	for _, key := range slices.Sorted(maps.Keys(lines)) {
		fmt.Fprintf(w, "\t%s\n", lines[key])
	}
	return w.Flush()
}

type storeCompact struct {
	storeFolder
	Name string `required:"" help:"Name of the controller whose store it is, as in its settings."`
}

// Run compacts a store that no process has open into a file with only the records that are still needed.
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
