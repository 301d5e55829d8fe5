package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Decoding errors. After any of them the rest of the stream cannot be parsed.
var (
	errUnexpectedType = errors.New("unexpected type of value")
	errTooLong        = errors.New("message too long")
	errTooDeep        = errors.New("message nested too deeply")
	errTooManyValues  = errors.New("too many values in a message")
)

// decoder reads the MessagePack values of one message from a stream. It does not allocate memory for an announced length
// before the bytes arrive, except for texts of bounded length.
type decoder struct {
	in        *bufio.Reader
	remaining int // maximum number of further bytes in the message
	values    int // maximum number of further values in the message
	depth     int // maximum number of further levels of nesting
}

// Read reads bytes of the message. It implements io.Reader.
func (d *decoder) Read(b []byte) (int, error) {
	if len(b) > d.remaining {
		return 0, errTooLong
	}
	n, err := d.in.Read(b)
	d.remaining -= n
	return n, err
}

// uint reads an unsigned big-endian number of size bytes.
func (d *decoder) uint(size int) (uint64, error) {
	var b [8]byte
	_, err := io.ReadFull(d, b[len(b)-size:])
	return binary.BigEndian.Uint64(b[:]), err
}

// valueKind is the kind of a value, as far as the decoder distinguishes them.
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

// head reads the head of a value: its kind and, depending on the kind, its number, length in bytes or number of elements. All
// values of a message are read through it, so the time that a message takes is bounded by their number.
func (d *decoder) head() (kind valueKind, n int64, err error) {
	if d.values--; d.values < 0 {
		return 0, 0, errTooManyValues
	}
	lead, err := d.uint(1)
	if err != nil {
		return 0, 0, err
	}
	code := byte(lead)
	if kind, n, ok := shortHead(code); ok {
		return kind, n, nil
	}
	return d.longHead(code)
}

// shortHead decodes a head that consists of the lead byte only. ok is false if the head continues after it.
func shortHead(code byte) (kind valueKind, n int64, ok bool) {
	switch {
	case code <= maxFixInt:
		return kindInt, int64(code), true
	case code < codeFixArray:
		return kindMap, int64(code & fixCountMask), true
	case code < codeFixText:
		return kindArray, int64(code & fixCountMask), true
	case code < codeNil:
		return kindText, int64(code & fixTextLenMask), true
	case code == codeNil:
		return kindNil, 0, true
	case code == codeFalse, code == codeTrue:
		return kindBool, int64(code & 1), true
	case code == codeFloat32, code == codeFloat64:
		return kindFloat, 4 << (code - codeFloat32), true
	case code >= codeFixExtension1 && code <= codeFixExtension16:
		return kindOther, 1<<(code-codeFixExtension1) + extensionTypeLen, true
	case code >= codeNegativeFixInt:
		return kindInt, int64(int8(code)), true
	}
	return 0, 0, false
}

// extensionTypeLen is the length of the type of an extension, which precedes its content.
const extensionTypeLen = 1

// longHead reads the rest of a head that continues after the lead byte.
func (d *decoder) longHead(code byte) (kind valueKind, n int64, err error) {
	switch {
	case code >= codeBinary8 && code <= codeBinary32:
		n, err = d.count(1 << (code - codeBinary8))
		return kindText, n, err
	case code >= codeExtension8 && code <= codeExtension32:
		n, err = d.count(1 << (code - codeExtension8))
		return kindOther, n + extensionTypeLen, err
	case code >= codeUint8 && code <= codeUint64:
		n, err = d.count(1 << (code - codeUint8))
		return kindInt, n, err
	case code >= codeInt8 && code <= codeInt64:
		n, err = d.int(1 << (code - codeInt8))
		return kindInt, n, err
	case code >= codeText8 && code <= codeText32:
		n, err = d.count(1 << (code - codeText8))
		return kindText, n, err
	case code == codeArray16, code == codeArray32:
		n, err = d.count(2 << (code - codeArray16))
		return kindArray, n, err
	case code == codeMap16, code == codeMap32:
		n, err = d.count(2 << (code - codeMap16))
		return kindMap, n, err
	}
	return 0, 0, fmt.Errorf("invalid lead byte %#x", code)
}

// count reads a length, a count or an unsigned number of size bytes. A value above math.MaxInt64 is reduced to it: any value
// that large exceeds every limit.
func (d *decoder) count(size int) (int64, error) {
	u, err := d.uint(size)
	return int64(min(u, math.MaxInt64)), err
}

// int reads a signed big-endian number of size bytes.
func (d *decoder) int(size int) (int64, error) {
	u, err := d.uint(size)
	shift := 64 - 8*size
	return int64(u<<shift) >> shift, err
}

// skipBody skips the content of a value whose head has been read.
func (d *decoder) skipBody(kind valueKind, n int64) error {
	switch kind {
	case kindFloat, kindText, kindOther:
		if n > int64(d.remaining) {
			return errTooLong
		}
		got, err := d.in.Discard(int(n))
		d.remaining -= got
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

// skipValues skips count values.
func (d *decoder) skipValues(count int64) error {
	for range count {
		if err := d.skip(); err != nil {
			return err
		}
	}
	return nil
}

// expect reads the head of a value of the given kind and returns its number, length or count. If the value is of another
// kind, it is skipped so that the rest of the message can be read, and ok is false.
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

// require is like expect, but returns an error for a value of another kind.
func (d *decoder) require(kind valueKind) (int64, error) {
	n, ok, err := d.expect(kind)
	if err == nil && !ok {
		err = errUnexpectedType
	}
	return n, err
}

// text reads a string or binary value. A value of another kind or longer than maxLen is skipped, and ok is false.
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
