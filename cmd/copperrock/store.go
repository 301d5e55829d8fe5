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
