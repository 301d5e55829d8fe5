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

// demoSettings is an operator's settings file. The demo replaces the path of the engines file.
//
//go:embed demo.jsonc
var demoSettings []byte

type demoCommand struct {
	For   time.Duration `default:"5s" help:"Time for which jobs are sent."`
	Rate  float64       `default:"120" help:"Jobs per second, of all types together; with --teams, 44% of that."`
	Seed  uint64        `default:"1" help:"Seed of the jobs and of the engines' faults."`
	Teams bool          `help:"Run two teams that compete instead, and compare estimated with actual waits."`
	Fleet bool          `help:"Run five controllers instead that divide a budget and run a scheduled job each second, while one is frozen, one is killed and one is cut off. The other flags then have no effect."`
	Log   bool          `help:"Also write the controller's log."`
}

// Run runs a controller, engines and clients. After half of the time, the list of engines drains one engine and adds another.
func (d *demoCommand) Run(out io.Writer) error {
	directory, err := os.MkdirTemp("", "copperrock-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }() // a leftover temporary directory does no harm
	if d.Fleet {
		return demoFleet(out, directory)
	}
	s, err := operator.Parse("demo.jsonc", demoSettings, nil)
	if err != nil {
		return err
	}
	s.EngineFile.File = filepath.Join(directory, "engines.jsonc")
	checker := &invariant.Checker{DrainGrace: s.Settings.DrainGrace, LateTolerance: 0.05, RetryBudgetWindow: s.Settings.Admission.RetryBudgetWindow,
		RetryBudgetFree: s.Settings.Admission.RetryBudgetFree, RetryBudgetRatio: s.Settings.Admission.RetryBudgetRatio}
	waits := &waitReport{firstAttempts: map[string]float64{}}
	engines, list := make([]*fakeengine.Engine, 4), discovery.List{Generation: 1}
	names := []string{"amber", "beryl", "coral", "delft"}
	for i, name := range names {
		e := &fakeengine.Engine{Name: name, Cores: 4, Speed: 1, Memory: 4096, Seed: d.Seed + uint64(i), OnEvent: func(e fakeengine.Event) {
			checker.EngineEvent(e)
			waits.observe(e)
		},
			Faults: map[fakeengine.Fault]float64{fakeengine.Fail: 0.01, fakeengine.Slow: 0.01}}
		if d.Teams { // one core each, so that jobs wait
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
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	logOutput := io.Discard
	if d.Log {
		logOutput = os.Stderr
	}
	c := &controller{settings: s, readSettings: func() (*operator.Settings, error) { return s, nil }, listener: listener,
		logs: logging.New(logOutput, s.Log, time.Now),
		onUpdate: func(_ discovery.UpdateMode, engines []discovery.Endpoint) {
			checker.EndpointsUpdated(unixNow(), names, engines)
		}}
	terminate, shutDown := context.WithCancel(context.Background())
	defer shutDown()
	var running errgroup.Group
	running.Go(func() error { return c.run(terminate) })

	unit := d.Rate / 12
	mix := &loadgen.Mix{Clients: 4, Seed: d.Seed, DataSets: 12, Classes: []loadgen.WorkloadClass{
		{Name: "lookup", Idempotency: admission.Idempotent, Rate: 8 * unit, Work: 0.02, Memory: 32, Timeout: 1, Pages: 1},
		{Name: "report", Idempotency: admission.Idempotent, Rate: 3 * unit, Work: 0.15, Memory: 256, Timeout: 4, Pages: 3},
		{Name: "load", Idempotency: admission.NonIdempotent, Rate: unit, Work: 0.3, Memory: 512, Timeout: 6, Pages: 1}},
		OnSend: func(now float64, j fakeengine.Request, t loadgen.WorkloadClass) {
			checker.RequestSent(now, j, t.Idempotency, t.Pages)
		},
		OnAnswer: func(j fakeengine.Request, _ loadgen.WorkloadClass, a fakeengine.Answer) {
			checker.RequestAnswered(j.ID, a)
			waits.add(j.ID, a)
		}, OnUnexpectedAnswer: checker.UnexpectedAnswer}
	if d.Teams { // the analysts send five times as much work as their share allows, the members less than theirs
		mix.Classes = []loadgen.WorkloadClass{
			{Name: "report", Team: "analysts", WantsEstimates: true, Idempotency: admission.Idempotent, Rate: d.Rate / 4, Work: 0.15, Memory: 64, Timeout: 4, Pages: 2},
			{Name: "lookup", Team: "members", WantsEstimates: true, Idempotency: admission.Idempotent, Rate: d.Rate / 6, Work: 0.02, Memory: 32, Timeout: 1, Pages: 1},
			{Name: "load", Team: "members", WantsEstimates: true, Idempotency: admission.NonIdempotent, Rate: d.Rate / 40, Work: 0.2, Memory: 128, Timeout: 6, Pages: 1}}
	}
	fmt.Fprintf(out, "a controller on %s with three simulated engines, %.0f jobs per second for %v\n", listener.Addr(), d.Rate, d.For)
	rewrite := time.AfterFunc(d.For/2, func() {
		newList := discovery.List{Generation: 2, Endpoints: []discovery.Endpoint{all[0], all[1], all[2], all[3]}}
		newList.Endpoints[1].State = discovery.Terminating
		if err := os.WriteFile(s.EngineFile.File, newList.Format(), 0o600); err == nil {
			fmt.Fprintln(out, "the list of engines has changed: beryl drains, delft is new")
		}
	})
	defer rewrite.Stop()
	sending, cancel := context.WithTimeout(context.Background(), d.For)
	defer cancel()
	err = mix.Run(sending, listener.Addr().String())
	shutDown()
	if runErr := running.Wait(); err == nil {
		err = runErr
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%s\n", loadgen.FormatTable(mix.Results()))
	if d.Teams {
		fmt.Fprintln(out, waits.summary())
	}
	for _, e := range engines {
		jobs, work := e.CompletedWork()
		fmt.Fprintf(out, "%-8s ran %5d jobs, %6.1f s of work\n", e.Name, jobs, work)
	}
	violations := checker.Violations()
	for _, v := range violations {
		fmt.Fprintln(out, v)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d violations of the rules", len(violations))
	}
	fmt.Fprintln(out, "no violations of the rules")
	return nil
}

func unixNow() float64 { return float64(time.Now().UnixMicro()) / 1e6 }
