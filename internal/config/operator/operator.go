// Package operator reads the operator's own settings: one file of JSON with comments, strictly. The same
// declarations give docs/settings.md. What the platform tells at the start (package config) holds where this file
// is silent.
package operator

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/config/platform"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/fairshare"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/logging"
)

// Settings are all that a controller is started with.
type Settings struct {
	platform.Config
	Limits  limits.Limits
	Log     logging.Options
	Engines Engines
	Fields  struct{ Team, Customer, Key, Wait, Retry, First string } // of a request
	Teams   Teams
	More    map[string]any // what further sections read, by their names
}

// Section is a part of the file that another part of the program declares. Declare is called once the rest has been
// read, and gives what it has read.
type Section struct {
	Name, Text string
	Declare    func(s *Settings, o *schema.Object) any
}

// Teams are the budgets; none without Budgets.
type Teams struct {
	Rules   fairshare.Options
	Budgets []fairshare.Budget
}

// Engines tell of the file that lists them. Times are seconds.
type Engines struct {
	File, Copy            string // File is "" where there is none
	Still, Restless, Poll float64
	MostRemoved, HoldFor  float64
	Size, Most            int
	Zones, Kinds          []string // that entries may name, nil for any
}

// Platform gives the settings of a controller that has no file of the operator's.
func Platform(c platform.Config, more ...Section) *Settings {
	s := &Settings{Config: c}
	blank := schema.Read("", []byte("{}"), schema.Usual, s.declared(more))
	if blank != nil { // only what the platform has not told can be missing
		panic(blank)
	}
	return s
}

// Read reads the operator's file over what the platform tells, nil where there is no platform. The error is
// schema.Faults where the file could be read.
func Read(file string, platform *platform.Config, more ...Section) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text, platform, more...)
}

// Parse reads a text as Read does a file.
func Parse(file string, text []byte, platform *platform.Config, more ...Section) (*Settings, error) {
	s := &Settings{}
	if platform != nil {
		s.Config = *platform
	}
	if err := schema.Read(file, text, schema.Usual, s.declared(more)); err != nil {
		return nil, err
	}
	return s, nil
}

// Bounds are what a list of engines must keep to.
func (e Engines) Bounds() discovery.Bounds {
	return discovery.Bounds{MaxEndpoints: e.Most, MaxBytes: e.Size, Zones: e.Zones, Kinds: e.Kinds}
}

// Keeper decides on the versions of the file.
func (e Engines) Keeper() discovery.Tracker {
	return discovery.Tracker{File: e.File, Bounds: e.Bounds(), SettleTime: e.Still, UnsettledWarning: e.Restless,
		MaxRemovedFraction: e.MostRemoved, HoldDownTime: e.HoldFor}
}

// Describe lists all options.
func Describe(more ...Section) []schema.Option { return schema.Describe(new(Settings).declared(more)) }

// declared declares all, the further sections last.
func (s *Settings) declared(more []Section) func(*schema.Object) {
	return func(o *schema.Object) {
		s.declare(o)
		s.More = map[string]any{}
		for _, one := range more {
			o.Object(one.Name, one.Text, func(o *schema.Object) { s.More[one.Name] = one.Declare(s, o) })
		}
	}
}

