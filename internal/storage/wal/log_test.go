package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/crashfs"
	"copperrock.example/copperrock/internal/harness/testutil"
)

const kind = FirstUserKind

var me = Identity{Name: "n1"}

func number(n uint64) []byte { return AppendRecord(nil, kind, binary.BigEndian.AppendUint64(nil, n)) }

// reads opens a folder and gives the numbers that are there, in order and each once.
func reads(folder *crashfs.Dir) (j *Log, got []uint64, found ReplayResult, err error) {
	j, found, err = Open(folder, me, func(_ byte, body []byte) error {
		if n := binary.BigEndian.Uint64(body); !slices.Contains(got, n) {
			got = append(got, n)
		}
		return nil
	})
	slices.Sort(got)
	return j, got, found, err
}

// life plays a life of a store: records are written, each waited for, and all is written anew in between. It gives the
// highest number that was waited for with success.
func life(j *Log, from, to uint64) (acked uint64) {
	acked = from
	for n := from + 1; n <= to; n++ {
		if j.Err() != nil {
			anew(j, n-1)
		}
		if j.Append(number(n), true) == nil {
			acked = n
		} else {
			anew(j, n) // also what failed is in memory
			if j.Err() == nil {
				acked = n
			}
		}
		if n%7 == 0 {
			anew(j, n)
		}
	}
	return acked
}

// anew writes a whole of all up to a number.
func anew(j *Log, upto uint64) bool {
	w, err := j.BeginSnapshot()
	if err != nil {
		return false
	}
	for n := uint64(1); n <= upto; n++ {
		if w.Append(number(n)) != nil {
			w.Abort()
			return false
		}
	}
	return w.Commit() == nil
}

// whole tells whether the numbers are 1 to the last of them, and no fewer than were waited for (J1, J2).
func whole(got []uint64, acked uint64) error {
	for i, n := range got {
		if n != uint64(i+1) {
			return fmt.Errorf("%v: %d is missing", got, i+1)
		}
	}
	if uint64(len(got)) < acked {
		return fmt.Errorf("%v, but %d was waited for", got, acked)
	}
	return nil
}

// The machine crashes at every write, sync, rename and removal of a life in turn, and again at every one of the opening
// after it.
func TestCrashAtEveryOperation(t *testing.T) {
	ops := func() int {
		d := crashfs.New(1)
		j, _, _, _ := reads(d)
		life(j, 0, 20)
		j.Close()
		return d.Operations()
	}()
	if ops < 50 {
		t.Fatalf("only %d operations", ops)
	}
	for at := 1; at <= ops; at++ {
		for again := 0; again < 14; again++ {
			d := crashfs.New(uint64(100*at + again))
			d.CrashAtOperation = at
			acked := uint64(0)
			if j, _, _, err := reads(d); err == nil {
				acked = life(j, 0, 20)
				j.Close()
			}
			d.Restart()
			if again > 0 {
				d.CrashAtOperation = d.Operations() + again
				reads(d)
				d.Restart()
			}
			j, got, found, err := reads(d)
			if err != nil || len(found.Damaged) > 0 {
				t.Fatalf("crash at %d, again at %d: %v, %v", at, again, err, found)
			}
			if err := whole(got, acked); err != nil {
				t.Fatalf("crash at %d, again at %d: %v", at, again, err)
			}
			next := uint64(len(got))
			acked = life(j, next, next+9) // it goes on
			j.Close()
			if _, got, _, err := reads(d); err != nil || whole(got, acked) != nil || acked < next+9 {
				t.Fatalf("crash at %d, again at %d, second life: %v, %v", at, again, err, got)
			}
		}
	}
}

// The process is killed at every operation in turn, another opens the store, and then the machine crashes: what the second
// one read and built on is on the disk.
func TestKilledThenCrashed(t *testing.T) {
	for at := 1; at <= 60; at++ {
		d := crashfs.New(uint64(at))
		d.CrashAtOperation = at
		acked := uint64(0)
		if j, _, _, err := reads(d); err == nil {
			acked = life(j, 0, 20)
		}
		d.Resume()
		_, seen, _, err := reads(d)
		if err == nil {
			err = whole(seen, acked)
		}
		if err != nil {
			t.Fatalf("killed at %d: %v", at, err)
		}
		d.Crash()
		d.Restart()
		if _, got, found, err := reads(d); err != nil || len(found.Damaged) > 0 || whole(got, uint64(len(seen))) != nil {
			t.Fatalf("killed at %d, then crashed: %v, %v; %v was read before, now %v", at, err, found, seen, got)
		}
	}
}

// A write or sync fails at every operation in turn, once or from then on: what was waited for is read, and once the disk is
// sound again all goes on. One that says it has synced and has not loses records, but never those between others.
func TestFailAtEveryOperation(t *testing.T) {
	for _, fault := range []string{"full", "sync", "read only", "lie"} {
		for at := 1; at <= 90; at++ {
			for _, once := range []bool{true, false} {
				d := crashfs.New(uint64(at))
				j, _, _, _ := reads(d)
				d.Fault = fault
				d.FaultAtOperation = at
				if !once {
					d.FaultAtOperation = 0
				}
				acked := life(j, 0, 12)
				sound := fault != "lie"
				d.Fault = ""
				if sound {
					if acked = life(j, 12, 16); acked != 16 {
						t.Fatalf("%s at %d, once %v: does not go on: %v", fault, at, once, j.Err())
					}
				}
				d.Crash()
				d.Restart()
				_, got, found, err := reads(d)
				if !sound {
					acked = 0
				}
				if err := whole(got, acked); err != nil && len(found.Damaged) == 0 {
					t.Fatalf("%s at %d, once %v: %v, %v", fault, at, once, err, found)
				}
				if err != nil && sound {
					t.Fatalf("%s at %d, once %v: %v", fault, at, once, err)
				}
			}
		}
	}
}

