package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// client is a stand-in for a client: one connection over which it speaks MessagePack-RPC as PROTOCOL.md describes it.
type client struct {
	trial *trial
	name  string
	conn  net.Conn

	write  sync.Mutex
	lastID int

	mu      sync.Mutex
	waiting map[int]*request
	pings   map[int]chan bool
}

// request is a request that was sent.
type request struct {
	id      int
	ref     string
	sentAt  time.Time
	message []byte
	text    string      // for the record
	answer  chan answer // receives the answer, or one that says that the connection has ended
}

// answer is the end of a request as its client sees it.
type answer struct {
	word   string // done, Rejected, another error's name, "no answer" or "closed"
	detail string
	at     time.Time
}

func dialClient(t *trial, name, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{trial: t, name: name, conn: conn, waiting: map[int]*request{}, pings: map[int]chan bool{}}
	go c.read()
	return c, nil
}

// dial connects a client, which the case needs.
func (t *trial) dial(name, address string) *client {
	c, err := dialClient(t, name, address)
	t.require(err == nil, "connect: %v", err)
	return c
}

func (c *client) close() { _ = c.conn.Close() }

// ping returns whether the controller answers a ping with true.
func (c *client) ping() bool {
	answered := make(chan bool, 1)
	c.write.Lock()
	c.lastID++
	id := c.lastID
	c.mu.Lock()
	c.pings[id] = answered
	c.mu.Unlock()
	b := packInt(packInt([]byte{0x94}, 0), id)
	b = append(packText(b, "ping"), 0x91, 0x80)
	_, _ = c.conn.Write(b)
	c.write.Unlock()
	select {
	case ok := <-answered:
		return ok
	case <-time.After(time.Second):
		return false
	}
}

// send sends a request. allow is how long the client waits, fields are further fields in pairs. The estimate of the work is that
// of the statement.
func (c *client) send(class, statement string, allow time.Duration, fields ...string) *request {
	r := c.prepare(class, statement, allow, fields...)
	c.flush(r)
	return r
}

// prepare encodes a request, which flush sends.
func (c *client) prepare(class, statement string, allow time.Duration, fields ...string) *request {
	r := &request{ref: fmt.Sprintf("%016x", rand.Uint64()), answer: make(chan answer, 1)}
	c.write.Lock()
	c.lastID++
	r.id = c.lastID
	c.write.Unlock()
	c.mu.Lock()
	c.waiting[r.id] = r
	c.mu.Unlock()
	all := append([]string{"ref", r.ref, "allow", strconv.Itoa(int(allow.Milliseconds())), "effort", strconv.Itoa(work(statement)), "need_mb", "64"}, fields...)
	b := packInt(packInt([]byte{0x94}, 0), r.id)
	b = append(packText(b, class), 0x92, 0x80|byte(len(all)/2))
	for _, f := range all {
		b = packText(b, f)
	}
	b = append(b, 0xc5)
	b = binary.BigEndian.AppendUint16(b, uint16(len(statement)))
	r.message = append(b, statement...)
	r.text = fmt.Sprintf("request %d %s %q %v", r.id, class, statement, all)
	return r
}

// flush sends requests in one write.
func (c *client) flush(requests ...*request) {
	c.write.Lock()
	defer c.write.Unlock()
	var b []byte
	for _, r := range requests {
		c.trial.log("%s: %s", c.name, r.text)
		b = append(b, r.message...)
	}
	_, _ = c.conn.Write(b)
	for _, r := range requests {
		r.sentAt = time.Now()
	}
}

// abort tells that the client no longer waits for a request.
func (c *client) abort(r *request) {
	c.write.Lock()
	defer c.write.Unlock()
	b := append(packText([]byte{0x93, 2}, "abort"), 0x91)
	c.trial.log("%s: abort %d", c.name, r.id)
	_, _ = c.conn.Write(packInt(b, r.id))
}

// wait waits for the answer of a request.
func (r *request) wait(within time.Duration) answer {
	select {
	case a := <-r.answer:
		return a
	case <-time.After(within):
		return answer{word: "no answer", at: time.Now()}
	}
}

// read reads the answers until the connection ends.
func (c *client) read() {
	in := bufio.NewReader(c.conn)
	for {
		v, err := unpack(in)
		if err != nil {
			break
		}
		message, _ := v.([]any)
		if len(message) != 4 || message[0] != 1 {
			continue
		}
		id, _ := message[1].(int)
		c.mu.Lock()
		pinged, r := c.pings[id], c.waiting[id]
		delete(c.pings, id)
		delete(c.waiting, id)
		c.mu.Unlock()
		if result, ok := message[3].([]any); ok && pinged != nil && len(result) > 0 {
			pinged <- result[0] == true
			continue
		}
		if r == nil {
			continue
		}
		a := answer{word: "done", detail: fmt.Sprint(message[3]), at: time.Now()}
		if failure, failed := message[2].([]any); failed && len(failure) > 0 {
			a.word, a.detail = fmt.Sprint(failure[0]), fmt.Sprint(failure[1:]...)
		}
		c.trial.log("%s: answer %d %s %q", c.name, id, a.word, a.detail)
		r.answer <- a
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.waiting {
		r.answer <- answer{word: "closed", at: time.Now()}
	}
	clear(c.waiting)
}

func packInt(b []byte, n int) []byte {
	if n < 128 {
		return append(b, byte(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(n))
}

func packText(b []byte, s string) []byte {
	if len(s) < 32 {
		b = append(b, 0xa0|byte(len(s)))
	} else {
		b = append(b, 0xd9, byte(len(s)))
	}
	return append(b, s...)
}

// unpack reads one MessagePack value: nil, bool, int, string, []any or map[string]any.
func unpack(in *bufio.Reader) (any, error) {
	code, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	number := func(size int) int {
		var b [8]byte
		_, err = io.ReadFull(in, b[8-size:])
		return int(binary.BigEndian.Uint64(b[:]))
	}
	switch {
	case code < 0x80:
		return int(code), nil
	case code < 0x90:
		return unpackMap(in, int(code&15))
	case code < 0xa0:
		return unpackArray(in, int(code&15))
	case code < 0xc0:
		return unpackText(in, int(code&31))
	case code == 0xc0:
		return nil, nil
	case code == 0xc2, code == 0xc3:
		return code == 0xc3, nil
	case code == 0xc4, code == 0xd9:
		return unpackText(in, number(1))
	case code == 0xc5, code == 0xda:
		return unpackText(in, number(2))
	case code == 0xc6, code == 0xdb:
		return unpackText(in, number(4))
	case code >= 0xcc && code <= 0xcf:
		return number(1 << (code - 0xcc)), err
	case code >= 0xd0 && code <= 0xd3:
		return number(1 << (code - 0xd0)), err
	}
	return nil, errors.Join(err, fmt.Errorf("code %#x", code))
}

func unpackText(in *bufio.Reader, n int) (any, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(in, b)
	return string(b), err
}

func unpackArray(in *bufio.Reader, n int) (any, error) {
	list := make([]any, n)
	for i := range list {
		v, err := unpack(in)
		if err != nil {
			return nil, err
		}
		list[i] = v
	}
	return list, nil
}

func unpackMap(in *bufio.Reader, n int) (any, error) {
	m := map[string]any{}
	for range n {
		k, err := unpack(in)
		if err != nil {
			return nil, err
		}
		v, err := unpack(in)
		if err != nil {
			return nil, err
		}
		m[fmt.Sprint(k)] = v
	}
	return m, nil
}
