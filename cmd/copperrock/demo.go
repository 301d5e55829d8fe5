package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
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
	demo, err := d.newDemo(out, directory)
	if err != nil {
		return err
	}
	defer demo.stopEngines()
	if err := demo.startEngines(); err != nil {
		return err
	}
	mix := demo.mix()
	if err := demo.play(mix); err != nil {
		return err
	}
	return demo.report(mix)
}

// demoEngines are the names of the engines. The last one is not in the first list of engines.
var demoEngines = []string{"amber", "beryl", "coral", "delft"}

// demo is a run of the demo of one controller.
type demo struct {
	*demoCommand
	out       io.Writer
	settings  *operator.Settings
	checker   *invariant.Checker
	waits     *waitReport
	engines   []*fakeengine.Engine
	endpoints []discovery.Endpoint // of all engines
}

// newDemo reads the settings of the demo, with the list of engines in the directory.
func (d *demoCommand) newDemo(out io.Writer, directory string) (*demo, error) {
	s, err := operator.Parse("demo.jsonc", demoSettings, nil)
	if err != nil {
		return nil, err
	}
	s.EngineFile.File = filepath.Join(directory, "engines.jsonc")
	if d.Teams {
		s.RequestFields.Team, s.RequestFields.WaitEstimate = "team", "wait"
		s.Teams.Options.DefaultTeam = "analysts"
		s.Teams.Budgets = []fairshare.Budget{{Name: "analysts", Weight: 1, MaxQueued: 200}, {Name: "members", Weight: 2, Guaranteed: 4096}}
		s.Settings.Admission.MachineTypes[0].Cores = 1
	}
	checker := &invariant.Checker{
		DrainGrace:        s.Settings.DrainGrace,
		LateTolerance:     0.05,
		RetryBudgetWindow: s.Settings.Admission.RetryBudgetWindow,
		RetryBudgetFree:   s.Settings.Admission.RetryBudgetFree,
		RetryBudgetRatio:  s.Settings.Admission.RetryBudgetRatio,
	}
	return &demo{demoCommand: d, out: out, settings: s, checker: checker, waits: &waitReport{firstAttempts: map[string]float64{}}}, nil
}

// startEngines starts the engines and writes the first list of them.
func (d *demo) startEngines() error {
	for i, name := range demoEngines {
		e := &fakeengine.Engine{Name: name, Cores: 4, Speed: 1, Memory: 4096, Seed: d.Seed + uint64(i), OnEvent: d.engineEvent,
			Faults: map[fakeengine.Fault]float64{fakeengine.Fail: 0.01, fakeengine.Slow: 0.01}}
		if d.Teams { // one core each, so that jobs wait
			e.Cores, e.Faults = 1, nil
		}
		if err := e.Start(); err != nil {
			return err
		}
		d.engines = append(d.engines, e)
		d.endpoints = append(d.endpoints, discovery.Endpoint{Name: name, Address: e.Address, Zone: "here", Kind: "small", Weight: 1,
			State: discovery.InService})
	}
	return d.writeList(1, d.endpoints[:len(d.endpoints)-1])
}

func (d *demo) stopEngines() {
	for _, e := range d.engines {
		e.Stop()
	}
}

func (d *demo) engineEvent(e fakeengine.Event) {
	d.checker.EngineEvent(e)
	d.waits.observe(e)
}

// writeList writes the list of engines.
func (d *demo) writeList(generation int64, endpoints []discovery.Endpoint) error {
	list := discovery.List{Generation: generation, Endpoints: endpoints}
	return os.WriteFile(d.settings.EngineFile.File, list.Format(), 0o600)
}

// changeList drains the second engine and adds the last one.
func (d *demo) changeList() {
	endpoints := slices.Clone(d.endpoints)
	endpoints[1].State = discovery.Terminating
	if err := d.writeList(2, endpoints); err == nil {
		fmt.Fprintln(d.out, "the list of engines has changed: beryl drains, delft is new")
	}
}

