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
	"copperrock.example/copperrock/internal/fleet/state"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/harness/testutil"
)

// Schedules over daylight-saving changes in Berlin: what is due between two in the morning and four. In spring the hour
// from two is not there, in autumn it comes twice; each is a time of its own, so nothing runs twice at one.
func TestDaylightSaving(t *testing.T) {
	var lines []string
	for _, day := range []string{"2027-03-28", "2027-10-31", "2027-06-01"} {
		for _, schedule := range []string{"30 2 * * *", "0 * * * *", "@every 1h"} {
			s, err := parseSchedule(schedule, "Europe/Berlin")
			if err != nil {
				t.Fatal(err)
			}
			from, _ := time.Parse("2006-01-02 15:04", day+" 00:00")
			j := &Job{Schedule: s}
			var at []string
			for _, when := range dueTimes(j, from.Add(-time.Minute).Unix(), from.Add(4*time.Hour)) {
				at = append(at, time.Unix(when, 0).UTC().Format("15:04"))
			}
			lines = append(lines, fmt.Sprintf("%s %q: %v", day, schedule, at))
		}
	}
	testutil.CheckTrace(t, lines)
}

// What the section may get wrong.
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
		d := &Options{}
		err := schema.Read("test", []byte(text), schema.DefaultBounds, func(o *schema.Object) {
			d.Declare(o, []Class{{"load", false, 30}, {"report", true, 10}}, []string{"all"})
		})
		lines = append(lines, fmt.Sprintf("%v, %d jobs, error %v", d.Tasks(), len(d.Jobs), err))
	}
	testutil.CheckTrace(t, lines)
}

// scripted is a fleet and a gateway that do as a test says.
type scripted struct {
	mu       sync.Mutex
	fence    uint64
	held     bool
	away     bool // the fleet is not heard
	said     []string
	refuse   state.Op
	outcome  gateway.Outcome
	lose     state.Op // the lease is over once this has been said
	members  []string
	runs     int
	readings int
}

func (s *scripted) BeginWork(assignment.ShardID) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence, s.held
}
func (s *scripted) EndWork(assignment.ShardID, uint64) {}
func (s *scripted) Owns(_ assignment.ShardID, fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held && fence == s.fence
}
func (s *scripted) RemainingLease() time.Duration { return time.Second }
func (s *scripted) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.away
}
func (s *scripted) Propose(_ context.Context, c state.Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	words := map[state.Op]string{state.OpClaimRun: "take", state.OpStartRun: "send", state.OpFinishRun: "over", state.OpMarkRunUncertain: "doubt", state.OpSkipRun: "miss", state.OpPublishList: "publish"}
	word := words[c.Op]
	if c.Op == state.OpFinishRun {
		word += " as " + c.State.String()
	}
	if c.Op == s.lose {
		s.held = false
	}
	if c.Op == s.refuse {
		s.said = append(s.said, word+" refused")
		return errors.Join(fleet.ErrRejected, errors.New("no"))
	}
	s.said = append(s.said, word)
	return nil
}
func (s *scripted) PublishLoad([]fleet.LoadReport) {}
func (s *scripted) ReadyEndpoints() []string       { return nil }
func (s *scripted) PollEndpointLoad(_ string, answer func(deployment.Load, bool)) {
	answer(deployment.NoLoad, false)
}
func (s *scripted) LastLoadReport(string) (deployment.Load, float64, bool) {
	return deployment.NoLoad, 0, false
}
func (s *scripted) ObserveLoadReport(string, float64, deployment.Load) { s.readings++ }
func (s *scripted) Utilization() float64                               { return 0 }
func (s *scripted) DrainEngine(string, bool)                           {}
func (s *scripted) OverrideBudget(string, float64, bool)               {}
func (s *scripted) Execute(_ context.Context, j gateway.InternalRequest) (gateway.Outcome, string) {
	if _, still := j.FencingToken(); !still {
		return gateway.OutcomeNotRun, "not the owner"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.said = append(s.said, "run")
	return s.outcome, ""
}
func (s *scripted) UpdateEndpoints(_ discovery.UpdateMode, engines []discovery.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for _, e := range engines {
		text += e.Name + " "
	}
	s.members = append(s.members, text)
}

// The steps of an occurrence: in the ledger before its first byte, and not sent where the ledger or the lease say no.
func TestCarryOut(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		name string
		s    *scripted
		once bool
		do   assignment.ActionKind
	}{
		{"sound", &scripted{}, true, assignment.ActionRun},
		{"not taken", &scripted{refuse: state.OpClaimRun}, true, assignment.ActionRun},
		{"not recorded as sent", &scripted{refuse: state.OpStartRun}, true, assignment.ActionRun},
		{"lease over before it is sent", &scripted{lose: state.OpStartRun}, true, assignment.ActionRun},
		{"throttled", &scripted{outcome: gateway.OutcomeNotRun}, true, assignment.ActionRun},
		{"unclear, run-once", &scripted{outcome: gateway.OutcomeUnknown}, true, assignment.ActionRun},
		{"unclear, restartable", &scripted{outcome: gateway.OutcomeUnknown}, false, assignment.ActionRun},
		{"failed", &scripted{outcome: gateway.OutcomeFailed}, true, assignment.ActionRun},
		{"missed", &scripted{}, true, assignment.ActionSkip},
		{"in doubt", &scripted{}, true, assignment.ActionMarkUncertain},
		{"given up", &scripted{}, true, assignment.ActionGiveUp},
	} {
		s := c.s
		s.fence, s.held = 7, true
		d := New(&Options{SendFencingToken: true}, s, s, nil, zerolog.Nop())
		next := &step{scheduler: d.scheduler, job: &Job{Name: "a", JobSpec: assignment.JobSpec{NonIdempotent: c.once}},
			shard: assignment.ShardID{Task: assignment.ScheduledJobs}, action: assignment.Action{Kind: c.do, Due: 100, Reason: "why"}}
		next.carryOut(context.Background())
		lines = append(lines, fmt.Sprintf("%s: %v", c.name, s.said))
	}
	testutil.CheckTrace(t, lines)
}