func (s *Settings) declare(o *schema.Object) {
	alone := len(s.Config.Settings.Classes) == 0 // no platform
	needed := func(is ...schema.Is) []schema.Is {
		if alone {
			return append(is, schema.Required())
		}
		return is
	}
	o.Text(&s.Name, "name", "this gateway's name, the same after a restart", schema.Default(cmp.Or(s.Name, "copperrock")),
		schema.Length(64))
	o.Text(&s.Listen, "listen", "address and port for clients",
		needed(schema.Default(s.Listen), schema.Check(address))...)
	o.Text(&s.Channel, "channel", "address and port of a command channel that lists engines; none without it",
		schema.Default(s.Channel), schema.Check(address))
	seed := ""
	if o.Text(&seed, "seed", "for chance; by name where it is not given"); seed != "" {
		h := fnv.New64a()
		h.Write([]byte(seed))
		s.Seed = h.Sum64()
	}
	o.Object("machine", "what the program may use", func(o *schema.Object) {
		schema.Whole(o, &s.MemoryMB, "memory_mb", "memory; buffers, open jobs and the collector are sized by it",
			schema.Default(cmp.Or(s.MemoryMB, 192)), schema.Between(16, 1<<20), schema.Unit("MB"))
		schema.Whole(o, &s.Sockets, "sockets", "file descriptors, parted between clients and engines",
			schema.Default(cmp.Or(s.Sockets, 1024)), schema.Between(32, 1<<20))
	})
	s.Limits = limits.For(cmp.Or(max(s.MemoryMB, 0), 192), cmp.Or(max(s.Sockets, 0), 1024))
	o.Object("log", "what is written to standard error", s.logs)
	o.Object("clients", "bounds on clients' connections; the defaults suit clients that are not trusted", s.clients)
	o.Object("dispatches", "bounds on connections to engines", s.backs)
	o.Object("leaving", "the end after SIGTERM", s.leaving)
	o.Object("deployment", "what is run, where the platform does not tell it; given, it holds whole", func(o *schema.Object) {
		if alone || o.Has("types") {
			s.deployment(o)
		}
	}, needed()...)
	o.Object("engines", "a file that lists the engines; docs/operators/engines-file.md", s.engines)
	o.Object("requests", "names of the request fields that say whose a job is; none of them is read without a name", func(o *schema.Object) {
		o.Text(&s.Fields.Team, "team", "field that holds the team")
		o.Text(&s.Fields.Customer, "customer", "field that holds the customer, whose share deployment.customers gives")
		o.Text(&s.Fields.Key, "key", "field that holds the order key, for types in order")
		o.Text(&s.Fields.Wait, "wait", "field by which a request asks to be told how long it will wait")
		o.Text(&s.Fields.Retry, "retry", "field with a key that the client repeats with each try of a job, for the store")
		o.Text(&s.Fields.First, "first", "field by which the client says that this is the first try of its key")
		seen := map[string]string{"ref": "", "allow": "", "effort": "", "need_mb": "", "replay": ""}
		for _, f := range [][2]string{{"team", s.Fields.Team}, {"customer", s.Fields.Customer}, {"key", s.Fields.Key}, {"wait", s.Fields.Wait}, {"retry", s.Fields.Retry}, {"first", s.Fields.First}} {
			name, field := f[0], f[1]
			if _, taken := seen[field]; taken && field != "" {
				o.Fault(name, "%q is a field of another use already", field)
			}
			seen[field] = name
		}
		asThePlatform := func(to *string, field string) { // where the operator has no other use for the name
			if _, taken := seen[field]; *to == "" && !taken && !alone {
				*to = field
			}
		}
		asThePlatform(&s.Fields.Customer, "project")
		asThePlatform(&s.Fields.Key, "lookup")
	})
	o.Object("teams", "budgets of teams; docs/operators/teams.md", s.budgets)
	if alone && s.Channel == "" && s.Engines.File == "" {
		o.Fault("", "neither channel nor engines.file tells of any engine")
	}
}

func address(text string) error {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("%q is no address with a port", text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q has no port from 0 to 65535", text)
	}
	return nil
}

func (s *Settings) logs(o *schema.Object) {
	s.Log.Keeper = s.Name
	o.Text(&s.Log.Level, "level", "lines of this level and above", schema.Default("info"),
		schema.OneOf("debug", "info", "warn", "error"))
	o.Text(&s.Log.Form, "form", "auto: console on a terminal, else json", schema.Default("auto"),
		schema.OneOf("json", "console", "auto"))
	o.Number(&s.Log.Burst, "burst", "lines of one message of one part in a second; more are counted and told as dropped",
		schema.Default(10.0), schema.Between(1, 10000))
}

