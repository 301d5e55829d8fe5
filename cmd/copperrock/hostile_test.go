package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/harness/fakeengine"
	"copperrock.example/copperrock/internal/harness/loadgen"
)

// hostileSettings configure one controller with the memory and the descriptors of a small platform. Its engines can't cancel.
const hostileSettings = `{"name": "NAME", "listen": "LISTEN", "seed": "SEED", "machine": {"memory_mb": MEMORY, "sockets": 2048},
  "requests": {"team": "team", "customer": "customer", "key": "order"RETRY},
  "deployment": {"gateways": 1, "index": 0, "zones": ["here"], "kinds": [{"name": "small", "cores": 16, "memory_mb": 32768}],
    "types": [{"name": "lookup", "repeat": "restartable", "job_timeout": 2.5, "sla": 0.5, "threads": 1},
      {"name": "load", "repeat": "run_once", "job_timeout": 20, "sla": 5, "threads": 1}],
    "engines": {"report": ["busy_reqs", "x0"], "call_off": CANCEL}}, "engines": {"file": "ENGINES"}STORE}`

// hostileControllerSettings returns the settings of a controller, with a store below folder if it is to have one.
func hostileControllerSettings(memoryMB int, cancels, stored bool, folder string) string {
	retry, store := "", ""
	if stored {
		retry, store = `, "retry": "retry"`, fmt.Sprintf(`, "store": {"folder": %q}`, filepath.Join(folder, "store"))
	}
	return strings.NewReplacer("MEMORY", fmt.Sprint(memoryMB), "CANCEL", fmt.Sprint(cancels), "RETRY", retry, "STORE", store).Replace(hostileSettings)
}

// hostileShape is a way in which clients misuse their connections.
type hostileShape struct {
	name        string
	connections int
	reads       bool                                      // answers are read and discarded
	behave      func(h *hostileClient, w io.Writer) error // writes to one connection until it is to be closed or a write fails
	stored      bool                                      // the controller has a store
	resets      bool                                      // connections are reset at their end instead of closed
}

// hostileClient is one of the clients of a shape. It connects again whenever its connection ends.
type hostileClient struct {
	ctx    context.Context
	index  int
	serial int // number of the latest request
	sent   []string
}

// nextID returns a request ID that no other request has.
func (h *hostileClient) nextID() string {
	h.serial++
	return fmt.Sprintf("%08x%08x", 0xbad00000+h.index, h.serial)
}

// request returns an encoded request with a new ID. Its fields replace or are added to those that each request has.
func (h *hostileClient) request(class, statement string, fields map[string]string) []byte {
	id := h.nextID()
	h.sent = append(h.sent, id)
	all := map[string]string{"ref": id, "allow": "2000", "effort": "5.0", "need_mb": "32"}
	for name, value := range fields {
		all[name] = value
	}
	return encode([]any{0, uint32(h.serial), class, []any{all, []byte(statement)}})
}

// encode encodes a message as MessagePack.
func encode(message any) []byte {
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		panic(err)
	}
	return encoded
}

