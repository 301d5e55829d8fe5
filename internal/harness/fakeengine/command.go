package fakeengine

import (
	"bufio"
	"fmt"
	"io"
)

// ReadCommand reads one command of a controller: an array of bulk strings. It returns an error if a size is out of bounds.
func ReadCommand(in *bufio.Reader) (words []string, err error) {
	var parts, size int
	if _, err = fmt.Fscanf(in, "*%d\r\n", &parts); err != nil {
		return nil, err
	}
	if parts < 1 || parts > 8 {
		return nil, fmt.Errorf("command has %d words, want 1 to 8", parts)
	}
	for range parts {
		if _, err = fmt.Fscanf(in, "$%d\r\n", &size); err != nil {
			return nil, err
		}
		if size < 0 || size > 1<<20 {
			return nil, fmt.Errorf("command has a word of %d bytes, want at most 1 MiB", size)
		}
		b := make([]byte, size+2)
		if _, err = io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}