// times declares a time bound with the value that holds without the option as its default.
func times(o *schema.Object, to *float64, name, text string, low, high float64) {
	o.Number(to, name, text, schema.Default(*to), schema.Between(low, high), schema.Unit("s"))
}

func counts(o *schema.Object, to *int, name, text string, low, high float64) {
	schema.Whole(o, to, name, text, schema.Default(*to), schema.Between(low, high))
}

func (s *Settings) clients(o *schema.Object) {
	l := &s.Limits
	times(o, &l.FirstMessageTimeout, "first_message", "for the first message to begin; more where clients open pools ahead", 0.05, 86400)
	times(o, &l.ClientIdleTimeout, "idle", "without an open job, before the connection is closed", 0.05, 86400)
	times(o, &l.ClientReadTimeout, "read", "for the rest of a message that has begun", 0.05, 3600)
	times(o, &l.ClientWriteTimeout, "write", "for a client to take what is written", 0.05, 3600)
	times(o, &l.IdleClientGrace, "spare", "without a job, before a connection may give way to a new one", 0, 86400)
	counts(o, &l.MaxRequestsPerConn, "jobs_per_connection", "open at once on one connection", 1, 10000)
	counts(o, &l.MaxMessage, "message_bytes", "one message", 1024, 64<<20)
	counts(o, &l.MaxRequests, "open_jobs", "open at once on all connections; by default 32 KB of memory each, 20,000 at most", 1, 1e6)
	times(o, &l.DeadlineMargin, "margin", "of a job's time kept for the answer's way back", 0, 5)
	o.Number(&l.MaxMarginFraction, "margin_share", "of a job's time, the most that the margin takes", schema.Default(l.MaxMarginFraction),
		schema.Between(0, 0.5))
}

func (s *Settings) backs(o *schema.Object) {
	l := &s.Limits
	times(o, &l.EngineWriteTimeout, "write", "for an engine to take what is written", 0.05, 60)
	times(o, &l.EngineReadTimeout, "read", "for the rest of an answer that has begun", 0.05, 60)
	times(o, &l.LoadPollTimeout, "probe", "for the answer to a probe", 0.01, 60)
	times(o, &l.KeepaliveAfter, "quiet", "silence on a connection before a sign of life is asked for", 0.05, 60)
	times(o, &l.MaxKeepaliveAfter, "quiet_most", "to which that grows while signs of life come", 0.05, 600)
	counts(o, &l.ConnsPerEngine, "connections", "to one engine before they are filled", 1, 1000)
	counts(o, &l.MaxPage, "page_bytes", "one page of a result", 64, 8<<20)
	counts(o, &l.MaxPages, "pages", "of one result", 1, 100000)
	counts(o, &l.MaxResult, "result_bytes", "a whole result", 64, 1<<30)
}

func (s *Settings) leaving(o *schema.Object) {
	l := &s.Limits
	times(o, &l.ShutdownAcceptTime, "stay", "in which jobs may still come", 0, 600)
	times(o, &l.MaxShutdownWait, "longest", "job timeout that is waited for", 0, 86400)
	times(o, &l.ShutdownMargin, "leave", "more, by when all is answered", 0.05, 600)
}

