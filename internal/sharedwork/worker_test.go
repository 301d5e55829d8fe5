package sharedwork

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/fleet/assignment"
	"copperrock.example/copperrock/internal/fleet/consensus"
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// Due times on the days of daylight-saving changes in Berlin and on an ordinary day, in UTC. In spring the hour from two to
// three doesn't exist and a job at half past two is not due. In autumn the hour occurs twice: the job is due at two different
// Unix times, so nothing runs twice for the same due time.
func TestDaylightSaving(t *testing.T) {
	var lines []string
	for _, day := range []string{"2027-03-28", "2027-10-31", "2027-06-01"} {
		for _, schedule := range []string{"30 2 * * *", "0 * * * *", "@every 1h"} {
			parsed, err := parseSchedule(schedule, "Europe/Berlin")
			if err != nil {
				t.Fatal(err)
			}
			midnight, _ := time.Parse("2006-01-02 15:04", day+" 00:00")
			job := &Job{Schedule: parsed}
			var due []string
			for _, at := range dueTimes(job, midnight.Add(-time.Minute).Unix(), midnight.Add(4*time.Hour)) {
				due = append(due, time.Unix(at, 0).UTC().Format("15:04"))
			}
			lines = append(lines, fmt.Sprintf("%s %q: %v", day, schedule, due))
		}
	}
	testutil.CheckTrace(t, lines)
}

// A valid section, and the errors of sections with invalid settings.
func TestOptions(t *testing.T) {
	var lines []string
	for _, text := range []string{
		`{"probe": 0.2, "jobs": [{"name": "a", "schedule": "0 3 * * *", "zone": "Europe/Berlin", "type": "load", "statement": "x"}]}`,
		`{"jobs": [{"name": "a", "schedule": "often", "type": "load", "statement": "x"}]}`,
		`{"jobs": [{"name": "a", "schedule": "@daily", "zone": "Mars/Olympus", "type": "load", "statement": "x"}]}`,
		`{"jobs": [{"name": "a", "schedule": "@daily", "type": "dump", "statement": "x", "team": "none"}]}`,
		`{"jobs": [{"name": "a", "schedule": "@daily", "type": "load", "statement": "x"}, {"name": "a", "schedule": "@daily", "type": "load", "statement": "y"}]}`,
		`{"jobs": [{"name": "a", "schedule": "@daily", "type": "load", "statement": "x", "late": "never"}]}`,
	} {
		options := &Options{}
		err := schema.Read("test", []byte(text), schema.DefaultBounds, func(o *schema.Object) {
			options.Declare(o, []Class{{"load", false, 30}, {"report", true, 10}}, []string{"all"})
		})
		lines = append(lines, fmt.Sprintf("%v, %d jobs, error %v", options.Tasks(), len(options.Jobs), err))
	}
	testutil.CheckTrace(t, lines)
}

// fakeFleet is a Fleet, a Gateway and a Subscriber whose behavior a test sets. It records the calls.
type fakeFleet struct {
	mu              sync.Mutex
	fence           uint64
	owned           bool // whether the shard is owned
	disconnected    bool
	calls           []string        // commands that were proposed, and runs
	rejectOp        state.Op        // a command with this operation is rejected
	outcome         gateway.Outcome // outcome of each run
	loseOwnershipOn state.Op        // the shard is lost when a command with this operation is proposed
	endpointLists   []string        // names of the endpoints of each list that was applied
	runs            int
	reports         int // load reports that were observed
}

