// Package loadgen sends a mix of jobs to a controller, from a seed, and gathers what became of them.
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

// WorkloadClass is a reservation type as the mix asks for it. Times are seconds, memory is MB.
type WorkloadClass struct {
	Name           string                `json:"Name"`
	Team           string                `json:"Team"` // sent in the field team, where it is not ""
	WantsEstimates bool                  `json:"Asks"` // to be told its wait, in the field wait
	Idempotency    admission.Idempotency `json:"Effect"`
	Rate           float64               `json:"Rate"` // jobs a second
	Work           float64               `json:"Work"` // means; both vary from a half to twice
	Memory         float64               `json:"Memory"`
	Timeout        float64               `json:"Allow"`
	Pages          int                   `json:"Pages"`
}

// key names the type in results, with its team.
func (t WorkloadClass) key() string {
	if t.Team == "" {
		return t.Name
	}
	return t.Team + "/" + t.Name
}

// Mix is a stream of jobs.
type Mix struct {
	Classes []WorkloadClass
	Clients int
	Seed    uint64
	DataSet int // number of data sets; 0 for statements that name none

	// Both may be nil. OnSend is told just before a job goes, Answered with its answer.
	OnSend             func(now float64, j fakeengine.Request, t WorkloadClass)
	OnAnswer           func(j fakeengine.Request, t WorkloadClass, a fakeengine.Answer)
	OnUnexpectedAnswer func(id uint32)

	Recording []Entry // sent in place of drawn jobs, where not nil

	mu      sync.Mutex
	at      float64 // of the latest job drawn
	counter uint64
	results map[string]*Result
}

// Result is what became of the jobs of one type. The histogram holds the waits of those done, in microseconds.
type Result struct {
	Class                             string
	Completed, Rejected, Failed, Lost int
	Waits                             *hdrhistogram.Histogram
}

func (m *Mix) draw() float64 {
	m.counter++
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, [2]uint64{m.Seed, m.counter})
	x := h.Sum64() * 0x9e3779b97f4a7c15
	return float64((x^x>>29)>>11) / (1 << 53)
}

// Run sends jobs at random times until ctx ends, then waits for all answers.
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
	total := 0.0
	for _, t := range m.Classes {
		total += t.Rate
		m.results[t.key()] = &Result{Class: t.key(), Waits: hdrhistogram.New(1, 600e6, 3)}
	}
	var jobs errgroup.Group
	began := time.Now()
	for n := 0; ; n++ {
		e, more := m.next(n, total)
		if !more {
			return jobs.Wait()
		}
		select {
		case <-ctx.Done():
			return jobs.Wait()
		case <-time.After(time.Until(began.Add(time.Duration(e.At * float64(time.Second))))):
		}
		c := clients[n%len(clients)]
		jobs.Go(func() error { m.ask(c, e.Request, e.Class); return nil })
	}
}

// Entry is one job of a recording, sent so many seconds after its start.
type Entry struct {
	At      float64            `json:"At"`
	Request fakeengine.Request `json:"Job"`
	Class   WorkloadClass      `json:"Type"`
}

// next gives the n-th job: of the recording, or drawn.
func (m *Mix) next(n int, total float64) (e Entry, more bool) {
	if m.Recording != nil {
		if n >= len(m.Recording) {
			return e, false
		}
		return m.Recording[n], true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at += -math.Log(1-m.draw()) / total
	t, at := m.Classes[0], m.draw()*total
	for _, o := range m.Classes {
		if t = o; at < o.Rate {
			break
		}
		at -= o.Rate
	}
	return Entry{m.at, m.job(t), t}, true
}

// Record draws the jobs of so many seconds and writes them to a file, a line of JSON each.
func (m *Mix) Record(file string, seconds float64) error {
	total := 0.0
	for _, t := range m.Classes {
		total += t.Rate
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	out := json.NewEncoder(f)
	for n := 0; ; n++ {
		e, _ := m.next(n, total)
		if e.At > seconds {
			return f.Close()
		}
		if err := out.Encode(e); err != nil {
			return errors.Join(err, f.Close())
		}
	}
}

// Replay reads a recording, which Run then sends in place of drawn jobs.
func (m *Mix) Replay(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // nothing was written
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

// job draws one job of a type.
func (m *Mix) job(t WorkloadClass) fakeengine.Request {
	vary := func(mean float64) float64 { return mean * math.Exp2(2*m.draw()-1) }
	j := fakeengine.Request{ID: fmt.Sprintf("%08x%08x", uint32(m.Seed), uint32(m.counter)), Class: t.Name, Timeout: t.Timeout,
		Work: vary(t.Work), Memory: vary(t.Memory)}
	if t.Team != "" {
		j.Fields = map[string]string{"team": t.Team}
		if t.WantsEstimates {
			j.Fields["wait"] = "1"
		}
	}
	table := "t"
	if m.DataSet > 0 {
		table = fmt.Sprintf("sales_%d.t", 1+int(m.draw()*float64(m.DataSet)))
	}
	j.Statement = fmt.Sprintf("select /* work=%.4f mb=%.0f pages=%d */ * from %s", j.Work, j.Memory, max(t.Pages, 1), table)
	return j
}

func (m *Mix) ask(c *fakeengine.Client, j fakeengine.Request, t WorkloadClass) {
	if m.OnSend != nil {
		m.OnSend(float64(time.Now().UnixMicro())/1e6, j, t)
	}
	// A client that stops waiting is another matter: here each waits for its answer well past its time.
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration((j.Timeout+5)*float64(time.Second)))
	defer cancel()
	a := c.Do(ctx, j)
	if m.OnAnswer != nil {
		m.OnAnswer(j, t, a)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.results[t.key()]
	switch a.Outcome {
	case fakeengine.Completed:
		r.Completed++
		_ = r.Waits.RecordValue(int64(a.Latency * 1e6)) // past the histogram's range it is not counted
	case fakeengine.Rejected:
		r.Rejected++
	case fakeengine.FailedPermanently:
		r.Failed++
	default:
		r.Lost++
	}
}

// Results gives what became of the jobs, by type.
func (m *Mix) Results() (all []Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.Classes {
		if r := m.results[t.key()]; r != nil {
			all = append(all, *r)
		}
	}
	return all
}

// WaitPercentile gives a quantile of the waits of jobs done, in seconds.
func (r Result) WaitPercentile(percent float64) float64 {
	return float64(r.Waits.ValueAtQuantile(percent)) / 1e6
}

// FormatTable words the results.
func FormatTable(results []Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-18s %8s %10s %10s %6s %10s %10s %10s\n", "type", "done", "throttled", "cancelled", "lost",
		"wait p50", "wait p99", "wait most")
	for _, r := range slices.Clone(results) {
		fmt.Fprintf(&b, "%-18s %8d %10d %10d %6d %8.1fms %8.1fms %8.1fms\n", r.Class, r.Completed, r.Rejected, r.Failed, r.Lost,
			r.WaitPercentile(50)*1e3, r.WaitPercentile(99)*1e3, r.WaitPercentile(100)*1e3)
	}
	return b.String()
}