// mix returns the requests of the clients.
func (d *demo) mix() *loadgen.Mix {
	mix := &loadgen.Mix{Clients: 4, Seed: d.Seed, DataSets: 12, Classes: d.classes(), OnUnexpectedAnswer: d.checker.UnexpectedAnswer}
	mix.OnSend = func(now float64, r fakeengine.Request, class loadgen.WorkloadClass) {
		d.checker.RequestSent(now, r, class.Idempotency, class.Pages)
	}
	mix.OnAnswer = func(r fakeengine.Request, _ loadgen.WorkloadClass, a fakeengine.Answer) {
		d.checker.RequestAnswered(r.ID, a)
		d.waits.add(r.ID, a)
	}
	return mix
}

// classes returns the workload classes. With teams the analysts send five times as much work as their share allows, the members
// less than theirs.
func (d *demo) classes() []loadgen.WorkloadClass {
	if d.Teams {
		return []loadgen.WorkloadClass{
			{Name: "report", Team: "analysts", WantsEstimates: true, Idempotency: admission.Idempotent, Rate: d.Rate / 4, Work: 0.15, Memory: 64, Timeout: 4, Pages: 2},
			{Name: "lookup", Team: "members", WantsEstimates: true, Idempotency: admission.Idempotent, Rate: d.Rate / 6, Work: 0.02, Memory: 32, Timeout: 1, Pages: 1},
			{Name: "load", Team: "members", WantsEstimates: true, Idempotency: admission.NonIdempotent, Rate: d.Rate / 40, Work: 0.2, Memory: 128, Timeout: 6, Pages: 1}}
	}
	unit := d.Rate / 12
	return []loadgen.WorkloadClass{
		{Name: "lookup", Idempotency: admission.Idempotent, Rate: 8 * unit, Work: 0.02, Memory: 32, Timeout: 1, Pages: 1},
		{Name: "report", Idempotency: admission.Idempotent, Rate: 3 * unit, Work: 0.15, Memory: 256, Timeout: 4, Pages: 3},
		{Name: "load", Idempotency: admission.NonIdempotent, Rate: unit, Work: 0.3, Memory: 512, Timeout: 6, Pages: 1}}
}

// play runs a controller and sends it the requests of the mix.
func (d *demo) play(mix *loadgen.Mix) error {
	listener, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return err
	}
	terminate, shutDown := context.WithCancel(context.Background())
	defer shutDown()
	var running errgroup.Group
	running.Go(func() error { return d.controller(listener).run(terminate) })
	fmt.Fprintf(d.out, "a controller on %s with three simulated engines, %.0f jobs per second for %v\n", listener.Addr(), d.Rate, d.For)
	defer time.AfterFunc(d.For/2, d.changeList).Stop()
	sending, cancel := context.WithTimeout(context.Background(), d.For)
	defer cancel()
	err = mix.Run(sending, listener.Addr().String())
	shutDown()
	if runErr := running.Wait(); err == nil {
		err = runErr
	}
	return err
}

// controller returns the controller of the demo, which accepts clients from the listener.
func (d *demo) controller(listener net.Listener) *controller {
	logOutput := io.Discard
	if d.Log {
		logOutput = os.Stderr
	}
	return &controller{settings: d.settings, readSettings: func() (*operator.Settings, error) { return d.settings, nil }, listener: listener,
		logs: logging.New(logOutput, d.settings.Log, time.Now),
		onUpdate: func(_ discovery.UpdateMode, engines []discovery.Endpoint) {
			d.checker.EndpointsUpdated(unixNow(), demoEngines, engines)
		}}
}

// report prints the results. It returns an error if a rule was violated.
func (d *demo) report(mix *loadgen.Mix) error {
	fmt.Fprintf(d.out, "\n%s\n", loadgen.FormatTable(mix.Results()))
	if d.Teams {
		fmt.Fprintln(d.out, d.waits.summary())
	}
	for _, e := range d.engines {
		requests, work := e.CompletedWork()
		fmt.Fprintf(d.out, "%-8s ran %5d jobs, %6.1f s of work\n", e.Name, requests, work)
	}
	violations := d.checker.Violations()
	for _, v := range violations {
		fmt.Fprintln(d.out, v)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d violations of the rules", len(violations))
	}
	fmt.Fprintln(d.out, "no violations of the rules")
	return nil
}

func unixNow() float64 { return float64(time.Now().UnixMicro()) / 1e6 }