func (s *Settings) engines(o *schema.Object) {
	e := &s.Engines
	o.Text(&e.File, "file", "path of the list; without it no file is followed", schema.Length(4096))
	o.Text(&e.Copy, "copy", "path at which the last list that held is kept for a restart; nowhere without it",
		schema.Length(4096))
	o.Number(&e.Still, "still", "a version counts once it has stood still so long", schema.Default(0.1), schema.Between(0.01, 60),
		schema.Unit("s"))
	o.Number(&e.Restless, "restless", "after so long without standing still, that is told", schema.Default(10.0),
		schema.Between(0.1, 3600), schema.Unit("s"))
	o.Number(&e.Poll, "poll", "between looks where no notice comes", schema.Default(2.0), schema.Between(0.05, 3600),
		schema.Unit("s"))
	o.Number(&e.MostRemoved, "most_removed", "part of the engines that one version may take away unconfirmed",
		schema.Default(0.5), schema.Between(0, 1))
	o.Number(&e.HoldFor, "hold_for", "after so long a version held back is taken all the same; 0 for never",
		schema.Default(0.0), schema.Between(0, 1e6), schema.Unit("s"))
	schema.Whole(o, &e.Size, "most_bytes", "of the file; it is read no further", schema.Default(4<<20),
		schema.Between(1024, 64<<20), schema.Unit("bytes"))
	schema.Whole(o, &e.Most, "most_engines", "that the file may name", schema.Default(s.Limits.MaxEngines),
		schema.Between(1, 100000))
	if e.File != "" && e.Copy == e.File {
		o.Fault("copy", "must be another file than the list")
	}
	e.Zones, e.Kinds = s.Config.Settings.Zones, s.Config.Settings.Kinds
}

// budgets reads what teams may have. Without any, no job waits for a team.
func (s *Settings) budgets(o *schema.Object) {
	t, r := &s.Teams, &s.Teams.Rules
	for _, c := range s.Config.Settings.Admission.Classes {
		r.Classes = append(r.Classes, fairshare.Class{Idempotent: c.Idempotency == admission.Idempotent, PriorityWeight: c.PriorityWeight, Threads: c.Threads, LatencyObjective: c.LatencyObjective})
	}
	r.MaxRetryAfter = s.Config.Settings.Admission.MaxRetryAfter
	seconds := func(o *schema.Object, to *float64, name, text string, fallback, low, high float64) {
		o.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit("s"))
	}
	o.Text(&r.DefaultTeam, "default", "team of the jobs that name none, or one that is not known; needed where there are budgets")
	schema.Whole(o, &r.MaxUndispatched, "window", "jobs that the module may hold undispatched at most, of each type and of all but those held for long; fewer where it dispatches fewer than that in a twentieth of a second", schema.Default(8), schema.Between(1, 1000))
	seconds(o, &r.StarvationTimeout, "unserved", "after so long without a dispatch a team's next job goes first", 30, 0.1, 60)
	o.Number(&r.AgingRate, "ageing", "seconds of work that a second unserved counts for in the order", schema.Default(0.05), schema.Between(0, 10))
	o.Number(&r.MinEstimateChange, "retell", "part by which a wait must have moved to be told again", schema.Default(0.25), schema.Between(0.01, 10))
	o.Object("preempt", "jobs that fit nowhere may have restartable ones called off", func(o *schema.Object) {
		var types []string
		o.Texts(&types, "types", "reservation types whose jobs may; none without it")
		for _, name := range types {
			if at := slices.Index(s.Config.Settings.Classes, name); at >= 0 {
				r.Classes[at].MayPreempt = true
			} else {
				o.Fault("types", "%q is no reservation type", name)
			}
		}
		seconds(o, &r.PreemptAfter, "after", "that such a job has fitted nowhere", 0.1, 0.01, 60)
		o.Number(&r.PreemptWeightRatio, "value", "times the victim's billed value for its work, at least", schema.Default(3.0), schema.Between(1.5, 1e6))
		schema.Whole(o, &r.MaxPreemptions, "times", "that one job may be a victim", schema.Default(1), schema.Between(0, 10))
		if len(types) == 0 {
			r.MaxPreemptions = 0
		}
	})
	o.List("budgets", "a team each", 10000, func(o *schema.Object, i int) {
		b := fairshare.Budget{}
		o.Text(&b.Name, "name", "as the request field has it", schema.Required(), schema.Check(word))
		o.Text(&b.Parent, "parent", "team whose budget bounds this one's")
		scope := ""
		o.Text(&scope, "scope", "fleet: most_mb is that of all controllers together, divided among them as the section fleet has it", schema.Default("gateway"), schema.OneOf("gateway", "fleet"))
		b.FleetWide = scope == "fleet"
		o.Number(&b.Guaranteed, "guaranteed_mb", "memory of grants that goes before all borrowing", schema.Default(0.0), schema.Between(0, 1e9), schema.Unit("MB"))
		o.Number(&b.Limit, "most_mb", "memory of grants at once; 0 for no bound", schema.Default(0.0), schema.Between(0, 1e9), schema.Unit("MB"))
		o.Number(&b.Weight, "weight", "part of what is left; 0 gets what no other wants", schema.Default(1.0), schema.Between(0, 1000))
		schema.Whole(o, &b.MaxRunning, "running", "jobs at once; 0 for no bound", schema.Default(0), schema.Between(0, 1e6))
		schema.Whole(o, &b.MaxQueued, "waiting", "jobs at once; more are refused; 0 for no bound", schema.Default(1000), schema.Between(0, 1e6))
		seconds(o, &b.MaxWait, "longest_wait", "after which a job is refused; 0 for none", 0, 0, 86400)
		if b.FleetWide && b.Limit == 0 {
			o.Fault("scope", "needs most_mb, the whole that is divided")
		}
		t.Budgets = append(t.Budgets, b)
	})
	if len(t.Budgets) == 0 {
		return
	}
	if r.DefaultTeam == "" {
		o.Fault("default", "is missing; it must name one of the budgets")
	}
	faults := fairshare.Validate(t.Budgets, r.DefaultTeam)
	for _, i := range slices.Sorted(maps.Keys(faults)) {
		if i < 0 {
			o.Fault("default", "%v", faults[i])
		} else {
			o.Fault("budgets", "[%d] %s: %v", i, t.Budgets[i].Name, faults[i])
		}
	}
}