// Readings under a lower fence than another of their slice are passed over, as are old ones and those of no slice.
func TestLoadReports(t *testing.T) {
	s := &scripted{}
	d := New(&Options{}, s, s, nil, zerolog.Nop())
	read := func(slice int, fence uint64, age float64) {
		d.LoadReported([]fleet.LoadReport{{Engine: "e", Shard: slice, Fence: fence, Age: age}})
	}
	read(1, 5, 0)
	read(1, 7, 0)
	read(1, 6, 0) // an old owner's
	read(2, 6, 0)
	read(2, 6, 3) // of three seconds ago
	read(-1, 9, 0)
	read(64, 9, 0)
	if s.readings != 3 {
		t.Errorf("%d readings were taken", s.readings)
	}
}

// An engine that several controllers read is asked at one tick in four; the word of it is swapped whole.
func TestWidelyPolled(t *testing.T) {
	d := New(&Options{HealthCheckInterval: 0.1}, &scripted{}, &scripted{}, nil, zerolog.Nop())
	asked := func(name string) (n int) {
		for tick := range 100 {
			if d.health.due(name, tick) {
				n++
			}
		}
		return n
	}
	d.SetWidelyPolled([]uint32{assignment.EngineHash("busy")})
	if asked("busy") != 25 || asked("quiet") != 100 {
		t.Errorf("asked %d and %d times", asked("busy"), asked("quiet"))
	}
	d.SetWidelyPolled(nil)
	if asked("busy") != 100 {
		t.Errorf("asked %d times once nobody reads it", asked("busy"))
	}
}

// The list: own reading at the start, the published one once there is one, not one under an earlier fence nor a broken one,
// own reading again while the fleet is not heard.
func TestListPublisher(t *testing.T) {
	s := &scripted{held: true, fence: 4}
	l := NewListPublisher(discovery.Bounds{MaxEndpoints: 10, MaxBytes: 1 << 16}, 0.05, s)
	l.fleet, l.log = s, zerolog.Nop()
	list := func(names ...string) (all []discovery.Endpoint) {
		for i, name := range names {
			all = append(all, discovery.Endpoint{Name: name, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: "here", Kind: "small", Weight: 1, State: discovery.InService})
		}
		return all
	}
	text := func(names ...string) []byte {
		return discovery.List{Generation: 1, Endpoints: list(names...)}.Format()
	}
	l.UpdateEndpoints(discovery.DrainingSnapshot, list("a"))
	l.publish(context.Background())
	l.applyPublished(4, text("a", "b"))
	l.applyPublished(3, text("c"))
	l.applyPublished(5, []byte("{torn"))
	l.UpdateEndpoints(discovery.DrainingSnapshot, list("a", "d")) // read here; it waits for its owner's word
	l.publish(context.Background())
	l.publish(context.Background()) // nothing new
	s.mu.Lock()
	s.away = true
	s.mu.Unlock()
	l.fleetSeenAt = time.Now().Add(-time.Second)
	l.checkFallback()
	l.checkFallback()
	s.mu.Lock()
	s.away = false
	s.mu.Unlock()
	l.checkFallback()
	testutil.CheckTrace(t, []string{fmt.Sprintf("lists taken: %q", s.members), fmt.Sprintf("said: %v", s.said)})
}
