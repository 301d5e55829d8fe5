// Package bufferpool provides buffers of a fixed size from a pool with a limit, and texts that consist of such buffers.
package bufferpool

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// ErrExhausted means that the pool's limit is reached, or the lower limit for all but the first buffer of a text.
var ErrExhausted = errors.New("all buffers are in use")

// Pool is a pool of buffers of one size. It is safe for concurrent use.
type Pool struct {
	size  int          // size of a buffer in bytes
	limit int64        // maximum number of buffers in use
	inUse atomic.Int64 // number of buffers in use
	free  sync.Pool
}

// NewPool returns a pool of up to limit buffers of size bytes each. Buffers are allocated when first needed. While half of them
// are in use, a text gets one buffer only, so that large texts, which may arrive slowly, leave buffers for small ones.
func NewPool(size int, limit int64) *Pool { return &Pool{size: size, limit: limit} }

// InUse returns the number of buffers in use.
func (p *Pool) InUse() int64 { return p.inUse.Load() }

// get returns an empty buffer. first is whether it is the first one of a text.
func (p *Pool) get(first bool) ([]byte, error) {
	limit := p.limit
	if !first {
		limit = p.limit / 2
	}
	if p.inUse.Add(1) > limit {
		p.inUse.Add(-1)
		return nil, ErrExhausted
	}
	if b, _ := p.free.Get().(*[]byte); b != nil {
		return (*b)[:0], nil
	}
	return make([]byte, 0, p.size), nil
}

func (p *Pool) put(b []byte) {
	p.inUse.Add(-1)
	p.free.Put(&b)
}

// Chain is a text in as many buffers as it needs. It is reference-counted: it starts with one holder, and its buffers return to
// the pool when the last holder calls Free. A nil Chain is empty.
type Chain struct {
	pool    *Pool
	parts   [][]byte
	size    int
	holders atomic.Int32
}

// NewChain returns an empty chain with one holder.
func (p *Pool) NewChain() *Chain {
	c := &Chain{pool: p}
	c.holders.Store(1)
	return c
}

// Size returns the length of the text in bytes.
func (c *Chain) Size() int {
	if c == nil {
		return 0
	}
	return c.size
}

// Fill appends the next n bytes of r. Buffers are taken from the pool as the bytes arrive, so that bytes that are announced but
// never sent use none. If no buffer is left, Fill returns ErrExhausted.
func (c *Chain) Fill(r io.Reader, n int) error {
	for n > 0 {
		last := len(c.parts) - 1
		if last < 0 || len(c.parts[last]) == c.pool.size {
			b, err := c.pool.get(last < 0)
			if err != nil {
				return err
			}
			c.parts = append(c.parts, b)
			last++
		}
		b := c.parts[last]
		room := min(n, c.pool.size-len(b))
		got, err := r.Read(b[len(b) : len(b)+room])
		c.parts[last] = b[:len(b)+got]
		c.size += got
		n -= got
		if err != nil && n > 0 {
			return err
		}
	}
	return nil
}

// Join moves the text of another chain to the end of this one. The other chain must not be used any more.
func (c *Chain) Join(o *Chain) {
	c.parts, c.size = append(c.parts, o.parts...), c.size+o.size
	o.parts, o.size = nil, 0
}

// Last returns the last byte of the text, 0 if it is empty.
func (c *Chain) Last() byte {
	for i := len(c.parts) - 1; i >= 0; i-- {
		if b := c.parts[i]; len(b) > 0 {
			return b[len(b)-1]
		}
	}
	return 0
}

// Bytes returns the text as one slice. It makes a copy unless the text is in a single buffer.
func (c *Chain) Bytes() []byte {
	if len(c.parts) == 1 {
		return c.parts[0]
	}
	return bytes.Join(c.parts, nil)
}

// WriteTo writes the text to w. The chain keeps it.
func (c *Chain) WriteTo(w io.Writer) (int64, error) {
	if c == nil {
		return 0, nil
	}
	parts := append(net.Buffers{}, c.parts...)
	return parts.WriteTo(w)
}

// Hold adds a holder and returns the chain.
func (c *Chain) Hold() *Chain {
	if c != nil {
		c.holders.Add(1)
	}
	return c
}

// Free removes a holder. When the last one is removed, the buffers return to the pool.
func (c *Chain) Free() {
	if c == nil || c.holders.Add(-1) != 0 {
		return
	}
	for _, b := range c.parts {
		c.pool.put(b)
	}
	c.parts, c.size = nil, 0
}

// Parts returns the text as the slices in which it is stored, for a vectored write.
func (c *Chain) Parts() [][]byte {
	if c == nil {
		return nil
	}
	return c.parts
}