// batches calls next for messages and writes them in batches until ctx ends or a write fails.
func (h *hostileClient) batches(w io.Writer, next func(n int) []byte) error {
	const batch = 64
	for n := 0; h.ctx.Err() == nil; {
		var b bytes.Buffer
		for range batch {
			b.Write(next(n))
			n++
		}
		h.sent = h.sent[:0]
		if _, err := w.Write(b.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

// pause waits, or returns false if ctx ends first.
func (h *hostileClient) pause(length time.Duration) bool {
	select {
	case <-h.ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// inPieces writes a message in pieces of a size with a pause after each.
func (h *hostileClient) inPieces(w io.Writer, message []byte, size int, pause time.Duration) error {
	for len(message) > 0 {
		n := min(size, len(message))
		if _, err := w.Write(message[:n]); err != nil {
			return err
		}
		message = message[n:]
		if !h.pause(pause) {
			return nil
		}
	}
	return nil
}

const lookupStatement = "select /* work=0.005 mb=32 */ 1"

// largeStatement makes a request nearly as large as the controller accepts.
var largeStatement = lookupStatement + " /* " + strings.Repeat("x", 250_000) + " */"

// shortFields returns the start of a request whose map announces count fields, followed by as many short ones as given.
func shortFields(count uint32, fields int) []byte {
	b := []byte{0x94, 0, 7, 0xa6, 'l', 'o', 'o', 'k', 'u', 'p', 0x92, 0xdf, byte(count >> 24), byte(count >> 16), byte(count >> 8), byte(count)}
	return append(b, bytes.Repeat([]byte{0xa1, 'x', 0xa0}, fields)...)
}

// manyFields is a whole request with as many short fields as fit into a message.
var manyFields = append(shortFields(80_000, 80_000), 0xc4, 0)

// Statements' schemas are numbered, and the number names the group of tables that a statement reads.
func newTables(n int) string { return fmt.Sprintf("select /* work=0.001 mb=1 */ * from sales_%d.t", n) }

// hostileShapes lists the shapes, by the picture of the letter that they belong to.
var hostileShapes = []hostileShape{
	{name: "a: write small requests byte by byte", connections: 300, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		return h.inPieces(w, h.request("lookup", lookupStatement, nil), 1, 5*time.Millisecond)
	}},
	{name: "a: write large requests slowly", connections: 300, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		return h.inPieces(w, h.request("lookup", largeStatement, nil), 4000, 20*time.Millisecond)
	}},
	{name: "a: stop half way through a large request", connections: 300, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		if _, err := w.Write(h.request("lookup", largeStatement, nil)[:128<<10]); err != nil {
			return err
		}
		h.pause(4 * time.Second)
		return nil
	}},
	{name: "a: heads of very many short fields", connections: 300, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		for h.ctx.Err() == nil {
			if _, err := w.Write(manyFields); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "a: heads that announce more fields than come", connections: 300, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		if _, err := w.Write(shortFields(math.MaxUint32, 80_000)); err != nil {
			return err
		}
		h.pause(4 * time.Second)
		return nil
	}},
	{name: "b: pings", connections: 1, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		ping := encode([]any{0, 1, "ping", []any{map[string]string{}}})
		return h.batches(w, func(int) []byte { return ping })
	}},
	{name: "b: aborts of unknown requests", connections: 1, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		return h.batches(w, func(n int) []byte { return encode([]any{2, "abort", []uint32{uint32(n)}}) })
	}},
	{name: "b: unknown notifications", connections: 1, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		return h.batches(w, func(n int) []byte { return encode([]any{2, fmt.Sprintf("n%d", n), []uint32{}}) })
	}},
	{name: "b: requests with missing fields", connections: 1, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		return h.batches(w, func(n int) []byte {
			return encode([]any{0, uint32(n), "lookup", []any{map[string]string{}, []byte("x")}})
		})
	}},
	{name: "b: requests under ever new classes", connections: 1, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		return h.batches(w, func(n int) []byte { return h.request(fmt.Sprintf("class%d", n), lookupStatement, nil) })
	}},
	{name: "b: small requests", connections: 1, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		return h.batches(w, func(int) []byte { return h.request("lookup", "select /* work=0.0001 mb=1 */ 1", nil) })
	}},
	{name: "b: requests under ever new names", connections: 1, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		return h.batches(w, func(n int) []byte {
			name := fmt.Sprintf("%d-%d", h.index, n)
			return h.request("lookup", newTables(n), map[string]string{"team": "t" + name, "customer": "c" + name, "order": "o" + name, "x" + name: name})
		})
	}},
	{name: "b: requests under ever new keys of the store", connections: 1, reads: true, stored: true, behave: func(h *hostileClient, w io.Writer) error {
		return h.batches(w, func(n int) []byte {
			return h.request("lookup", "select /* work=0.0001 mb=1 */ 1", map[string]string{"retry": fmt.Sprintf("%d-%d", h.index, n)})
		})
	}},
	{name: "b: what can't be read, on ever new connections", connections: 1, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		_, err := w.Write(bytes.Repeat([]byte{0xc1}, 100))
		h.pause(time.Millisecond)
		return err
	}},
	{name: "b: ids that are in use", connections: 1, reads: true, behave: func(h *hostileClient, w io.Writer) error {
		message := encode([]any{0, 1, "lookup", []any{map[string]string{"ref": fmt.Sprintf("%016x", 0xbad), "allow": "2000", "effort": "5.0", "need_mb": "32"}, []byte(lookupStatement)}})
		return h.batches(w, func(int) []byte { return message })
	}},
	{name: "c: send 400 requests and close", connections: 20, behave: sendAndLeave(400)},
	{name: "c: send 4000 requests and close", connections: 20, behave: sendAndLeave(4000)},
	{name: "c: send 20000 requests and close", connections: 5, behave: sendAndLeave(20000)},
	{name: "c: send 400 requests and reset", connections: 20, behave: sendAndLeave(400), resets: true},
	{name: "c: send 4000 requests and reset", connections: 20, behave: sendAndLeave(4000), resets: true},
	{name: "c: send 4000 requests, read, and close", connections: 20, reads: true, behave: sendAndLeave(4000)},
}

