// Package loadgen generates load for a controller. It sends a random mix of requests, drawn from a seed or read from a
// recording, and summarizes their results.
package loadgen

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// WorkloadClass describes the requests of one workload class in a mix. Times are in seconds, memory in MB.
type WorkloadClass struct {
	Name           string                `json:"Name"`
	Team           string                `json:"Team"` // sent in the request field "team" unless empty
	WantsEstimates bool                  `json:"Asks"` // requests wait estimates, with the request field "wait"
	Idempotency    admission.Idempotency `json:"Effect"`
	Rate           float64               `json:"Rate"`   // requests per second
	Work           float64               `json:"Work"`   // mean in core seconds; drawn from half to twice the mean
	Memory         float64               `json:"Memory"` // mean; drawn from half to twice the mean
	Timeout        float64               `json:"Allow"`
	Pages          int                   `json:"Pages"` // of each result
}

// key is the name of the class in results, including its team.
func (w WorkloadClass) key() string {
	if w.Team == "" {
		return w.Name
	}
	return w.Team + "/" + w.Name
}

// Mix is a random stream of requests with Poisson arrivals.
type Mix struct {
	Classes  []WorkloadClass
	Clients  int // number of connections, 1 if 0
	Seed     uint64
	DataSets int // number of data sets that statements refer to; 0 if they refer to none

	// OnSend is called just before a request is sent, OnAnswer when its answer arrives, and OnUnexpectedAnswer for an answer to
	// no open request. Each may be nil.
	OnSend             func(now float64, r fakeengine.Request, class WorkloadClass)
	OnAnswer           func(r fakeengine.Request, class WorkloadClass, a fakeengine.Answer)
	OnUnexpectedAnswer func(id uint32)

	Recording []Entry // if not nil, sent instead of drawn requests

	mu      sync.Mutex // guards the fields below
	at      float64    // time of the last drawn request, in seconds since the start
	counter uint64     // of random numbers
	results map[string]*Result
}

// Result counts the outcomes of the requests of one class. Waits is a histogram of the latencies of completed requests, in
// microseconds.
type Result struct {
	Class                             string
	Completed, Rejected, Failed, Lost int
	Waits                             *hdrhistogram.Histogram
}

// draw returns the next random number in [0, 1).
func (m *Mix) draw() float64 {
	m.counter++
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, [2]uint64{m.Seed, m.counter})
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return float64((x^x>>29)>>11) / (1 << 53)
}

// Run sends requests until ctx or the recording ends, and then waits for all answers.
func (m *Mix) Run(ctx context.Context, address string) error {
	clients := make([]*fakeengine.Client, max(m.Clients, 1))
	for i := range clients {
		c, err := fakeengine.Dial(address)
		if err != nil {
			return err
		}
		defer c.Close()
		c.OnUnexpectedAnswer = m.OnUnexpectedAnswer
		clients[i] = c
	}
	if err := clients[0].WaitReady(10 * time.Second); err != nil {
		return err
	}
	m.results = map[string]*Result{}
	totalRate := 0.0
	for _, class := range m.Classes {
		totalRate += class.Rate
		m.results[class.key()] = &Result{Class: class.key(), Waits: hdrhistogram.New(1, 600e6, 3)}
	}
	var requests errgroup.Group
	start := time.Now()
	for n := 0; ; n++ {
		e, more := m.next(n, totalRate)
		if !more {
			return requests.Wait()
		}
		select {
		case <-ctx.Done():
			return requests.Wait()
		case <-time.After(time.Until(start.Add(time.Duration(e.At * float64(time.Second))))):
		}
		c := clients[n%len(clients)]
		requests.Go(func() error { m.send(c, e.Request, e.Class); return nil })
	}
}

// Entry is one request of a recording. At is the time when it is sent, in seconds since the start of the recording.
type Entry struct {
	At      float64            `json:"At"`
	Request fakeengine.Request `json:"Job"`
	Class   WorkloadClass      `json:"Type"`
}

