package wal_test

import (
	"fmt"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/storage/wal"
)

// Records that were appended with a sync are replayed when the log is opened again.
func Example() {
	const kindNote = wal.FirstUserKind
	dir := crashfs.New(1)
	owner := wal.Identity{Name: "gateway-1"}

	log, _, err := wal.Open(dir, owner, func(byte, []byte) error { return nil })
	if err != nil {
		fmt.Println(err)
		return
	}
	records := wal.AppendRecord(nil, kindNote, []byte("first"))
	records = wal.AppendRecord(records, kindNote, []byte("second"))
	if err := log.Append(records, true); err != nil {
		fmt.Println(err)
	}
	if err := log.Close(); err != nil {
		fmt.Println(err)
	}

	_, found, err := wal.Open(dir, owner, func(_ byte, body []byte) error {
		fmt.Printf("%s\n", body)
		return nil
	})
	fmt.Println(found.CleanShutdown, err)
	// Output:
	// first
	// second
	// true <nil>
}
