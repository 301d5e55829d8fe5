package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// errShape tells of a value that is whole but not what belongs there; the message can still be passed over.
var errShape = errors.New("a value of another type")

var errLong = errors.New("message too long")

// reader takes MessagePack values from a stream. Nothing is allocated on the word of a length.
type reader struct {
	in    *bufio.Reader
	left  int // bytes that the message may still have
	depth int
}

func (r *reader) Read(b []byte) (int, error) {
	if len(b) > r.left {
		return 0, errLong
	}
	n, err := r.in.Read(b)
	r.left -= n
	return n, err
}

func (r *reader) bytes(n int) (uint64, error) {
	var b [8]byte
	_, err := io.ReadFull(r, b[8-n:])
	return binary.BigEndian.Uint64(b[:]), err
}

// The kinds of value that the reader tells apart.
const (
	kindNil = iota
	kindBool
	kindInt
	kindFloat
	kindText // strings and binaries
	kindList
	kindMap
	kindOther // extensions
)

// head reads what stands before a value: its kind and, by kind, its number, length or count.
func (r *reader) head() (kind int, n int64, err error) {
	lead, err := r.bytes(1)
	if err != nil {
		return 0, 0, err
	}
	sized := func(kind, size int) (int, int64, error) {
		u, err := r.bytes(size)
		if u > math.MaxInt64 { // only a count or number beyond all use
			u = math.MaxInt64
		}
		return kind, int64(u), err
	}
	signed := func(size int) (int, int64, error) {
		u, err := r.bytes(size)
		shift := 64 - 8*size
		return kindInt, int64(u<<shift) >> shift, err
	}
	switch c := byte(lead); {
	case c <= 0x7f:
		return kindInt, int64(c), nil
	case c <= 0x8f:
		return kindMap, int64(c & 0x0f), nil
	case c <= 0x9f:
		return kindList, int64(c & 0x0f), nil
	case c <= 0xbf:
		return kindText, int64(c & 0x1f), nil
	case c == 0xc0:
		return kindNil, 0, nil
	case c == 0xc2, c == 0xc3:
		return kindBool, int64(c & 1), nil
	case c >= 0xc4 && c <= 0xc6:
		return sized(kindText, 1<<(c-0xc4))
	case c >= 0xc7 && c <= 0xc9:
		kind, n, err = sized(kindOther, 1<<(c-0xc7))
		return kind, n + 1, err
	case c == 0xca, c == 0xcb:
		return kindFloat, 4 << (c - 0xca), nil
	case c >= 0xcc && c <= 0xcf:
		return sized(kindInt, 1<<(c-0xcc))
	case c >= 0xd0 && c <= 0xd3:
		return signed(1 << (c - 0xd0))
	case c >= 0xd4 && c <= 0xd8:
		return kindOther, 1<<(c-0xd4) + 1, nil
	case c >= 0xd9 && c <= 0xdb:
		return sized(kindText, 1<<(c-0xd9))
	case c == 0xdc, c == 0xdd:
		return sized(kindList, 2<<(c-0xdc))
	case c == 0xde, c == 0xdf:
		return sized(kindMap, 2<<(c-0xde))
	case c >= 0xe0:
		return kindInt, int64(int8(c)), nil
	}
	return 0, 0, fmt.Errorf("no value begins with %#x", lead)
}

// rest passes over what follows a head.
func (r *reader) rest(kind int, n int64) error {
	switch kind {
	case kindFloat, kindText, kindOther:
		if n > int64(r.left) {
			return errLong
		}
		got, err := r.in.Discard(int(n))
		r.left -= got
		return err
	case kindMap:
		n *= 2
		fallthrough
	case kindList:
		if r.depth--; r.depth < 0 {
			return errors.New("nested too deep")
		}
		for range n {
			if err := r.skip(); err != nil {
				return err
			}
		}
		r.depth++
	}
	return nil
}

// skip passes over a value.
func (r *reader) skip() error {
	kind, n, err := r.head()
	if err != nil {
		return err
	}
	return r.rest(kind, n)
}

// want reads a head of the kind wanted and passes over any other value.
func (r *reader) want(kind int) (int64, error) {
	got, n, err := r.head()
	if err == nil && got != kind {
		if err = r.rest(got, n); err == nil {
			err = errShape
		}
	}
	return n, err
}

// text reads a string or binary of so many bytes at most, and passes over a longer one.
func (r *reader) text(most int) (string, error) {
	n, err := r.want(kindText)
	if err != nil {
		return "", err
	}
	if n > int64(most) {
		if err = r.rest(kindText, n); err == nil {
			err = errShape
		}
		return "", err
	}
	b := make([]byte, n)
	_, err = io.ReadFull(r, b)
	return string(b), err
}

// The writing side.

func putInt(b []byte, n int64) []byte {
	switch {
	case n >= 0 && n < 0x80:
		return append(b, byte(n))
	case n >= 0 && n <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xd3), uint64(n))
}

// putText writes the head of a string and the string.
func putText(b []byte, s string) []byte {
	if len(s) < 32 {
		return append(append(b, 0xa0|byte(len(s))), s...)
	}
	return append(binary.BigEndian.AppendUint16(append(b, 0xda), uint16(len(s))), s...)
}