// deployment reads what else the platform's settings hold, in the project's own words.
func (s *Settings) deployment(o *schema.Object) {
	all := deployment.Settings{}
	b := &all.Admission
	schema.Whole(o, &b.GatewayCount, "gateways", "gateways that share the engines", schema.Default(1), schema.Between(1, 100000))
	schema.Whole(o, &b.GatewayIndex, "index", "this gateway's number among them, from 0", schema.Default(0), schema.Between(0, 99999))
	if b.GatewayIndex >= max(b.GatewayCount, 1) {
		o.Fault("index", "is %d, with %d gateways it must be below", b.GatewayIndex, b.GatewayCount)
	}
	o.Texts(&all.Zones, "zones", "names of the zones", schema.Check(word))
	zone := ""
	o.Text(&zone, "zone", "this gateway's; the first without it")
	if b.Zone = max(slices.Index(all.Zones, zone), 0); zone != "" && !slices.Contains(all.Zones, zone) {
		o.Fault("zone", "%q is none of the zones", zone)
	}
	o.List("kinds", "kinds of machine that engines run on", 64, func(o *schema.Object, i int) {
		k, name := admission.MachineType{}, ""
		o.Text(&name, "name", "as the list of engines has it", schema.Required(), schema.Check(word))
		o.Number(&k.Cores, "cores", "cores for jobs", schema.Required(), schema.Between(0.1, 4096))
		o.Number(&k.Memory, "memory_mb", "memory for jobs", schema.Required(), schema.Between(1, 1e9), schema.Unit("MB"))
		if slices.Contains(all.Kinds, name) {
			o.Fault("name", "%q stands there twice", name)
		}
		all.Kinds, b.MachineTypes = append(all.Kinds, name), append(b.MachineTypes, k)
	}, schema.Required())
	o.List("types", "reservation types, by the name that jobs are asked for with", 256, func(o *schema.Object, i int) {
		reservation(o, &all)
	}, schema.Required())
	if o.Has("types") && len(b.Classes) == 0 {
		o.Fault("types", "names no reservation type")
	}
	o.List("customers", "customers with a share; past it their jobs count less", 10000, func(o *schema.Object, i int) {
		name, rate := "", 0.0
		o.Text(&name, "name", "as the request field has it", schema.Required())
		o.Number(&rate, "rate", "jobs a second within its share, over all gateways", schema.Required(), schema.Between(0, 1e9))
		all.Customers, b.TenantQuotas = append(all.Customers, name), append(b.TenantQuotas, rate)
	})
	o.Number(&b.OverQuotaWeight, "over_share", "part of its billed value that a job past its customer's share counts for", schema.Default(0.5), schema.Between(0, 1))
	o.Object("engines", "what engines understand", func(o *schema.Object) { understood(o, &all) })
	o.Object("rules", "the figures that the seven rules are kept by", func(o *schema.Object) { rules(o, &all) })
	s.Config.Settings = all
}

