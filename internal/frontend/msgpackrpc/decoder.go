package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Errors of decoding, after which the stream cannot be followed any more.
var (
	errUnexpectedType = errors.New("a value of another type")
	errTooLong        = errors.New("message too long")
	errTooDeep        = errors.New("nested too deep")
)

// decoder reads the MessagePack values of one message from a stream. It allocates nothing for a length that is only
// announced.
type decoder struct {
	in    *bufio.Reader
	left  int // bytes that the message may still have
	depth int // levels that values may still be nested
}

// Read reads bytes of the message.
func (d *decoder) Read(b []byte) (int, error) {
	if len(b) > d.left {
		return 0, errTooLong
	}
	n, err := d.in.Read(b)
	d.left -= n
	return n, err
}

// uint reads a big-endian number of so many bytes.
func (d *decoder) uint(size int) (uint64, error) {
	var b [8]byte
	_, err := io.ReadFull(d, b[len(b)-size:])
	return binary.BigEndian.Uint64(b[:]), err
}

// valueKind is what the decoder tells apart of values.
type valueKind int

const (
	kindNil valueKind = iota
	kindBool
	kindInt
	kindFloat
	kindText // strings and binaries
	kindArray
	kindMap
	kindOther // extensions
)

// head reads what stands before a value: its kind and, by kind, its number, length or count.
func (d *decoder) head() (kind valueKind, n int64, err error) {
	lead, err := d.uint(1)
	if err != nil {
		return 0, 0, err
	}
	sized := func(kind valueKind, size int) (valueKind, int64, error) {
		u, err := d.uint(size)
		if u > math.MaxInt64 { // only a count or number beyond all use
			u = math.MaxInt64
		}
		return kind, int64(u), err
	}
	signed := func(size int) (valueKind, int64, error) {
		u, err := d.uint(size)
		shift := 64 - 8*size
		return kindInt, int64(u<<shift) >> shift, err
	}
	switch c := byte(lead); {
	case c <= 0x7f:
		return kindInt, int64(c), nil
	case c <= 0x8f:
		return kindMap, int64(c & 0x0f), nil
	case c <= 0x9f:
		return kindArray, int64(c & 0x0f), nil
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
		return sized(kindArray, 2<<(c-0xdc))
	case c == 0xde, c == 0xdf:
		return sized(kindMap, 2<<(c-0xde))
	case c >= 0xe0:
		return kindInt, int64(int8(c)), nil
	}
	return 0, 0, fmt.Errorf("no value begins with %#x", lead)
}

// skipBody skips what follows a head.
func (d *decoder) skipBody(kind valueKind, n int64) error {
	switch kind {
	case kindFloat, kindText, kindOther:
		if n > int64(d.left) {
			return errTooLong
		}
		got, err := d.in.Discard(int(n))
		d.left -= got
		return err
	case kindMap:
		n *= 2
		fallthrough
	case kindArray:
		if d.depth--; d.depth < 0 {
			return errTooDeep
		}
		if err := d.skipValues(n); err != nil {
			return err
		}
		d.depth++
	}
	return nil
}

// skip skips a value.
func (d *decoder) skip() error {
	kind, n, err := d.head()
	if err != nil {
		return err
	}
	return d.skipBody(kind, n)
}

// skipValues skips so many values.
func (d *decoder) skipValues(count int64) error {
	for range count {
		if err := d.skip(); err != nil {
			return err
		}
	}
	return nil
}

// expect reads a head of one kind and returns its number, length or count. ok is false where the value is of another
// kind; it is skipped then, so that the rest of the message can be read.
func (d *decoder) expect(kind valueKind) (n int64, ok bool, err error) {
	got, n, err := d.head()
	if err != nil {
		return n, false, err
	}
	if got != kind {
		return n, false, d.skipBody(got, n)
	}
	return n, true, nil
}

// require reads a head as expect does; a value of another kind is an error.
func (d *decoder) require(kind valueKind) (int64, error) {
	n, ok, err := d.expect(kind)
	if err == nil && !ok {
		err = errUnexpectedType
	}
	return n, err
}

// text reads a string or binary. ok is false where the value is of another kind or longer than maxLen; it is skipped
// then.
func (d *decoder) text(maxLen int) (s string, ok bool, err error) {
	n, ok, err := d.expect(kindText)
	if err != nil || !ok {
		return "", false, err
	}
	if n > int64(maxLen) {
		return "", false, d.skipBody(kindText, n)
	}
	b := make([]byte, n)
	if _, err = io.ReadFull(d, b); err != nil {
		return "", false, err
	}
	return string(b), true, nil
}