func (f *fakeFleet) BeginWork(assignment.ShardID) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fence, f.owned
}
func (f *fakeFleet) EndWork(assignment.ShardID, uint64) {}
func (f *fakeFleet) Owns(_ assignment.ShardID, fence uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owned && fence == f.fence
}
func (f *fakeFleet) RemainingLease() time.Duration { return time.Second }
func (f *fakeFleet) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.disconnected
}
func (f *fakeFleet) Propose(_ context.Context, c state.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	words := map[state.Op]string{state.OpClaimRun: "take", state.OpStartRun: "send", state.OpFinishRun: "over", state.OpMarkRunUncertain: "doubt", state.OpSkipRun: "miss", state.OpPublishList: "publish"}
	word := words[c.Op]
	if c.Op == state.OpFinishRun {
		word += " as " + c.State.String()
	}
	if c.Op == f.loseOwnershipOn {
		f.owned = false
	}
	if c.Op == f.rejectOp {
		f.calls = append(f.calls, word+" refused")
		return errors.Join(fleet.ErrRejected, errors.New("no"))
	}
	f.calls = append(f.calls, word)
	return nil
}
func (f *fakeFleet) PublishLoad([]fleet.LoadReport) {}
func (f *fakeFleet) ReadyEndpoints() []string       { return nil }
func (f *fakeFleet) PollEndpointLoad(_ string, answer func(deployment.Load, bool)) {
	answer(deployment.NoLoad, false)
}
func (f *fakeFleet) LastLoadReport(string) (deployment.Load, float64, bool) {
	return deployment.NoLoad, 0, false
}
func (f *fakeFleet) ObserveLoadReport(string, float64, deployment.Load) { f.reports++ }
func (f *fakeFleet) Utilization() float64                               { return 0 }
func (f *fakeFleet) DrainEngine(string, bool)                           {}
func (f *fakeFleet) OverrideBudget(string, float64, bool)               {}
func (f *fakeFleet) Execute(_ context.Context, r gateway.InternalRequest) (gateway.Outcome, string) {
	if _, owned := r.FencingToken(); !owned {
		return gateway.OutcomeNotRun, "not the owner"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
	f.calls = append(f.calls, "run")
	return f.outcome, ""
}
func (f *fakeFleet) UpdateEndpoints(_ discovery.UpdateMode, engines []discovery.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := ""
	for _, e := range engines {
		names += e.Name + " "
	}
	f.endpointLists = append(f.endpointLists, names)
}

// The commands that each action proposes for an occurrence. It must be recorded in the fleet's state before its first byte is
// sent, and must not run if a command is rejected or the shard is lost.
func TestCarryOut(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		name          string
		fake          *fakeFleet
		nonIdempotent bool
		kind          assignment.ActionKind
	}{
		{"sound", &fakeFleet{}, true, assignment.ActionRun},
		{"not taken", &fakeFleet{rejectOp: state.OpClaimRun}, true, assignment.ActionRun},
		{"not recorded as sent", &fakeFleet{rejectOp: state.OpStartRun}, true, assignment.ActionRun},
		{"lease over before it is sent", &fakeFleet{loseOwnershipOn: state.OpStartRun}, true, assignment.ActionRun},
		{"throttled", &fakeFleet{outcome: gateway.OutcomeNotRun}, true, assignment.ActionRun},
		{"unclear, run-once", &fakeFleet{outcome: gateway.OutcomeUnknown}, true, assignment.ActionRun},
		{"unclear, restartable", &fakeFleet{outcome: gateway.OutcomeUnknown}, false, assignment.ActionRun},
		{"failed", &fakeFleet{outcome: gateway.OutcomeFailed}, true, assignment.ActionRun},
		{"missed", &fakeFleet{}, true, assignment.ActionSkip},
		{"in doubt", &fakeFleet{}, true, assignment.ActionMarkUncertain},
		{"given up", &fakeFleet{}, true, assignment.ActionGiveUp},
	} {
		c.fake.fence, c.fake.owned = 7, true
		worker := New(&Options{SendFencingToken: true}, c.fake, c.fake, nil, zerolog.Nop())
		next := &step{scheduler: worker.scheduler, job: &Job{Name: "a", JobSpec: assignment.JobSpec{NonIdempotent: c.nonIdempotent}},
			shard: assignment.ShardID{Task: assignment.ScheduledJobs}, action: assignment.Action{Kind: c.kind, Due: 100, Reason: "why"}}
		next.carryOut(context.Background())
		lines = append(lines, fmt.Sprintf("%s: %v", c.name, c.fake.calls))
	}
	testutil.CheckTrace(t, lines)
}

