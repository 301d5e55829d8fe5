package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/harness/fakeengine"
	"copperrock.example/copperrock/internal/harness/loadgen"
)

// skipUnlessMeasuring skips a measurement, which is not a test; make measure-file and others run them.
func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("measurement: run with MEASURE=1, or make measure-file")
	}
}

// Time from the rename of the list file until the list is applied, beyond the settle time.
func TestMeasureFromRenameToApplied(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, n := range []int{10, 1000, 10000} {
		file := filepath.Join(t.TempDir(), "engines.jsonc")
		f := newTrafficTest(t, 1, nil)
		list := discovery.List{Generation: 1}
		for i := range n {
			list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: fmt.Sprintf("engine-%05d", i), Address: fmt.Sprintf("127.%d.%d.%d:9", 1+i>>16, i>>8&255, i&255),
				Zone: "here", Kind: "small", Weight: 1, State: discovery.InService})
		}
		if err := os.WriteFile(file, list.Format(), 0o644); err != nil {
			t.Fatal(err)
		}
		applied := make(chan time.Time, 1)
		f.onUpdate = func([]discovery.Endpoint) { applied <- time.Now() }
		settleTime := 0.0
		f.start(file, func(s *operator.Settings) { s.EngineFile.SettleTime = 0.1; settleTime = s.EngineFile.SettleTime })
		<-applied
		waits := hdrhistogram.New(1, 60e6, 3)
		for range 100 {
			list.Generation++
			list.Endpoints[int(list.Generation)%n].Weight = 1 + float64(list.Generation%5)
			if err := os.WriteFile(file+".part", list.Format(), 0o644); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			if err := os.Rename(file+".part", file); err != nil {
				t.Fatal(err)
			}
			if err := waits.RecordValue(int64(((<-applied).Sub(began).Seconds() - settleTime) * 1e6)); err != nil {
				t.Fatal(err)
			}
		}
		f.stop()
		t.Logf("%5d engines: p50 %.1f ms, p99 %.1f ms, max %.1f ms beyond the settle time of %g s", n, float64(waits.ValueAtQuantile(50))/1e3,
			float64(waits.ValueAtQuantile(99))/1e3, float64(waits.Max())/1e3, settleTime)
	}
}

// What ten list changes a second cost requests in progress, against the same load without changes.
func TestMeasureJobsWhileListChanges(t *testing.T) {
	skipUnlessMeasuring(t)
	run := func(changes bool, seed uint64) []loadgen.Result {
		file := filepath.Join(t.TempDir(), "engines.jsonc")
		f := newTrafficTest(t, 8, nil)
		list := discovery.List{Generation: 1, Endpoints: slices.Clone(f.endpoints)}
		writeFile(t, file, list.Format())
		f.start(file, func(s *operator.Settings) { s.EngineFile.SettleTime = 0.02 })
		f.nextDecision()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if changes {
			go func() {
				for tick := time.NewTicker(100 * time.Millisecond); ; {
					select {
					case <-ctx.Done():
						tick.Stop()
						return
					case <-tick.C:
					}
					list.Generation++
					list.Endpoints = slices.Clone(f.endpoints)
					removed := int(list.Generation) % len(f.endpoints)
					list.Endpoints = slices.Delete(list.Endpoints, removed, removed+1) // each engine is missing for a tenth of a second
					if err := errors.Join(os.WriteFile(file+".part", list.Format(), 0o644), os.Rename(file+".part", file)); err != nil {
						t.Error(err)
					}
				}
			}()
		}
		mix := f.loadMix(300, seed)
		if err := mix.Run(ctx, f.address); err != nil {
			t.Fatal(err)
		}
		f.stop()
		if violations := f.checker.Violations(); len(violations) > 0 {
			t.Error(violations)
		}
		return mix.Results()
	}
	for seed := range uint64(3) {
		for _, changes := range []bool{false, true} {
			t.Logf("pair %d, list changes %v:\n%s", seed+1, changes, loadgen.FormatTable(run(changes, seed+1)))
		}
	}
}

// CPU time per request and peak memory in the platform deployment, for the binaries listed in BINS in turn.
func TestMeasurePlatform(t *testing.T) {
	skipUnlessMeasuring(t)
	bins := strings.Split(os.Getenv("BINS"), ",")
	if bins[0] == "" {
		t.Skip("BINS lists no binaries")
	}
	for turn := range 3 {
		for _, bin := range bins {
			cpu, rss, requests, results := measurePlatform(t, bin, uint64(turn))
			t.Logf("turn %d, %s: %d requests, %.1f us CPU per request, peak %.1f MB, lookups p50 %.2f ms p99 %.2f ms", turn+1, filepath.Base(filepath.Dir(bin)), requests,
				cpu*1e6/float64(requests), rss, results[0].WaitPercentile(50)*1e3, results[0].WaitPercentile(99)*1e3)
		}
	}
}

// measurePlatform runs one binary under load for ten seconds. Its command channel sends heartbeats only.
func measurePlatform(t *testing.T, bin string, seed uint64) (cpu, rss float64, requests int, results []loadgen.Result) {
	f := newTrafficTest(t, 6, nil)
	channel, err := net.Listen("tcp", "127.0.0.1:0") // sends heartbeats only
	if err != nil {
		t.Fatal(err)
	}
	defer channel.Close()
	go func() {
		for {
			peer, err := channel.Accept()
			if err != nil {
				return
			}
			go func() {
				for err == nil {
					_, err = fmt.Fprintln(peer, 1)
					time.Sleep(time.Second)
				}
			}()
		}
	}()
	var hosts []string
	for _, e := range f.endpoints {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"east","class":"std","block":0,"health":"in_service","share":1,"born_ms":0}`, e.Name, e.Address))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, fmt.Appendf(nil, `{"name":"n1","listen":%q,"seed":"1","limits":{"memory_mb":64,"sockets":384},"channel":%q,
"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"whole":true,"hosts":[%s]}}]},"settings":%s}`, address, channel.Addr(), strings.Join(hosts, ","), deploymentText))
	command := exec.Command(bin)
	command.Env = append(os.Environ(), "LB_CONFIG="+file, "GOMAXPROCS=1")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	mix := &loadgen.Mix{Clients: 6, Seed: seed, DataSets: 20, Classes: []loadgen.WorkloadClass{
		{Name: "lookup", Idempotency: admission.Idempotent, Rate: 450, Work: 0.01, Memory: 32, Timeout: 1, Pages: 1},
		{Name: "load", Idempotency: admission.NonIdempotent, Rate: 50, Work: 0.05, Memory: 512, Timeout: 6, Pages: 2}},
		OnSend: func(now float64, j fakeengine.Request, t loadgen.WorkloadClass) {
			f.checker.RequestSent(now, j, t.Idempotency, t.Pages)
		}}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if peer, err := net.Dial("tcp", address); err == nil {
			peer.Close()
			break
		}
	}
	if err := mix.Run(ctx, address); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(command.Process.Signal(syscall.SIGTERM), command.Wait()); err != nil {
		t.Error(err)
	}
	for _, e := range f.engines {
		e.Stop()
	}
	for _, r := range mix.Results() {
		requests += r.Completed + r.Rejected + r.Failed + r.Lost
	}
	usage := command.ProcessState.SysUsage().(*syscall.Rusage)
	return command.ProcessState.SystemTime().Seconds() + command.ProcessState.UserTime().Seconds(), float64(usage.Maxrss) / 1024, requests, mix.Results()
}
