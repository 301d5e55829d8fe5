package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/operator"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/harness/fakeengine"
	"copperrock.example/copperrock/internal/harness/invariant"
	"copperrock.example/copperrock/internal/harness/loadgen"
	"copperrock.example/copperrock/internal/logging"
)

// demoSettings are an operator's settings like any other; the demo sets the paths and the address.
//
//go:embed demo.jsonc
var demoSettings []byte

type demoCommand struct {
	For   time.Duration `default:"5s" help:"How long jobs come."`
	Rate  float64       `default:"120" help:"Jobs a second, of all types together."`
	Seed  uint64        `default:"1" help:"For the jobs and their faults."`
	Teams bool          `help:"Two teams at odds instead, with waits told against waits had."`
	Fleet bool          `help:"Five controllers that divide a budget and run a job each second, while one is frozen, one killed, one cut off."`
	Log   bool          `help:"Write the controller's log too."`
}

// Run plays a small day: half-way through, the watched file drains an engine and adds another.
func (d *demoCommand) Run(out io.Writer) error {
	folder, err := os.MkdirTemp("", "copperrock-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a folder for temporary files
	if d.Fleet {
		return demoFleet(out, folder)
	}
	s, err := operator.Parse("demo.jsonc", demoSettings, nil)
	if err != nil {
		return err
	}
	s.EngineFile.File = filepath.Join(folder, "engines.jsonc")
	rules := &invariant.Checker{DrainGrace: s.Settings.DrainGrace, LateTolerance: 0.05, RetryBudgetWindow: s.Settings.Admission.RetryBudgetWindow,
		RetryBudgetFree: s.Settings.Admission.RetryBudgetFree, RetryBudgetRatio: s.Settings.Admission.RetryBudgetRatio}
	told := &waitReport{firstAttempts: map[string]float64{}}
	engines, list := make([]*fakeengine.Engine, 4), discovery.List{Generation: 1}
	names := []string{"amber", "beryl", "coral", "delft"}
	for i, name := range names {
		e := &fakeengine.Engine{Name: name, Cores: 4, Speed: 1, Memory: 4096, Seed: d.Seed + uint64(i), OnEvent: func(s fakeengine.Event) {
			rules.EngineEvent(s)
			told.observe(s)
		},
			Faults: map[fakeengine.Fault]float64{fakeengine.Fail: 0.01, fakeengine.Slow: 0.01}}
		if d.Teams { // few cores, so that jobs wait
			e.Cores, e.Faults = 1, nil
		}
		if err := e.Start(); err != nil {
			return err
		}
		defer e.Stop()
		engines[i] = e
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: name, Address: e.Address, Zone: "here", Kind: "small", Weight: 1,
			State: discovery.InService})
	}
	all := list.Endpoints
	list.Endpoints = all[:3]
	if err := os.WriteFile(s.EngineFile.File, list.Format(), 0o600); err != nil {
		return err
	}
	if d.Teams {
		s.RequestFields.Team, s.RequestFields.WaitEstimate = "team", "wait"
		s.Teams.Options.DefaultTeam = "analysts"
		s.Teams.Budgets = []fairshare.Budget{{Name: "analysts", Weight: 1, MaxQueued: 200}, {Name: "members", Weight: 2, Guaranteed: 4096}}
		s.Settings.Admission.MachineTypes[0].Cores = 1
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	errs := io.Discard
	if d.Log {
		errs = os.Stderr
	}
	c := &controller{settings: s, readSettings: func() (*operator.Settings, error) { return s, nil }, listener: l,
		logs: logging.New(errs, s.Log, time.Now),
		onUpdate: func(_ discovery.UpdateMode, engines []discovery.Endpoint) {
			rules.EndpointsUpdated(unixNow(), names, engines)
		}}
	term, end := context.WithCancel(context.Background())
	defer end()
	var running errgroup.Group
	running.Go(func() error { return c.run(term) })

	part := d.Rate / 12
	mix := &loadgen.Mix{Clients: 4, Seed: d.Seed, DataSets: 12, Classes: []loadgen.WorkloadClass{
		{Name: "lookup", Idempotency: admission.Idempotent, Rate: 8 * part, Work: 0.02, Memory: 32, Timeout: 1, Pages: 1},
		{Name: "report", Idempotency: admission.Idempotent, Rate: 3 * part, Work: 0.15, Memory: 256, Timeout: 4, Pages: 3},
		{Name: "load", Idempotency: admission.NonIdempotent, Rate: part, Work: 0.3, Memory: 512, Timeout: 6, Pages: 1}},
		OnSend: func(now float64, j fakeengine.Request, t loadgen.WorkloadClass) {
			rules.RequestSent(now, j, t.Idempotency, t.Pages)
		},
		OnAnswer: func(j fakeengine.Request, _ loadgen.WorkloadClass, a fakeengine.Answer) {
			rules.RequestAnswered(j.ID, a)
			told.add(j.ID, a)
		}, OnUnexpectedAnswer: rules.UnexpectedAnswer}
	if d.Teams { // the analysts send five times what their part can do, the members less than theirs
		mix.Classes = []loadgen.WorkloadClass{
			{Name: "report", Team: "analysts", WantsEstimates: true, Idempotency: admission.Idempotent, Rate: d.Rate / 4, Work: 0.15, Memory: 64, Timeout: 4, Pages: 2},
			{Name: "lookup", Team: "members", WantsEstimates: true, Idempotency: admission.Idempotent, Rate: d.Rate / 6, Work: 0.02, Memory: 32, Timeout: 1, Pages: 1},
			{Name: "load", Team: "members", WantsEstimates: true, Idempotency: admission.NonIdempotent, Rate: d.Rate / 40, Work: 0.2, Memory: 128, Timeout: 6, Pages: 1}}
	}
	fmt.Fprintf(out, "a controller on %s with three stand-in engines, %.0f jobs a second for %v\n", l.Addr(), d.Rate, d.For)
	change := time.AfterFunc(d.For/2, func() {
		next := discovery.List{Generation: 2, Endpoints: []discovery.Endpoint{all[0], all[1], all[2], all[3]}}
		next.Endpoints[1].State = discovery.Terminating
		if err := os.WriteFile(s.EngineFile.File, next.Format(), 0o600); err == nil {
			fmt.Fprintln(out, "the list of engines is rewritten: beryl drains, delft is new")
		}
	})
	defer change.Stop()
	coming, cancel := context.WithTimeout(context.Background(), d.For)
	defer cancel()
	err = mix.Run(coming, l.Addr().String())
	end()
	if ended := running.Wait(); err == nil {
		err = ended
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%s\n", loadgen.FormatTable(mix.Results()))
	if d.Teams {
		fmt.Fprintln(out, told.summary())
	}
	for _, e := range engines {
		jobs, work := e.CompletedWork()
		fmt.Fprintf(out, "%-8s ran %5d jobs, %6.1f s of work\n", e.Name, jobs, work)
	}
	wrong := rules.Violations()
	for _, w := range wrong {
		fmt.Fprintln(out, w)
	}
	if len(wrong) > 0 {
		return fmt.Errorf("%d times a rule was broken", len(wrong))
	}
	fmt.Fprintln(out, "no rule broken")
	return nil
}

func unixNow() float64 { return float64(time.Now().UnixMicro()) / 1e6 }