// sendAndLeave returns a behavior that sends requests at once and closes the connection.
func sendAndLeave(requests int) func(h *hostileClient, w io.Writer) error {
	return func(h *hostileClient, w io.Writer) error {
		var b bytes.Buffer
		for range requests {
			b.Write(h.request("lookup", lookupStatement, nil))
		}
		_, err := w.Write(b.Bytes())
		return err
	}
}

// departures records when clients left, and which of their requests engines received and when.
type departures struct {
	mu       sync.Mutex
	leftAt   map[string]float64 // Unix seconds, by request ID
	received map[string][]float64

	idempotent map[string]bool // requests that may run again
}

func newDepartures() *departures {
	return &departures{leftAt: map[string]float64{}, received: map[string][]float64{}, idempotent: map[string]bool{}}
}

// observe records an engine's event.
func (d *departures) observe(e fakeengine.Event) {
	if e.Kind == fakeengine.AttemptReceived {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.received[e.RequestID] = append(d.received[e.RequestID], e.At)
		d.idempotent[e.RequestID] = e.Class != "load"
	}
}

// leave records that the client of requests is about to close its connection.
func (d *departures) leave(ids []string) {
	now := float64(time.Now().UnixMicro()) / 1e6
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.leftAt[id] = now
	}
}

// departureGrace is the time in seconds after which nothing may be sent for a client that has left.
const departureGrace = 0.1

// late returns how many attempts began later than departureGrace after their client had left, how much later the last one did,
// in seconds, and how many requests were received more than once.
func (d *departures) late() (attempts int, latest float64, repeated int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, times := range d.received {
		if len(times) > 1 && !d.idempotent[id] {
			repeated++
		}
		left, gone := d.leftAt[id]
		for _, at := range times {
			if after := at - left; gone && after > departureGrace {
				attempts++
				latest = max(latest, after)
			}
		}
	}
	return attempts, latest, repeated
}

// count returns how many requests engines received.
func (d *departures) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.received)
}

// start runs the clients of a shape until ctx ends. connections counts those that were opened.
func (s hostileShape) start(ctx context.Context, address string, d *departures, connections *atomic.Int64) *sync.WaitGroup {
	const reopenPause = 50 * time.Millisecond
	var clients sync.WaitGroup
	for i := range s.connections {
		clients.Go(func() {
			h := &hostileClient{ctx: ctx, index: i}
			for ctx.Err() == nil {
				connections.Add(1)
				s.connect(h, address, d)
				h.pause(reopenPause)
			}
		})
	}
	return &clients
}

// connect runs one connection of a client.
func (s hostileShape) connect(h *hostileClient, address string, d *departures) {
	peer, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	tcp := peer.(*net.TCPConn)
	defer peer.Close()
	defer context.AfterFunc(h.ctx, func() { peer.Close() })()
	var reader sync.WaitGroup
	defer reader.Wait()
	if s.reads {
		reader.Go(func() { _, _ = io.Copy(io.Discard, struct{ io.Reader }{peer}) })
	}
	h.sent = h.sent[:0]
	_ = s.behave(h, peer) // the controller may close the connection at any time
	if s.resets {
		_ = tcp.SetLinger(0)
	}
	d.leave(h.sent)
	peer.Close()
}

// hostileResult is what well-behaved clients experienced beside a shape.
type hostileResult struct {
	floodResult
	connections   int64 // opened by the hostile clients
	lateAttempts  int
	latestAttempt float64 // seconds after its client had left
	repeated      int     // requests that engines received more than once
}

func (r hostileResult) String() string {
	return fmt.Sprintf("%v; %d connections, %d attempts began late, up to %.2f s, %d ids came twice", r.floodResult, r.connections, r.lateAttempts, r.latestAttempt, r.repeated)
}

