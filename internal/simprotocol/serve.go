// Package simprotocol implements the simulator's protocol: it reads batches of events and replies with batches of actions.
// It hosts the instances of the decision module (package admission) that the batches name, and passes each its own events.
//
// Numbers are big-endian. A batch has a header, the clock, event records of a fixed size and a tail that records refer to.
// Its reply has a header, action records of a fixed size and its own tail.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes of the parts of a frame, in bytes.
const (
	headerSize = 12
	clockSize  = 8 // included in the length in the header
	countSize  = 4 // number of records in a reply; included in the length in the header
	eventSize  = 48
	actionSize = 24
	entrySize  = 22
	bufferSize = 1 << 20
)

// Serve replies to batches until the input ends. An end in the middle of a batch is an error.
func Serve(in io.Reader, out io.Writer) error {
	s := newSession()
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	for {
		b, found, err := readBatch(r)
		if err != nil || !found {
			return err
		}
		if err := s.handleBatch(b.body, b.count); err != nil {
			return fmt.Errorf("batch %d: %w", b.number, err)
		}
		if err := s.reply.write(w, b.number); err != nil {
			return fmt.Errorf("batch %d: write reply: %w", b.number, err)
		}
	}
}

// batch is a frame with events.
type batch struct {
	number uint32
	count  int    // number of records
	body   []byte // the clock, the records and the tail
}

// readBatch reads a batch. found is false if the input ends before its first byte.
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
	// The buffer grows with the data that arrives, so that a wrong length does not allocate memory.
	var body bytes.Buffer
	if n, err := io.CopyN(&body, r, int64(size)); err != nil {
		return batch{}, false, fmt.Errorf("batch %d: cut short after %d of %d bytes: %w", number, n, size, err)
	}
	return batch{number: number, count: int(count), body: body.Bytes()}, true, nil
}

// write sends the frame as the reply to the batch of the given number.
func (f *frame) write(w *bufio.Writer, batchNumber uint32) error {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[0:], batchNumber)
	binary.BigEndian.PutUint32(header[4:], uint32(countSize+len(f.records)+len(f.tail)))
	binary.BigEndian.PutUint32(header[8:], uint32(len(f.records)/actionSize))
	for _, part := range [][]byte{header[:], f.records, f.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}
