// Package bufferpool lends buffers of one size from a pool that has a bound.
package bufferpool

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// ErrExhausted tells that all buffers are lent.
var ErrExhausted = errors.New("all buffers are in use")

// Pool lends buffers.
type Pool struct {
	size int
	most int64
	lent atomic.Int64
	free sync.Pool
}

// NewPool makes a pool of so many buffers of a size; they are made when first needed.
func NewPool(size int, most int64) *Pool { return &Pool{size: size, most: most} }

// InUse is the number of buffers in use.
func (p *Pool) InUse() int64 { return p.lent.Load() }

func (p *Pool) get() ([]byte, error) {
	if p.lent.Add(1) > p.most {
		p.lent.Add(-1)
		return nil, ErrExhausted
	}
	if b, _ := p.free.Get().(*[]byte); b != nil {
		return (*b)[:0], nil
	}
	return make([]byte, 0, p.size), nil
}

func (p *Pool) put(b []byte) {
	p.lent.Add(-1)
	p.free.Put(&b)
}

// Chain is a text over as many buffers as it needs. It starts with one holder; the last one to let go gives
// the buffers back. A nil chain is empty.
type Chain struct {
	pool    *Pool
	parts   [][]byte
	size    int
	holders atomic.Int32
}

// NewChain makes an empty chain.
func (p *Pool) NewChain() *Chain {
	c := &Chain{pool: p}
	c.holders.Store(1)
	return c
}

// Size is the length of the text.
func (c *Chain) Size() int {
	if c == nil {
		return 0
	}
	return c.size
}

// Fill appends the next n bytes of r. Buffers are taken as the bytes come, so that a false length costs none.
func (c *Chain) Fill(r io.Reader, n int) error {
	for n > 0 {
		last := len(c.parts) - 1
		if last < 0 || len(c.parts[last]) == c.pool.size {
			b, err := c.pool.get()
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

// Join moves the text of another chain, which ends with it, behind this one's.
func (c *Chain) Join(o *Chain) {
	c.parts, c.size = append(c.parts, o.parts...), c.size+o.size
	o.parts, o.size = nil, 0
}

// Last is the last byte, 0 without one.
func (c *Chain) Last() byte {
	for i := len(c.parts) - 1; i >= 0; i-- {
		if b := c.parts[i]; len(b) > 0 {
			return b[len(b)-1]
		}
	}
	return 0
}

// Bytes gives the text in one piece, without a copy where one buffer holds it.
func (c *Chain) Bytes() []byte {
	if len(c.parts) == 1 {
		return c.parts[0]
	}
	return bytes.Join(c.parts, nil)
}

// WriteTo writes the text and leaves it as it is.
func (c *Chain) WriteTo(w io.Writer) (int64, error) {
	if c == nil {
		return 0, nil
	}
	parts := append(net.Buffers{}, c.parts...)
	return parts.WriteTo(w)
}

// Hold adds a holder.
func (c *Chain) Hold() *Chain {
	if c != nil {
		c.holders.Add(1)
	}
	return c
}

// Free lets go of the chain.
func (c *Chain) Free() {
	if c == nil || c.holders.Add(-1) != 0 {
		return
	}
	for _, b := range c.parts {
		c.pool.put(b)
	}
	c.parts, c.size = nil, 0
}

// Parts gives the text as it lies, for one vectored write.
func (c *Chain) Parts() [][]byte {
	if c == nil {
		return nil
	}
	return c.parts
}