// next returns the n-th request of the recording, or draws one if there is no recording. totalRate is the rate of all classes.
func (m *Mix) next(n int, totalRate float64) (e Entry, more bool) {
	if m.Recording != nil {
		if n >= len(m.Recording) {
			return e, false
		}
		return m.Recording[n], true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at += -math.Log(1-m.draw()) / totalRate
	class, rest := m.Classes[0], m.draw()*totalRate
	for _, c := range m.Classes {
		if class = c; rest < c.Rate {
			break
		}
		rest -= c.Rate
	}
	return Entry{m.at, m.drawRequest(class), class}, true
}

// Record draws the requests of the given number of seconds and writes them to a file, one JSON object per line.
func (m *Mix) Record(file string, seconds float64) error {
	totalRate := 0.0
	for _, class := range m.Classes {
		totalRate += class.Rate
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	out := json.NewEncoder(f)
	for n := 0; ; n++ {
		e, _ := m.next(n, totalRate)
		if e.At > seconds {
			return f.Close()
		}
		if err := out.Encode(e); err != nil {
			return errors.Join(err, f.Close())
		}
	}
}

// Replay reads a recording, which Run then sends instead of drawn requests.
func (m *Mix) Replay(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // no error matters after reading
	m.Recording = []Entry{}
	for in := json.NewDecoder(f); ; {
		var e Entry
		if err := in.Decode(&e); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("%s: entry %d: %w", file, len(m.Recording)+1, err)
		}
		m.Recording = append(m.Recording, e)
	}
}

// drawRequest draws a request of a class.
func (m *Mix) drawRequest(class WorkloadClass) fakeengine.Request {
	vary := func(mean float64) float64 { return mean * math.Exp2(2*m.draw()-1) }
	r := fakeengine.Request{ID: fmt.Sprintf("%08x%08x", uint32(m.Seed), uint32(m.counter)), Class: class.Name,
		Timeout: class.Timeout, Work: vary(class.Work), Memory: vary(class.Memory)}
	if class.Team != "" {
		r.Fields = map[string]string{"team": class.Team}
		if class.WantsEstimates {
			r.Fields["wait"] = "1"
		}
	}
	table := "t"
	if m.DataSets > 0 {
		table = fmt.Sprintf("sales_%d.t", 1+int(m.draw()*float64(m.DataSets)))
	}
	r.Statement = fmt.Sprintf("select /* work=%.4f mb=%.0f pages=%d */ * from %s", r.Work, r.Memory, max(class.Pages, 1), table)
	return r
}

// send sends a request, waits for its answer and counts the outcome.
func (m *Mix) send(c *fakeengine.Client, r fakeengine.Request, class WorkloadClass) {
	if m.OnSend != nil {
		m.OnSend(float64(time.Now().UnixMicro())/1e6, r, class)
	}
	// The controller answers by the request's deadline. Wait well past it, so that this client never aborts a request itself.
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration((r.Timeout+5)*float64(time.Second)))
	defer cancel()
	a := c.Do(ctx, r)
	if m.OnAnswer != nil {
		m.OnAnswer(r, class, a)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.results[class.key()]
	switch a.Outcome {
	case fakeengine.Completed:
		result.Completed++
		_ = result.Waits.RecordValue(int64(a.Latency * 1e6)) // fails beyond the range of the histogram; such a wait is left out
	case fakeengine.Rejected:
		result.Rejected++
	case fakeengine.FailedPermanently:
		result.Failed++
	default:
		result.Lost++
	}
}

// Results returns the results by class, in the order of Classes.
func (m *Mix) Results() (all []Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, class := range m.Classes {
		if r := m.results[class.key()]; r != nil {
			all = append(all, *r)
		}
	}
	return all
}

// WaitPercentile returns a percentile of the waits of completed requests, in seconds.
func (r Result) WaitPercentile(percent float64) float64 {
	return float64(r.Waits.ValueAtQuantile(percent)) / 1e6
}

// FormatTable formats results as a table for the terminal.
func FormatTable(results []Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-18s %8s %10s %10s %6s %10s %10s %10s\n", "type", "done", "throttled", "cancelled", "lost",
		"wait p50", "wait p99", "wait max")
	for _, r := range slices.Clone(results) {
		fmt.Fprintf(&b, "%-18s %8d %10d %10d %6d %8.1fms %8.1fms %8.1fms\n", r.Class, r.Completed, r.Rejected, r.Failed, r.Lost,
			r.WaitPercentile(50)*1e3, r.WaitPercentile(99)*1e3, r.WaitPercentile(100)*1e3)
	}
	return b.String()
}