func word(name string) error {
	if name == "" || deployment.Name(name) != name {
		return fmt.Errorf("%q is no name: one word without commas", name)
	}
	return nil
}

func reservation(o *schema.Object, all *deployment.Settings) {
	c, name, repeat, group, timeout := admission.Class{}, "", "", "", 0.0
	seconds := func(to *float64, name, text string, says ...schema.Is) {
		o.Number(to, name, text, append(says, schema.Between(0, 86400), schema.Unit("s"))...)
	}
	o.Text(&name, "name", "one word", schema.Required(), schema.Check(word))
	o.Text(&repeat, "repeat", "what a further dispatch may do", schema.Required(), schema.OneOf("restartable", "keyed", "run_once"))
	seconds(&timeout, "job_timeout", "after which the client waits no more", schema.Required())
	seconds(&c.LatencyObjective, "sla", "SLA time", schema.Required())
	o.Number(&c.ObjectiveStretch, "stretch", "added to the SLA time, times the job's work over its threads", schema.Default(0.0),
		schema.Between(0, 1000))
	o.Number(&c.PriorityWeight, "value", "billed value of a job in time", schema.Default(1.0), schema.Between(0, 1e9))
	o.Number(&c.Threads, "threads", "that one job uses", schema.Default(1.0), schema.Between(0.1, 4096))
	seconds(&c.IdempotencyWindow, "window", "in which engines drop repeats of a keyed job, from the first dispatch", schema.Default(0.0))
	o.Text(&group, "group", "engines that drop each other's repeats", schema.Default("all"), schema.OneOf("all", "zone", "cell"))
	o.Bool(&c.Ordered, "in_order", "jobs of one key run one after the other", schema.Default(false))
	o.Bool(&c.WritesTables, "load", "writes its data set and holds it", schema.Default(false))
	o.Bool(&c.BlockedByWrites, "waits", "stands still behind a load of its data set", schema.Default(false))
	bind := func(to *[]int, name, text string, among []string) {
		var names []string
		if o.Texts(&names, name, text); names == nil {
			return
		}
		*to = []int{}
		for _, n := range names {
			at := slices.Index(among, n)
			if at < 0 {
				o.Fault(name, "%q is not known", n)
			}
			*to = append(*to, at)
		}
	}
	bind(&c.AllowedZones, "zones", "it may run in these only", all.Zones)
	bind(&c.AllowedMachineTypes, "kinds", "it may run on these only", all.Kinds)
	c.Idempotency = map[string]admission.Idempotency{"restartable": admission.Idempotent, "keyed": admission.IdempotentWithKey, "run_once": admission.NonIdempotent}[repeat]
	c.DedupScope = map[string]admission.DedupScope{"zone": admission.DedupInZone, "cell": admission.DedupInCell}[group]
	switch {
	case slices.Contains(all.Classes, name):
		o.Fault("name", "%q stands there twice", name)
	case name == "ping":
		o.Fault("name", "ping is what clients ask whether the gateway is ready")
	}
	if c.Idempotency == admission.IdempotentWithKey && c.IdempotencyWindow == 0 {
		o.Fault("window", "is needed for a keyed type")
	}
	if o.Has("sla") && o.Has("job_timeout") && c.LatencyObjective > timeout {
		o.Fault("sla", "is beyond the job timeout")
	}
	all.Classes, all.JobTimeouts = append(all.Classes, name), append(all.JobTimeouts, timeout)
	all.Admission.Classes = append(all.Admission.Classes, c)
}

