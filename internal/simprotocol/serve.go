// Package simprotocol speaks the simulator's frames: batches of events in, batches of actions out. It hosts the instances
// of the decision module that the frames name, and gives each its own events only.
//
// Numbers are big-endian. A batch has a header, the clock, event records of a fixed size and a tail that records refer to;
// its reply has a header, action records of a fixed size and a tail of its own.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes of what a frame holds, in bytes.
const (
	headerSize = 12
	clockSize  = 8 // the frame's length counts it in
	countSize  = 4 // the number of records in a reply, which its length counts in
	eventSize  = 48
	actionSize = 24
	entrySize  = 22
	bufferSize = 1 << 20
)

// Serve answers batches until the input ends between two of them.
func Serve(in io.Reader, out io.Writer) error {
	s := newSession()
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	for {
		b, found, err := readBatch(r)
		if err != nil || !found {
			return err
		}
		if err := s.takeBatch(b.body, b.count); err != nil {
			return fmt.Errorf("batch %d: %w", b.number, err)
		}
		if err := s.reply.write(w, b.number); err != nil {
			return fmt.Errorf("batch %d: write reply: %w", b.number, err)
		}
	}
}

// batch is a frame of events.
type batch struct {
	number uint32
	count  int    // of records
	body   []byte // the clock, the records and the tail
}

// readBatch reads a frame; found is false where the input ends before one.
func readBatch(r io.Reader) (b batch, found bool, err error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return batch{}, false, nil
		}
		return batch{}, false, fmt.Errorf("batch header cut short: %w", err)
	}
	number := binary.BigEndian.Uint32(header[0:])
	count := binary.BigEndian.Uint32(header[4:])
	size := binary.BigEndian.Uint32(header[8:])
	if int64(size) < clockSize+int64(count)*eventSize {
		return batch{}, false, fmt.Errorf("batch %d: length %d does not hold %d records", number, size, count)
	}
	// The buffer grows with what arrives, so that a false length costs nothing.
	var body bytes.Buffer
	if n, err := io.CopyN(&body, r, int64(size)); err != nil {
		return batch{}, false, fmt.Errorf("batch %d: cut short after %d of %d bytes: %w", number, n, size, err)
	}
	return batch{number: number, count: int(count), body: body.Bytes()}, true, nil
}

// write sends the reply to a batch.
func (f *frame) write(w *bufio.Writer, batch uint32) error {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[0:], batch)
	binary.BigEndian.PutUint32(header[4:], uint32(countSize+len(f.records)+len(f.tail)))
	binary.BigEndian.PutUint32(header[8:], uint32(len(f.records)/actionSize))
	for _, part := range [][]byte{header[:], f.records, f.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}
