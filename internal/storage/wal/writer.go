package wal

import (
	"encoding/binary"

	"copperrock.example/copperrock/internal/storage/vfs"
)

// frameWriter appends frames to one file. It belongs to the Log or the SnapshotWriter that opened the file.
type frameWriter struct {
	file   vfs.File // nil if no file is open
	frames uint64   // number of frames in the file
	size   int64    // size of the file in bytes
}

// write appends records in one or more frames, split between records.
func (w *frameWriter) write(records []byte) error {
	for len(records) > 0 {
		size, err := nextBatch(records)
		if err != nil {
			return err
		}
		frame := appendFrame(make([]byte, 0, frameOverhead+size), w.frames, records[:size])
		written, err := w.file.Write(frame)
		w.size += int64(written)
		if err != nil {
			return err
		}
		w.frames++
		records = records[size:]
	}
	return nil
}

// close closes the file. Its error is ignored: whatever has to be on disk was synced before.
func (w *frameWriter) close() {
	if w.file != nil {
		_ = w.file.Close()
		w.file = nil
	}
}

// nextBatch returns the size of the first records that fit into a frame, which is at least one record.
func nextBatch(records []byte) (size int, err error) {
	for size < len(records) {
		length, prefix := binary.Uvarint(records[size:])
		if prefix <= 0 || uint64(len(records)-size-prefix) < length {
			return 0, errMalformedRecords
		}
		next := size + prefix + int(length)
		if size > 0 && next > MaxFrameSize {
			break
		}
		size = next
	}
	return size, nil
}
