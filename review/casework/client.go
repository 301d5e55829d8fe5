package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// client is one connection of a client to a controller.
type client struct {
	c       *caseRun
	name    string
	peer    net.Conn
	mu      sync.Mutex
	lastID  uint32
	waiting map[uint32]chan answer
	gone    bool
}

// answer is how a request ended for its client.
type answer struct {
	word  string // done, throttled, cancelled for good, lost
	why   string
	ready bool
	at    time.Time
}

func (c *caseRun) dial(name, address string) (*client, error) {
	peer, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	k := &client{c: c, name: name, peer: peer, waiting: map[uint32]chan answer{}}
	go k.read()
	return k, nil
}

func (k *client) close() { k.peer.Close() }

func (k *client) read() {
	in := bufio.NewReader(k.peer)
	for {
		v, err := unpack(in)
		m, _ := v.([]any)
		if err == nil && len(m) == 3 {
			continue // an estimate
		}
		k.mu.Lock()
		if err != nil || len(m) != 4 {
			k.gone = true
			for id, w := range k.waiting {
				w <- answer{word: "lost", why: fmt.Sprint(err), at: time.Now()}
				delete(k.waiting, id)
			}
			k.mu.Unlock()
			k.peer.Close()
			return
		}
		id, _ := m[1].(int64)
		w := k.waiting[uint32(id)]
		delete(k.waiting, uint32(id))
		k.mu.Unlock()
		if w != nil {
			w <- decode(m[2], m[3])
		}
	}
}

func decode(fault, result any) answer {
	a := answer{word: "done", at: time.Now()}
	if fault == nil {
		if l, ok := result.([]any); ok && len(l) > 0 {
			a.ready, _ = l[0].(bool)
		}
		return a
	}
	a.word = "cancelled for good"
	if l, ok := fault.([]any); ok && len(l) > 0 {
		if l[0] == "Rejected" {
			a.word = "throttled"
		}
		a.why = fmt.Sprint(l...)
	} else {
		a.why = fmt.Sprint(fault)
	}
	return a
}

func (k *client) send(method string, fields [][2]string, body string) (uint32, chan answer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.gone {
		return 0, nil, errors.New("the connection has ended")
	}
	k.lastID++
	id, w := k.lastID, make(chan answer, 1)
	k.waiting[id] = w
	b := packUint([]byte{0x94, 0}, id)
	b = packText(b, method)
	b = append(b, 0x92, 0x80|byte(len(fields)))
	for _, f := range fields {
		b = packText(packText(b, f[0]), f[1])
	}
	b = packBin(b, body)
	k.peer.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := k.peer.Write(b)
	return id, w, err
}

// job sends a request and returns its message id and the channel of its answer. more are further fields.
func (k *client) job(ref, class string, allow time.Duration, statement string, more ...[2]string) (uint32, chan answer) {
	fields := append([][2]string{{"ref", ref}, {"allow", fmt.Sprint(allow.Milliseconds())}, {"effort", "100.0"}, {"need_mb", "30"}}, more...)
	k.c.note("client %s: sends %s %s, allow %v %v", k.name, ref, class, allow, more)
	id, w, err := k.send(class, fields, statement)
	if err != nil {
		w = make(chan answer, 1)
		w <- answer{word: "lost", why: err.Error(), at: time.Now()}
	}
	return id, w
}

// abort takes a request back.
func (k *client) abort(id uint32) {
	k.c.note("client %s: takes message %d back", k.name, id)
	b := packText([]byte{0x93, 2}, "abort")
	b = packUint(append(b, 0x91), id)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, id)
	_, _ = k.peer.Write(b)
}

// waitReady pings a controller until it says that it is ready.
func (c *caseRun) waitReady(address string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		k, err := c.dial("front", address)
		if err != nil {
			continue
		}
		_, w, err := k.send("ping", nil, "")
		if err == nil {
			select {
			case a := <-w:
				if a.ready {
					k.close()
					return
				}
			case <-time.After(time.Second):
			}
		}
		k.close()
	}
	c.unable("a controller is not ready")
}

// quietJob is like job, but leaves no line in the record.
func (k *client) quietJob(ref, class string, allow time.Duration, statement string) (uint32, chan answer) {
	id, w, err := k.send(class, [][2]string{{"ref", ref}, {"allow", fmt.Sprint(allow.Milliseconds())}, {"effort", "20.0"}, {"need_mb", "30"}}, statement)
	if err != nil {
		w = make(chan answer, 1)
		w <- answer{word: "lost", why: err.Error(), at: time.Now()}
	}
	return id, w
}
