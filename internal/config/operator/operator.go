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
	Limits        limits.Limits
	Log           logging.Options
	EngineFile    EngineFile
	RequestFields struct{ Team, Customer, Key, Wait, Retry, First string } // of a request
	Teams         Teams
	Sections      map[string]any // what further sections read, by their names
}

// Section is a part of the file that another part of the program declares. Declare is called once the rest has been
// read, and gives what it has read.
type Section struct {
	Name, Text string
	Declare    func(s *Settings, o *schema.Object) any
}

// Teams are the budgets; none without Budgets.
type Teams struct {
	Options fairshare.Options
	Budgets []fairshare.Budget
}

// EngineFile tell of the file that lists them. Times are seconds.
type EngineFile struct {
	File, CopyPath                             string // File is "" where there is none
	SettleTime, UnsettledWarning, PollInterval float64
	MaxRemovedFraction, HoldDownTime           float64
	MaxBytes, MaxEndpoints                     int
	Zones, Kinds                               []string // that entries may name, nil for any
}

// FromPlatform gives the settings of a controller that has no file of the operator's.
func FromPlatform(c platform.Config, more ...Section) *Settings {
	s := &Settings{Config: c}
	blank := schema.Read("", []byte("{}"), schema.DefaultBounds, s.declareAll(more))
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
	if err := schema.Read(file, text, schema.DefaultBounds, s.declareAll(more)); err != nil {
		return nil, err
	}
	return s, nil
}

// Bounds are what a list of engines must keep to.
func (e EngineFile) Bounds() discovery.Bounds {
	return discovery.Bounds{MaxEndpoints: e.MaxEndpoints, MaxBytes: e.MaxBytes, Zones: e.Zones, Kinds: e.Kinds}
}

// Tracker decides on the versions of the file.
func (e EngineFile) Tracker() discovery.Tracker {
	return discovery.Tracker{File: e.File, Bounds: e.Bounds(), SettleTime: e.SettleTime, UnsettledWarning: e.UnsettledWarning,
		MaxRemovedFraction: e.MaxRemovedFraction, HoldDownTime: e.HoldDownTime}
}

// Describe lists all options.
func Describe(more ...Section) []schema.Option {
	return schema.Describe(new(Settings).declareAll(more))
}

// declareAll declares all, the further sections last.
func (s *Settings) declareAll(more []Section) func(*schema.Object) {
	return func(o *schema.Object) {
		s.declare(o)
		s.Sections = map[string]any{}
		for _, one := range more {
			o.Object(one.Name, one.Text, func(o *schema.Object) { s.Sections[one.Name] = one.Declare(s, o) })
		}
	}
}