func understood(o *schema.Object, all *deployment.Settings) {
	b := &all.Admission
	o.Bool(&b.MayCancel, "call_off", "a dispatch can be called off", schema.Default(true))
	o.Bool(&b.MayHedge, "copies", "a second dispatch may go while the first is out", schema.Default(true))
	o.Bool(&b.EnginesTakeGrants, "grants", "a dispatch names its memory grant", schema.Default(true))
	o.Bool(&b.EnginesTakePriorities, "priorities", "a dispatch names its priority", schema.Default(true))
	o.Bool(&b.EnginesQueue, "line", "what finds no memory waits there", schema.Default(true))
	o.Bool(&all.Probing, "probing", "may be asked for a sign of life and its load", schema.Default(true))
	o.Texts(&all.Fields, "report", "fields of a load report: busy_reqs, pending, cpu_share, x0 (memory), x1 (disks)",
		schema.OneOf("busy_reqs", "pending", "cpu_share", "x0", "x1"))
	schema.Whole(o, &b.MaxAttempts, "dispatches", "of one job at most", schema.Default(3), schema.Between(1, 100))
	schema.Whole(o, &all.Streams, "streams", "dispatches on one connection", schema.Default(8), schema.Between(1, 10000))
	schema.Whole(o, &all.MostOpen, "open", "dispatches at one engine", schema.Default(0), schema.Between(0, 100000))
	o.Number(&b.MaxGrantShare, "largest_grant", "part of an engine's memory", schema.Default(0.25), schema.Between(0.01, 1))
	o.Number(&all.Idle, "idle", "after which engines close a connection", schema.Default(60.0), schema.Between(0.1, 86400),
		schema.Unit("s"))
	schema.Whole(o, &all.Spare, "spare", "connections without a job that all gateways together keep at an engine; 0 for no bound but idle", schema.Default(0), schema.Between(0, 100000))
	o.Number(&all.Connect, "connect", "for a connection to come up", schema.Default(1.0), schema.Between(0.01, 60), schema.Unit("s"))
	o.Number(&b.MinPolledWork, "ask_from", "work of a job from which engines are asked for their load while its type takes over 1.1 times its time alone; shorter spreads a load more evenly for more questions", schema.Default(0.3), schema.Between(0.001, 3600), schema.Unit("s"))
	b.EnginesReportMemory = all.Probing && slices.Contains(all.Fields, "x0")
}

func rules(o *schema.Object, all *deployment.Settings) {
	b := &all.Admission
	seconds := func(to *float64, name, text string, fallback float64) {
		o.Number(to, name, text, schema.Default(fallback), schema.Between(0, 86400), schema.Unit("s"))
	}
	seconds(&b.MaxRetryAfter, "come_back", "when clients of throttled jobs may come back; 0 where they heed no word", 2)
	seconds(&all.Drain, "drain", "grace in which a draining engine may still be sent to", 1)
	seconds(&b.SlowStartWindow, "cold", "that an engine takes to warm up", 0)
	o.Number(&b.SlowStartInitialPace, "cold_from", "part of its pace that an engine starts with", schema.Default(1.0), schema.Between(0, 1))
	o.Number(&b.SlowStartBudgetMultiple, "cold_multiple", "of that pace, work that all gateways may send to a cold engine",
		schema.Default(2.0), schema.Between(0, 100))
	seconds(&b.SlowStartBudgetWindow, "cold_window", "over which that is counted", 1)
	seconds(&b.OrderedKeyBackoff, "key_rest", "of a key after a dispatch that may still run", 1)
	o.Number(&b.RetryBudgetFree, "further_free", "further dispatches that any window may hold", schema.Default(10.0), schema.Between(0, 1e6))
	o.Number(&b.RetryBudgetRatio, "further_share", "and for each job taken in the window", schema.Default(0.2), schema.Between(0, 10))
	seconds(&b.RetryBudgetWindow, "further_window", "the window; 0 for no such budget", 10)
}