// Guards against making up for the time in which a job was not in the settings, once it is put back.
func TestRestoredJobBeginsAnew(t *testing.T) {
	fake := &fakeFleet{fence: 7, owned: true}
	job := Job{Name: "a", JobSpec: assignment.JobSpec{CatchUp: assignment.CatchUpAll}}
	var err error
	if job.Schedule, err = parseSchedule("@every 1s", "UTC"); err != nil {
		t.Fatal(err)
	}
	for _, restored := range []bool{false, true} {
		now := time.Now()
		s := New(&Options{Jobs: []Job{job}}, fake, fake, nil, zerolog.Nop()).scheduler
		s.update([]consensus.ScheduledJob{{Name: "a", LastDue: now.Unix() - 5, Restored: restored}})
		if missed := len(dueTimes(&job, s.history(&job).LastDue, now)); (missed == 0) != restored {
			t.Errorf("restored %v: %d missed occurrences are due", restored, missed)
		}
	}
}

// Load reports under a lower fencing token than an earlier one of the same shard are ignored, as are those that are too old or
// name a shard that doesn't exist.
func TestLoadReports(t *testing.T) {
	fake := &fakeFleet{}
	worker := New(&Options{}, fake, fake, nil, zerolog.Nop())
	report := func(shard int, fence uint64, age float64) {
		worker.LoadReported([]fleet.LoadReport{{Engine: "e", Shard: shard, Fence: fence, Age: age}})
	}
	report(1, 5, 0)
	report(1, 7, 0)
	report(1, 6, 0) // from a previous owner
	report(2, 6, 0)
	report(2, 6, 3) // three seconds old
	report(-1, 9, 0)
	report(64, 9, 0)
	if fake.reports != 3 {
		t.Errorf("got %d load reports passed to the gateway, want 3", fake.reports)
	}
}

// An engine that several controllers poll is checked in one round of four. Each new set of such engines replaces the previous
// one.
func TestWidelyPolled(t *testing.T) {
	worker := New(&Options{HealthCheckInterval: 0.1}, &fakeFleet{}, &fakeFleet{}, nil, zerolog.Nop())
	dueRounds := func(engine string) (n int) {
		for round := range 100 {
			if worker.health.isDue(engine, round) {
				n++
			}
		}
		return n
	}
	worker.SetWidelyPolled([]uint32{assignment.EngineHash("busy")})
	if dueRounds("busy") != 25 || dueRounds("quiet") != 100 {
		t.Errorf("widely polled engine due in %d rounds, want 25; other engine due in %d rounds, want 100", dueRounds("busy"), dueRounds("quiet"))
	}
	worker.SetWidelyPolled(nil)
	if dueRounds("busy") != 100 {
		t.Errorf("engine that is no longer widely polled: due in %d rounds, want 100", dueRounds("busy"))
	}
}

// The local list is used at the start, and the published list once there is one. A list under an earlier fencing token and an
// invalid one are rejected. The local list is used again while the fleet is disconnected.
func TestListPublisher(t *testing.T) {
	fake := &fakeFleet{owned: true, fence: 4}
	publisher := NewListPublisher(discovery.Bounds{MaxEndpoints: 10, MaxBytes: 1 << 16}, 0.05, fake)
	publisher.fleet, publisher.log = fake, zerolog.Nop()
	endpoints := func(names ...string) (all []discovery.Endpoint) {
		for i, name := range names {
			all = append(all, discovery.Endpoint{Name: name, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: "here", Kind: "small", Weight: 1, State: discovery.InService})
		}
		return all
	}
	text := func(names ...string) []byte {
		return discovery.List{Generation: 1, Endpoints: endpoints(names...)}.Format()
	}
	publisher.UpdateEndpoints(discovery.DrainingSnapshot, endpoints("a"))
	publisher.publish(context.Background())
	publisher.applyPublished(4, text("a", "b"))
	publisher.applyPublished(3, text("c"))
	publisher.applyPublished(5, []byte("{torn"))
	publisher.UpdateEndpoints(discovery.DrainingSnapshot, endpoints("a", "d")) // not used, because a list has been published
	publisher.publish(context.Background())
	publisher.publish(context.Background()) // nothing new
	fake.mu.Lock()
	fake.disconnected = true
	fake.mu.Unlock()
	publisher.fleetSeenAt = time.Now().Add(-time.Second)
	publisher.checkFallback()
	publisher.checkFallback()
	fake.mu.Lock()
	fake.disconnected = false
	fake.mu.Unlock()
	publisher.checkFallback()
	testutil.CheckTrace(t, []string{fmt.Sprintf("lists taken: %q", fake.endpointLists), fmt.Sprintf("said: %v", fake.calls)})
}