func (s *Settings) declare(o *schema.Object) {
	alone := len(s.Config.Settings.Classes) == 0 // no platform
	needed := func(is ...schema.Rule) []schema.Rule {
		if alone {
			return append(is, schema.Required())
		}
		return is
	}
	o.String(&s.Name, "name", "this gateway's name, the same after a restart", schema.Default(cmp.Or(s.Name, "copperrock")),
		schema.Length(64))
	o.String(&s.Listen, "listen", "address and port for clients",
		needed(schema.Default(s.Listen), schema.Check(checkAddress))...)
	o.String(&s.ChannelAddress, "channel", "address and port of a command channel that lists engines; none without it",
		schema.Default(s.ChannelAddress), schema.Check(checkAddress))
	seed := ""
	if o.String(&seed, "seed", "for chance; by name where it is not given"); seed != "" {
		h := fnv.New64a()
		h.Write([]byte(seed))
		s.Seed = h.Sum64()
	}
	o.Object("machine", "what the program may use", func(o *schema.Object) {
		schema.Integer(o, &s.MemoryMB, "memory_mb", "memory; buffers, open jobs and the collector are sized by it",
			schema.Default(cmp.Or(s.MemoryMB, 192)), schema.Between(16, 1<<20), schema.Unit("MB"))
		schema.Integer(o, &s.MaxDescriptors, "sockets", "file descriptors, parted between clients and engines",
			schema.Default(cmp.Or(s.MaxDescriptors, 1024)), schema.Between(32, 1<<20))
	})
	s.Limits = limits.For(cmp.Or(max(s.MemoryMB, 0), 192), cmp.Or(max(s.MaxDescriptors, 0), 1024))
	o.Object("log", "what is written to standard error", s.declareLog)
	o.Object("clients", "bounds on clients' connections; the defaults suit clients that are not trusted", s.declareClients)
	o.Object("dispatches", "bounds on connections to engines", s.declareDispatches)
	o.Object("leaving", "the end after SIGTERM", s.declareShutdown)
	o.Object("deployment", "what is run, where the platform does not tell it; given, it holds whole", func(o *schema.Object) {
		if alone || o.Has("types") {
			s.declareDeployment(o)
		}
	}, needed()...)
	o.Object("engines", "a file that lists the engines; docs/operators/engines-file.md", s.declareEngineFile)
	o.Object("requests", "names of the request fields that say whose a job is; none of them is read without a name", func(o *schema.Object) {
		o.String(&s.RequestFields.Team, "team", "field that holds the team")
		o.String(&s.RequestFields.Customer, "customer", "field that holds the customer, whose share deployment.customers gives")
		o.String(&s.RequestFields.Key, "key", "field that holds the order key, for types in order")
		o.String(&s.RequestFields.Wait, "wait", "field by which a request asks to be told how long it will wait")
		o.String(&s.RequestFields.Retry, "retry", "field with a key that the client repeats with each try of a job, for the store")
		o.String(&s.RequestFields.First, "first", "field by which the client says that this is the first try of its key")
		seen := map[string]string{"ref": "", "allow": "", "effort": "", "need_mb": "", "replay": ""}
		for _, f := range [][2]string{{"team", s.RequestFields.Team}, {"customer", s.RequestFields.Customer}, {"key", s.RequestFields.Key}, {"wait", s.RequestFields.Wait}, {"retry", s.RequestFields.Retry}, {"first", s.RequestFields.First}} {
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
		asThePlatform(&s.RequestFields.Customer, "project")
		asThePlatform(&s.RequestFields.Key, "lookup")
	})
	o.Object("teams", "budgets of teams; docs/operators/teams.md", s.declareTeams)
	if alone && s.ChannelAddress == "" && s.EngineFile.File == "" {
		o.Fault("", "neither channel nor engines.file tells of any engine")
	}
}

func checkAddress(text string) error {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("%q is no address with a port", text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q has no port from 0 to 65535", text)
	}
	return nil
}

func (s *Settings) declareLog(o *schema.Object) {
	s.Log.Keeper = s.Name
	o.String(&s.Log.Level, "level", "lines of this level and above", schema.Default("info"),
		schema.OneOf("debug", "info", "warn", "error"))
	o.String(&s.Log.Form, "form", "auto: console on a terminal, else json", schema.Default("auto"),
		schema.OneOf("json", "console", "auto"))
	o.Number(&s.Log.Burst, "burst", "lines of one message of one part in a second; more are counted and told as dropped",
		schema.Default(10.0), schema.Between(1, 10000))
}

// declareTime declares a time bound with the value that holds without the option as its default.
func declareTime(o *schema.Object, to *float64, name, text string, low, high float64) {
	o.Number(to, name, text, schema.Default(*to), schema.Between(low, high), schema.Unit("s"))
}

func declareCount(o *schema.Object, to *int, name, text string, low, high float64) {
	schema.Integer(o, to, name, text, schema.Default(*to), schema.Between(low, high))
}

func (s *Settings) declareClients(o *schema.Object) {
	l := &s.Limits
	declareTime(o, &l.FirstMessageTimeout, "first_message", "for the first message to begin; more where clients open pools ahead", 0.05, 86400)
	declareTime(o, &l.ClientIdleTimeout, "idle", "without an open job, before the connection is closed", 0.05, 86400)
	declareTime(o, &l.ClientReadTimeout, "read", "for the rest of a message that has begun", 0.05, 3600)
	declareTime(o, &l.ClientWriteTimeout, "write", "for a client to take what is written", 0.05, 3600)
	declareTime(o, &l.IdleClientGrace, "spare", "without a job, before a connection may give way to a new one", 0, 86400)
	declareCount(o, &l.MaxRequestsPerConn, "jobs_per_connection", "open at once on one connection", 1, 10000)
	declareCount(o, &l.MaxMessage, "message_bytes", "one message", 1024, 64<<20)
	declareCount(o, &l.MaxRequests, "open_jobs", "open at once on all connections; by default 32 KB of memory each, 20,000 at most", 1, 1e6)
	declareTime(o, &l.DeadlineMargin, "margin", "of a job's time kept for the answer's way back", 0, 5)
	o.Number(&l.MaxMarginFraction, "margin_share", "of a job's time, the most that the margin takes", schema.Default(l.MaxMarginFraction),
		schema.Between(0, 0.5))
}

func (s *Settings) declareDispatches(o *schema.Object) {
	l := &s.Limits
	declareTime(o, &l.EngineWriteTimeout, "write", "for an engine to take what is written", 0.05, 60)
	declareTime(o, &l.EngineReadTimeout, "read", "for the rest of an answer that has begun", 0.05, 60)
	declareTime(o, &l.LoadPollTimeout, "probe", "for the answer to a probe", 0.01, 60)
	declareTime(o, &l.KeepaliveAfter, "quiet", "silence on a connection before a sign of life is asked for", 0.05, 60)
	declareTime(o, &l.MaxKeepaliveAfter, "quiet_most", "to which that grows while signs of life come", 0.05, 600)
	declareCount(o, &l.ConnsPerEngine, "connections", "to one engine before they are filled", 1, 1000)
	declareCount(o, &l.MaxPage, "page_bytes", "one page of a result", 64, 8<<20)
	declareCount(o, &l.MaxPages, "pages", "of one result", 1, 100000)
	declareCount(o, &l.MaxResult, "result_bytes", "a whole result", 64, 1<<30)
}

func (s *Settings) declareShutdown(o *schema.Object) {
	l := &s.Limits
	declareTime(o, &l.ShutdownAcceptTime, "stay", "in which jobs may still come", 0, 600)
	declareTime(o, &l.MaxShutdownWait, "longest", "job timeout that is waited for", 0, 86400)
	declareTime(o, &l.ShutdownMargin, "leave", "more, by when all is answered", 0.05, 600)
}

func (s *Settings) declareEngineFile(o *schema.Object) {
	e := &s.EngineFile
	o.String(&e.File, "file", "path of the list; without it no file is followed", schema.Length(4096))
	o.String(&e.CopyPath, "copy", "path at which the last list that held is kept for a restart; nowhere without it",
		schema.Length(4096))
	o.Number(&e.SettleTime, "still", "a version counts once it has stood still so long", schema.Default(0.1), schema.Between(0.01, 60),
		schema.Unit("s"))
	o.Number(&e.UnsettledWarning, "restless", "after so long without standing still, that is told", schema.Default(10.0),
		schema.Between(0.1, 3600), schema.Unit("s"))
	o.Number(&e.PollInterval, "poll", "between looks where no notice comes", schema.Default(2.0), schema.Between(0.05, 3600),
		schema.Unit("s"))
	o.Number(&e.MaxRemovedFraction, "most_removed", "part of the engines that one version may take away unconfirmed",
		schema.Default(0.5), schema.Between(0, 1))
	o.Number(&e.HoldDownTime, "hold_for", "after so long a version held back is taken all the same; 0 for never",
		schema.Default(0.0), schema.Between(0, 1e6), schema.Unit("s"))
	schema.Integer(o, &e.MaxBytes, "most_bytes", "of the file; it is read no further", schema.Default(4<<20),
		schema.Between(1024, 64<<20), schema.Unit("bytes"))
	schema.Integer(o, &e.MaxEndpoints, "most_engines", "that the file may name", schema.Default(s.Limits.MaxEngines),
		schema.Between(1, 100000))
	if e.File != "" && e.CopyPath == e.File {
		o.Fault("copy", "must be another file than the list")
	}
	e.Zones, e.Kinds = s.Config.Settings.Zones, s.Config.Settings.MachineTypes
}

// declareTeams reads what teams may have. Without any, no job waits for a team.
func (s *Settings) declareTeams(o *schema.Object) {
	t, r := &s.Teams, &s.Teams.Options
	for _, c := range s.Config.Settings.Admission.Classes {
		r.Classes = append(r.Classes, fairshare.Class{Idempotent: c.Idempotency == admission.Idempotent, PriorityWeight: c.PriorityWeight, Threads: c.Threads, LatencyObjective: c.LatencyObjective})
	}
	r.MaxRetryAfter = s.Config.Settings.Admission.MaxRetryAfter
	seconds := func(o *schema.Object, to *float64, name, text string, fallback, low, high float64) {
		o.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit("s"))
	}
	o.String(&r.DefaultTeam, "default", "team of the jobs that name none, or one that is not known; needed where there are budgets")
	schema.Integer(o, &r.MaxUndispatched, "window", "jobs that the module may hold undispatched at most, of each type and of all but those held for long; fewer where it dispatches fewer than that in a twentieth of a second", schema.Default(8), schema.Between(1, 1000))
	seconds(o, &r.StarvationTimeout, "unserved", "after so long without a dispatch a team's next job goes first", 30, 0.1, 60)
	o.Number(&r.AgingRate, "ageing", "seconds of work that a second unserved counts for in the order", schema.Default(0.05), schema.Between(0, 10))
	o.Number(&r.MinEstimateChange, "retell", "part by which a wait must have moved to be told again", schema.Default(0.25), schema.Between(0.01, 10))
	o.Object("preempt", "jobs that fit nowhere may have restartable ones called off", func(o *schema.Object) {
		var types []string
		o.Strings(&types, "types", "reservation types whose jobs may; none without it")
		for _, name := range types {
			if at := slices.Index(s.Config.Settings.Classes, name); at >= 0 {
				r.Classes[at].MayPreempt = true
			} else {
				o.Fault("types", "%q is no reservation type", name)
			}
		}
		seconds(o, &r.PreemptAfter, "after", "that such a job has fitted nowhere", 0.1, 0.01, 60)
		o.Number(&r.PreemptWeightRatio, "value", "times the victim's billed value for its work, at least", schema.Default(3.0), schema.Between(1.5, 1e6))
		schema.Integer(o, &r.MaxPreemptions, "times", "that one job may be a victim", schema.Default(1), schema.Between(0, 10))
		if len(types) == 0 {
			r.MaxPreemptions = 0
		}
	})
	o.List("budgets", "a team each", 10000, func(o *schema.Object, i int) {
		b := fairshare.Budget{}
		o.String(&b.Name, "name", "as the request field has it", schema.Required(), schema.Check(checkWord))
		o.String(&b.Parent, "parent", "team whose budget bounds this one's")
		scope := ""
		o.String(&scope, "scope", "fleet: most_mb is that of all controllers together, divided among them as the section fleet has it", schema.Default("gateway"), schema.OneOf("gateway", "fleet"))
		b.FleetWide = scope == "fleet"
		o.Number(&b.Guaranteed, "guaranteed_mb", "memory of grants that goes before all borrowing", schema.Default(0.0), schema.Between(0, 1e9), schema.Unit("MB"))
		o.Number(&b.Limit, "most_mb", "memory of grants at once; 0 for no bound", schema.Default(0.0), schema.Between(0, 1e9), schema.Unit("MB"))
		o.Number(&b.Weight, "weight", "part of what is left; 0 gets what no other wants", schema.Default(1.0), schema.Between(0, 1000))
		schema.Integer(o, &b.MaxRunning, "running", "jobs at once; 0 for no bound", schema.Default(0), schema.Between(0, 1e6))
		schema.Integer(o, &b.MaxQueued, "waiting", "jobs at once; more are refused; 0 for no bound", schema.Default(1000), schema.Between(0, 1e6))
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

// declareDeployment reads what else the platform's settings hold, in the project's own words.
func (s *Settings) declareDeployment(o *schema.Object) {
	all := deployment.Settings{}
	b := &all.Admission
	schema.Integer(o, &b.GatewayCount, "gateways", "gateways that share the engines", schema.Default(1), schema.Between(1, 100000))
	schema.Integer(o, &b.GatewayIndex, "index", "this gateway's number among them, from 0", schema.Default(0), schema.Between(0, 99999))
	if b.GatewayIndex >= max(b.GatewayCount, 1) {
		o.Fault("index", "is %d, with %d gateways it must be below", b.GatewayIndex, b.GatewayCount)
	}
	o.Strings(&all.Zones, "zones", "names of the zones", schema.Check(checkWord))
	zone := ""
	o.String(&zone, "zone", "this gateway's; the first without it")
	if b.Zone = max(slices.Index(all.Zones, zone), 0); zone != "" && !slices.Contains(all.Zones, zone) {
		o.Fault("zone", "%q is none of the zones", zone)
	}
	o.List("kinds", "kinds of machine that engines run on", 64, func(o *schema.Object, i int) {
		k, name := admission.MachineType{}, ""
		o.String(&name, "name", "as the list of engines has it", schema.Required(), schema.Check(checkWord))
		o.Number(&k.Cores, "cores", "cores for jobs", schema.Required(), schema.Between(0.1, 4096))
		o.Number(&k.Memory, "memory_mb", "memory for jobs", schema.Required(), schema.Between(1, 1e9), schema.Unit("MB"))
		if slices.Contains(all.MachineTypes, name) {
			o.Fault("name", "%q stands there twice", name)
		}
		all.MachineTypes, b.MachineTypes = append(all.MachineTypes, name), append(b.MachineTypes, k)
	}, schema.Required())
	o.List("types", "reservation types, by the name that jobs are asked for with", 256, func(o *schema.Object, i int) {
		declareClass(o, &all)
	}, schema.Required())
	if o.Has("types") && len(b.Classes) == 0 {
		o.Fault("types", "names no reservation type")
	}
	o.List("customers", "customers with a share; past it their jobs count less", 10000, func(o *schema.Object, i int) {
		name, rate := "", 0.0
		o.String(&name, "name", "as the request field has it", schema.Required())
		o.Number(&rate, "rate", "jobs a second within its share, over all gateways", schema.Required(), schema.Between(0, 1e9))
		all.Tenants, b.TenantQuotas = append(all.Tenants, name), append(b.TenantQuotas, rate)
	})
	o.Number(&b.OverQuotaWeight, "over_share", "part of its billed value that a job past its customer's share counts for", schema.Default(0.5), schema.Between(0, 1))
	o.Object("engines", "what engines understand", func(o *schema.Object) { declareEngineFeatures(o, &all) })
	o.Object("rules", "the figures that the seven rules are kept by", func(o *schema.Object) { declareRules(o, &all) })
	s.Config.Settings = all
}

func checkWord(name string) error {
	if name == "" || deployment.EscapeName(name) != name {
		return fmt.Errorf("%q is no name: one word without commas", name)
	}
	return nil
}

func declareClass(o *schema.Object, all *deployment.Settings) {
	c, name, repeat, group, timeout := admission.Class{}, "", "", "", 0.0
	seconds := func(to *float64, name, text string, says ...schema.Rule) {
		o.Number(to, name, text, append(says, schema.Between(0, 86400), schema.Unit("s"))...)
	}
	o.String(&name, "name", "one word", schema.Required(), schema.Check(checkWord))
	o.String(&repeat, "repeat", "what a further dispatch may do", schema.Required(), schema.OneOf("restartable", "keyed", "run_once"))
	seconds(&timeout, "job_timeout", "after which the client waits no more", schema.Required())
	seconds(&c.LatencyObjective, "sla", "SLA time", schema.Required())
	o.Number(&c.ObjectiveStretch, "stretch", "added to the SLA time, times the job's work over its threads", schema.Default(0.0),
		schema.Between(0, 1000))
	o.Number(&c.PriorityWeight, "value", "billed value of a job in time", schema.Default(1.0), schema.Between(0, 1e9))
	o.Number(&c.Threads, "threads", "that one job uses", schema.Default(1.0), schema.Between(0.1, 4096))
	seconds(&c.IdempotencyWindow, "window", "in which engines drop repeats of a keyed job, from the first dispatch", schema.Default(0.0))
	o.String(&group, "group", "engines that drop each other's repeats", schema.Default("all"), schema.OneOf("all", "zone", "cell"))
	o.Bool(&c.Ordered, "in_order", "jobs of one key run one after the other", schema.Default(false))
	o.Bool(&c.WritesTables, "load", "writes its data set and holds it", schema.Default(false))
	o.Bool(&c.BlockedByWrites, "waits", "stands still behind a load of its data set", schema.Default(false))
	bind := func(to *[]int, name, text string, among []string) {
		var names []string
		if o.Strings(&names, name, text); names == nil {
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
	bind(&c.AllowedMachineTypes, "kinds", "it may run on these only", all.MachineTypes)
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
	all.Classes, all.ClassTimeouts = append(all.Classes, name), append(all.ClassTimeouts, timeout)
	all.Admission.Classes = append(all.Admission.Classes, c)
}

func declareEngineFeatures(o *schema.Object, all *deployment.Settings) {
	b := &all.Admission
	o.Bool(&b.MayCancel, "call_off", "a dispatch can be called off", schema.Default(true))
	o.Bool(&b.MayHedge, "copies", "a second dispatch may go while the first is out", schema.Default(true))
	o.Bool(&b.EnginesTakeGrants, "grants", "a dispatch names its memory grant", schema.Default(true))
	o.Bool(&b.EnginesTakePriorities, "priorities", "a dispatch names its priority", schema.Default(true))
	o.Bool(&b.EnginesQueue, "line", "what finds no memory waits there", schema.Default(true))
	o.Bool(&all.LoadPolling, "probing", "may be asked for a sign of life and its load", schema.Default(true))
	o.Strings(&all.LoadReportFields, "report", "fields of a load report: busy_reqs, pending, cpu_share, x0 (memory), x1 (disks)",
		schema.OneOf("busy_reqs", "pending", "cpu_share", "x0", "x1"))
	schema.Integer(o, &b.MaxAttempts, "dispatches", "of one job at most", schema.Default(3), schema.Between(1, 100))
	schema.Integer(o, &all.AttemptsPerConn, "streams", "dispatches on one connection", schema.Default(8), schema.Between(1, 10000))
	schema.Integer(o, &all.MaxAttemptsPerEngine, "open", "dispatches at one engine", schema.Default(0), schema.Between(0, 100000))
	o.Number(&b.MaxGrantShare, "largest_grant", "part of an engine's memory", schema.Default(0.25), schema.Between(0.01, 1))
	o.Number(&all.EngineIdleTimeout, "idle", "after which engines close a connection", schema.Default(60.0), schema.Between(0.1, 86400),
		schema.Unit("s"))
	schema.Integer(o, &all.IdleConnsPerEngine, "spare", "connections without a job that all gateways together keep at an engine; 0 for no bound but idle", schema.Default(0), schema.Between(0, 100000))
	o.Number(&all.DialTimeout, "connect", "for a connection to come up", schema.Default(1.0), schema.Between(0.01, 60), schema.Unit("s"))
	o.Number(&b.MinPolledWork, "ask_from", "work of a job from which engines are asked for their load while its type takes over 1.1 times its time alone; shorter spreads a load more evenly for more questions", schema.Default(0.3), schema.Between(0.001, 3600), schema.Unit("s"))
	b.EnginesReportMemory = all.LoadPolling && slices.Contains(all.LoadReportFields, "x0")
}

func declareRules(o *schema.Object, all *deployment.Settings) {
	b := &all.Admission
	seconds := func(to *float64, name, text string, fallback float64) {
		o.Number(to, name, text, schema.Default(fallback), schema.Between(0, 86400), schema.Unit("s"))
	}
	seconds(&b.MaxRetryAfter, "come_back", "when clients of throttled jobs may come back; 0 where they heed no word", 2)
	seconds(&all.DrainGrace, "drain", "grace in which a draining engine may still be sent to", 1)
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
