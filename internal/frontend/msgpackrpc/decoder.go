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
	in        *bufio.Reader
	remaining int // bytes that the message may still have
	depth     int // levels that values may still be nested
}

// Read reads bytes of the message.
func (d *decoder) Read(b []byte) (int, error) {
	if len(b) > d.remaining {
		return 0, errTooLong
	}
	n, err := d.in.Read(b)
	d.remaining -= n
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
	code := byte(lead)
	if kind, n, ok := shortHead(code); ok {
		return kind, n, nil
	}
	return d.longHead(code)
}

// shortHead is the head of a value that has no more of it than the lead byte.
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

// extensionTypeLen is the byte that tells the type of an extension, before its content.
const extensionTypeLen = 1

// longHead reads the rest of a head that goes on after the lead byte.
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
	return 0, 0, fmt.Errorf("no value begins with %#x", code)
}

// count reads a length, a count or an unsigned number of so many bytes. One beyond all use counts as the largest.
func (d *decoder) count(size int) (int64, error) {
	u, err := d.uint(size)
	return int64(min(u, math.MaxInt64)), err
}

// int reads a signed number of so many bytes.
func (d *decoder) int(size int) (int64, error) {
	u, err := d.uint(size)
	shift := 64 - 8*size
	return int64(u<<shift) >> shift, err
}

// skipBody skips what follows a head.
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
