package wal

import (
	"errors"
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// must fails the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// createFile creates a file without using the log.
func createFile(t *testing.T, disk *crashfs.Dir, name string, content []byte) {
	t.Helper()
	file, err := disk.Create(name)
	must(t, err)
	_, err = file.Write(content)
	must(t, err)
}

// replayCases are events that happen to a log with the numbers 1 to 5, of which 1 to 3 are in a snapshot.
var replayCases = []struct {
	name string
	play func(t *testing.T, disk *crashfs.Dir)
}{
	{"clean shutdown", func(t *testing.T, disk *crashfs.Dir) {
		log, _, _, err := openAndRead(disk)
		must(t, err)
		must(t, log.Close())
	}},
	{"killed", func(*testing.T, *crashfs.Dir) {}},
	{"killed during a snapshot", func(t *testing.T, disk *crashfs.Dir) {
		log, _, _, err := openAndRead(disk)
		must(t, err)
		_, err = log.BeginSnapshot()
		must(t, err)
	}},
	{"the last record is torn", func(_ *testing.T, disk *crashfs.Dir) {
		disk.TruncateFile(segmentName(2), disk.Size(segmentName(2))-3)
	}},
	{"a bit is flipped in the middle", flipInMiddle},
	{"and opened again", func(t *testing.T, disk *crashfs.Dir) {
		flipInMiddle(t, disk)
		_, _, _, err := openAndRead(disk)
		must(t, err)
	}},
	{"a file is missing", func(t *testing.T, disk *crashfs.Dir) { must(t, disk.Remove(segmentName(2))) }},
	{"a snapshot is missing", func(t *testing.T, disk *crashfs.Dir) { must(t, disk.Remove(snapshotName(2))) }},
	{"a snapshot is damaged", func(_ *testing.T, disk *crashfs.Dir) { disk.FlipBit(snapshotName(2), 60) }},
	{"a segment that the snapshot holds", func(t *testing.T, disk *crashfs.Dir) {
		content, err := disk.Read(segmentName(2))
		must(t, err)
		createFile(t, disk, segmentName(1), content)
	}},
	{"a file of somebody else's", func(t *testing.T, disk *crashfs.Dir) { createFile(t, disk, "notes.txt", []byte("mine")) }},
}

func flipInMiddle(_ *testing.T, disk *crashfs.Dir) {
	disk.FlipBit(segmentName(2), disk.Size(segmentName(2))-50)
}

// Traces what Open finds and reports.
func TestReplayResults(t *testing.T) {
	lines := []string{replayLine("new", crashfs.New(1))}
	for _, c := range replayCases {
		disk := newDisk(t, 3, 5)
		c.play(t, disk)
		lines = append(lines, replayLine(c.name, disk))
	}
	_, _, err := Open(newDisk(t, 3, 5), Identity{Name: "n2"}, func(byte, []byte) error { return nil })
	lines = append(lines, fmt.Sprint("a copy from another controller: ", err, errors.Is(err, ErrWrongIdentity)))
	newer := crashfs.New(1)
	createFile(t, newer, segmentName(1), []byte("CRSTOR02 and what comes then"))
	lines = append(lines, replayLine("of a later format", newer))
	testutil.CheckTrace(t, lines)
}

// replayLine opens a log and returns a line on what was found.
func replayLine(what string, disk *crashfs.Dir) string {
	_, got, found, err := openAndRead(disk)
	names, _ := disk.List()
	return fmt.Sprintf("%s: %v, torn %d, damaged %q, clean %v, %v; files %v", what, got, found.TornBytes, found.Damaged, found.CleanShutdown, err, names)
}

// Arbitrary bytes must be decoded or be an error, and nothing may be read out of bounds.
func FuzzDecodeFile(f *testing.F) {
	f.Add(fileHeader(owner, 0))
	f.Add(appendFrame(fileHeader(owner, 3), 1, numberRecord(7)))
	f.Add([]byte("CRSTOR01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		end, err := decodeFile(b, &Identity{}, func(byte, []byte) error { return nil })
		if err == nil && (end.complete < 0 || end.complete > int64(len(b))) {
			t.Fatalf("got %d complete bytes of %d", end.complete, len(b))
		}
	})
}