// runHostile runs 64 well-behaved connections that send lookups of 5 ms to one controller with seven engines, beside the clients
// of a shape, if it is not nil.
func runHostile(t *testing.T, shape *hostileShape, memoryMB int, cancels bool, rate float64, length time.Duration) hostileResult {
	t.Helper()
	const engines, clients = 7, 64
	d := newDepartures()
	c := newTestCluster(t, engines, 1, func(_ int, e *fakeengine.Engine) {
		e.Cores, e.Memory, e.OnEvent = 16, 32768, d.observe
	})
	c.addController("c0", hostileControllerSettings(memoryMB, cancels, shape != nil && shape.stored, c.Folder))
	if err := c.Start("c0"); err != nil {
		t.Fatal(err)
	}
	c.waitReady()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var connections atomic.Int64
	var hostile *sync.WaitGroup
	var starting sync.WaitGroup
	starting.Go(func() { // once the well-behaved clients are connected
		time.Sleep(floodDelay)
		if shape != nil {
			hostile = shape.start(ctx, c.clientAddresses[0], d, &connections)
		}
	})
	mix := &loadgen.Mix{Clients: clients, Seed: 1, Classes: []loadgen.WorkloadClass{{Name: "lookup", Idempotency: admission.Idempotent, Rate: rate, Work: 0.005, Memory: 32, Timeout: 2.5, Pages: 1}}}
	pid := c.Process("c0").PID()
	began, usedBefore := time.Now(), processCPU(t, pid)
	if err := mix.Run(ctx, c.clientAddresses[0]); err != nil {
		t.Fatal(err)
	}
	if !c.Process("c0").Running() {
		t.Fatalf("the controller has ended: %s", c.Tail("c0", 2000))
	}
	figures := hostileResult{floodResult: floodResult{result: mix.Results()[0], cpu: processCPU(t, pid) - usedBefore, peakMB: peakMemory(t, pid), duration: time.Since(began).Seconds()}}
	starting.Wait()
	if hostile != nil {
		hostile.Wait()
	}
	figures.connections = connections.Load()
	figures.lateAttempts, figures.latestAttempt, figures.repeated = d.late()
	return figures
}

// smallPlatformMB is the memory limit of a small platform.
const smallPlatformMB = 192

// What hostile clients cost the others, by shape. MEMORY is the memory limit in MB, SHAPES selects shapes whose names contain it,
// LENGTH is the duration of each run.
func TestMeasureHostileClients(t *testing.T) {
	skipUnlessMeasuring(t)
	length, err := time.ParseDuration(cmp.Or(os.Getenv("LENGTH"), "5s"))
	if err != nil {
		t.Fatal(err)
	}
	const rate = 300
	memoryMB := smallPlatformMB
	readEnv(t, "MEMORY", &memoryMB)
	t.Logf("alone: %v", runHostile(t, nil, memoryMB, false, rate, length))
	for _, shape := range hostileShapes {
		if strings.Contains(shape.name, os.Getenv("SHAPES")) {
			t.Logf("%s, %d connections: %v", shape.name, shape.connections, runHostile(t, &shape, memoryMB, false, rate, length))
		}
	}
}

// Loads that must not run twice, whose clients leave at once and come again under the same IDs while the first try is open and
// after it has ended. Guards against an ID that runs twice.
func TestReturningClientsRunOnce(t *testing.T) {
	for _, cancels := range []bool{false, true} {
		t.Run(fmt.Sprintf("engines cancel %v", cancels), func(t *testing.T) {
			const loads, rounds = 20, 4
			d := newDepartures()
			c := newTestCluster(t, 2, 1, func(_ int, e *fakeengine.Engine) {
				e.Cores, e.Memory, e.OnEvent = 16, 32768, d.observe
			})
			c.addController("c0", hostileControllerSettings(smallPlatformMB, cancels, false, ""))
			if err := c.Start("c0"); err != nil {
				t.Fatal(err)
			}
			c.waitReady()
			for range rounds {
				for n := range loads {
					peer, err := net.Dial("tcp", c.clientAddresses[0])
					if err != nil {
						t.Fatal(err)
					}
					load := encode([]any{0, 1, "load", []any{map[string]string{"ref": fmt.Sprintf("%016x", n+1), "allow": "15000", "effort": "100", "need_mb": "32"},
						[]byte("/* work=0.1 mb=32 */ insert into sales_1.t select 1")}})
					if _, err := peer.Write(load); err != nil {
						t.Fatal(err)
					}
					time.Sleep(10 * time.Millisecond) // most are at an engine by now
					peer.Close()
				}
			}
			if _, _, repeated := d.late(); repeated > 0 || d.count() == 0 {
				t.Errorf("%d of %d loads came to an engine more than once", repeated, d.count())
			}
		})
	}
}