// Every bit place of every file is turned in turn: nothing that was waited for goes unnoticed, but for the last frame,
// which a write that had not ended looks like.
func TestEveryByteTurned(t *testing.T) {
	fill := func() (*crashfs.Dir, []string) {
		d := crashfs.New(1)
		j, _, _, _ := reads(d)
		life(j, 0, 5)
		anew(j, 5)
		life(j, 5, 6)
		names, _ := d.List()
		return d, names
	}
	d, names := fill()
	silent := 0
	for _, name := range names {
		for at := range d.Size(name) {
			d, _ := fill()
			d.FlipBit(name, at)
			j, got, found, err := reads(d)
			if err != nil {
				continue
			}
			if len(found.Damaged) == 0 && whole(got, 6) != nil {
				if silent++; whole(got, 5) != nil {
					t.Fatalf("%s, byte %d: %v, and nothing is said: %+v", name, at, got, found)
				}
			}
			if len(found.Damaged) > 0 { // it is put aside, and goes on
				if err := whole(got, 0); err != nil && !strings.Contains(err.Error(), "missing") {
					t.Fatal(err)
				}
				if !anew(j, 9) || j.Append(number(10), true) != nil {
					t.Fatalf("%s, byte %d: does not go on", name, at)
				}
				if _, got, found, err := reads(d); err != nil || len(found.Damaged) > 0 || whole(got, 10) != nil {
					t.Fatalf("%s, byte %d, second life: %v, %v, %v", name, at, err, found, got)
				}
				if left, _ := d.List(); !slices.ContainsFunc(left, func(n string) bool { return strings.HasSuffix(n, ".damaged") }) && !strings.Contains(found.Damaged[0], "missing") {
					t.Fatalf("%s, byte %d: nothing was put aside: %v", name, at, left)
				}
			}
		}
	}
	if most := frameOverhead + 10 + 4; silent > most {
		t.Errorf("%d turned bits went unnoticed, the last frame has %d bytes", silent, most)
	}
}

// What openings find and say, as a trace.
func TestFound(t *testing.T) {
	var lines []string
	say := func(what string, d *crashfs.Dir) {
		_, got, found, err := reads(d)
		names, _ := d.List()
		lines = append(lines, fmt.Sprintf("%s: %v, torn %d, damaged %q, clean %v, %v; files %v", what, got, found.TornBytes, found.Damaged, found.CleanShutdown, err, names))
	}
	fill := func(end bool) *crashfs.Dir {
		d := crashfs.New(1)
		j, _, _, _ := reads(d)
		life(j, 0, 3)
		anew(j, 3)
		life(j, 3, 5)
		if end {
			j.Close()
		}
		return d
	}
	say("new", crashfs.New(1))
	say("ended in order", fill(true))
	say("killed", fill(false))
	d := fill(false)
	j, _, _, _ := reads(d)
	j.BeginSnapshot()
	say("killed while all was written anew", d)
	d = fill(false)
	d.TruncateFile(segmentName(2), d.Size(segmentName(2))-3)
	say("the last record is torn", d)
	d = fill(false)
	d.FlipBit(segmentName(2), d.Size(segmentName(2))-50)
	say("a bit is turned in the middle", d)
	say("and opened again", d)
	d = fill(false)
	d.Remove(segmentName(2))
	say("a file is missing", d)
	d = fill(false)
	d.Remove(snapshotName(2))
	say("a whole is missing", d)
	d = fill(false)
	d.FlipBit(snapshotName(2), 60)
	say("a whole is damaged", d)
	two := func(from, to uint64) *crashfs.Dir { // the next generation beside the one before
		d := fill(false)
		text, _ := d.Read(segmentName(2))
		f, _ := d.Create(segmentName(1))
		f.Write(text)
		return d
	}
	say("two generations", two(1, 3))
	d = fill(false)
	f, _ := d.Create("notes.txt")
	f.Write([]byte("mine"))
	say("a file of somebody else's", d)
	_, _, err := Open(fill(true), Identity{Name: "n2"}, func(byte, []byte) error { return nil })
	lines = append(lines, fmt.Sprint("a copy from another controller: ", err, errors.Is(err, ErrWrongIdentity)))
	newer := crashfs.New(1)
	f, _ = newer.Create(segmentName(1))
	f.Write([]byte("CRSTOR02 and what comes then"))
	say("of a later format", newer)
	testutil.Check(t, lines)
}

// Any bytes at all make no opening fail but with a word, and nothing is read beyond bounds.
func FuzzLook(f *testing.F) {
	j := &Log{owner: me}
	f.Add(j.fileHeader(0))
	f.Add(appendFrame(j.fileHeader(3), 1, number(7)))
	f.Add([]byte("CRSTOR01"))
	f.Fuzz(func(t *testing.T, b []byte) {
		good, _, err := decodeFile(b, &Identity{}, func(kind byte, body []byte) error { return nil })
		if err == nil && (good < 0 || good > int64(len(b))) {
			t.Fatalf("%d of %d bytes are good", good, len(b))
		}
	})
}
