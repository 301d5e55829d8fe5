package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

// readCommand reads a RESP array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	n, err := readCount(in, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		size, err := readCount(in, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:size])
	}
	return words, nil
}

func readCount(in *bufio.Reader, sign byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != sign {
		return 0, fmt.Errorf("no count: %q", line)
	}
	n, err := strconv.Atoi(line[1 : len(line)-2])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, fmt.Errorf("no count: %q", line)
	}
	return n, nil
}

func appendCommand(b []byte, words ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

// The part of MessagePack that the clients' protocol needs.

func packText(b []byte, s string) []byte {
	switch {
	case len(s) < 32:
		b = append(b, 0xa0|byte(len(s)))
	case len(s) < 256:
		b = append(b, 0xd9, byte(len(s)))
	default:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(len(s)))
	}
	return append(b, s...)
}

func packBin(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(len(s)))
	return append(b, s...)
}

func packUint(b []byte, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(b, 0xce), n)
}

// unpack reads one value: nil, bool, int64, float64, string, []any or map[string]any.
func unpack(in *bufio.Reader) (any, error) {
	t, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	number := func(size int) (uint64, error) {
		b := make([]byte, 8)
		_, err := io.ReadFull(in, b[8-size:])
		return binary.BigEndian.Uint64(b), err
	}
	text := func(n uint64, err error) (any, error) {
		if err != nil || n > 1<<24 {
			return nil, errors.Join(err, errors.New("text"))
		}
		b := make([]byte, n)
		_, err = io.ReadFull(in, b)
		return string(b), err
	}
	list := func(n uint64, err error) (any, error) {
		l := []any{}
		for ; n > 0 && err == nil; n-- {
			var v any
			if v, err = unpack(in); err == nil {
				l = append(l, v)
			}
		}
		return l, err
	}
	table := func(n uint64, err error) (any, error) {
		m := map[string]any{}
		for ; n > 0 && err == nil; n-- {
			var k, v any
			if k, err = unpack(in); err == nil {
				if v, err = unpack(in); err == nil {
					m[fmt.Sprint(k)] = v
				}
			}
		}
		return m, err
	}
	switch {
	case t < 0x80:
		return int64(t), nil
	case t < 0x90:
		return table(uint64(t&0x0f), nil)
	case t < 0xa0:
		return list(uint64(t&0x0f), nil)
	case t < 0xc0:
		return text(uint64(t&0x1f), nil)
	case t >= 0xe0:
		return int64(int8(t)), nil
	}
	switch t {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return t == 0xc3, nil
	case 0xc4, 0xd9:
		return text(number(1))
	case 0xc5, 0xda:
		return text(number(2))
	case 0xc6, 0xdb:
		return text(number(4))
	case 0xcb:
		n, err := number(8)
		return math.Float64frombits(n), err
	case 0xcc, 0xd0:
		n, err := number(1)
		return int64(n), err
	case 0xcd, 0xd1:
		n, err := number(2)
		return int64(n), err
	case 0xce, 0xd2:
		n, err := number(4)
		return int64(n), err
	case 0xcf, 0xd3:
		n, err := number(8)
		return int64(n), err
	case 0xdc:
		return list(number(2))
	case 0xdd:
		return list(number(4))
	case 0xde:
		return table(number(2))
	case 0xdf:
		return table(number(4))
	}
	return nil, fmt.Errorf("type %#x", t)
}
