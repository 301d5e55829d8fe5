package discovery

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/harness/testutil"
)

var some = Bounds{MaxEndpoints: 100, MaxBytes: 1 << 16, Zones: []string{"east", "west"}, Kinds: []string{"std"}}

// A file is refused whole, and every fault in it is told with its place.
func TestRefused(t *testing.T) {
	var lines []string
	entry := `{"name": "a", "address": "10.0.0.1:9000", "zone": "east"}`
	file := func(engines string) string {
		return "{\"format\": 1, \"generation\": 7, \"engines\": [\n" + engines + "\n], \"end\": 7}"
	}
	for _, c := range []struct{ name, text string }{
		{"good", file(entry)},
		{"good with comments and a last comma", "// the list\n" + file("/* one */ "+entry+",")},
		{"nothing", ""},
		{"torn", file(entry)[:60]},
		{"no object", "[1]"},
		{"all wrong at once", `{"formt": 1, "generation": -3, "engines": [{"name": "", "address": "there:1", "wight": 2},
{"name": "b", "address": "0.0.0.0:9000", "zone": "north", "kind": 7, "cell": 1.5, "state": "gone", "born_ms": "now"}]}`},
		{"a name twice", file(entry + "," + strings.Replace(entry, "0.1", "0.2", 1))},
		{"an address twice", file(entry + "," + strings.Replace(entry, `"a"`, `"b"`, 1))},
		{"an address twice, told otherwise", file(entry + "," + `{"name": "b", "address": "[::ffff:10.0.0.1]:9000"}`)},
		{"a key twice", file(`{"name": "a", "name": "b", "address": "10.0.0.1:9000"}`)},
		{"weights", file(`{"name": "a", "address": "10.0.0.1:9000", "weight": -0.5}, {"name": "b", "address": "10.0.0.2:9000",
"weight": 1e999}, {"name": "c", "address": "10.0.0.3:9000", "weight": 1001}, {"name": "d", "address": "10.0.0.4:9000", "weight": "2"}`)},
		{"generation too large", strings.ReplaceAll(file(entry), "7", "90071992547409930")},
		{"end differs", strings.Replace(file(entry), `"end": 7`, `"end": 8`, 1)},
		{"too many", file(strings.TrimSuffix(strings.Repeat(entry+",", 101), ","))},
		{"order mark", "\xef\xbb\xbf" + file(entry)},
		{"no UTF-8", file(strings.Replace(entry, `"a"`, "\"\xc3\x28\"", 1))},
		{"nested", file(strings.Repeat("[", 1000))},
		{"too long", file(entry) + strings.Repeat(" ", 1<<16)},
		{"an end of line in a text", file(strings.Replace(entry, `"a"`, "\"a\nb\"", 1))},
		{"a control sign", file(strings.Replace(entry, `"a"`, `"a\u0007"`, 1))},
	} {
		l, err := Parse("engines.jsonc", []byte(c.text), some)
		lines = append(lines, c.name+":")
		if err == nil {
			lines = append(lines, fmt.Sprintf("  %v", l))
			continue
		}
		for _, line := range strings.Split(err.Error(), "\n") {
			lines = append(lines, "  "+line)
		}
		if !cmp.Equal(l, List{}) {
			t.Errorf("%s: a list beside the error", c.name)
		}
	}
	testutil.Check(t, lines)
}

// desk plays the shell: it keeps the time, the file's content and the polls.
type desk struct {
	k       *Tracker
	now     float64
	poll    float64 // the next
	content Content
	since   float64 // of the content
	looks   []look
	noticed bool // that it came
	decided func(Decision)
}

// look is what a look found.
type look struct {
	at  float64
	key string
}

const pollEvery = 2.0

func newKeeper(now float64) *Tracker {
	k := &Tracker{File: "engines.jsonc", Bounds: some, SettleTime: 0.1, UnsettledWarning: 3, MaxRemovedFraction: 0.5, HoldDownTime: 30}
	k.FileChanged(now)
	return k
}

func newDesk(decided func(Decision)) *desk {
	return &desk{k: newKeeper(0), poll: pollEvery, decided: decided, content: Content{Problem: "can't be read: no such file"}}
}

func (d *desk) write(c Content, noticed bool) {
	if c.fingerprint() != d.content.fingerprint() {
		d.since, d.noticed = d.now, noticed
	}
	d.content = c
	if noticed {
		d.k.FileChanged(d.now)
	}
}

func (d *desk) look() Decision {
	d.looks = append(d.looks, look{d.now, d.content.fingerprint()})
	return d.k.Observe(d.now, d.content)
}

// advance lets time pass, with all that falls due.
func (d *desk) advance(by float64) {
	for end := d.now + by; ; {
		next := min(d.k.NextTick(), d.poll)
		if next > end {
			d.now = end
			return
		}
		d.now = max(d.now, next)
		var out Decision
		if d.now >= d.poll {
			d.poll += pollEvery
			out = d.look()
		} else if look, due := d.k.Tick(d.now); look {
			out = d.look()
		} else {
			out = due
		}
		if out.Verdict != NoChange {
			d.decided(out)
		}
	}
}

func text(generation int64, names ...string) string {
	l := List{Generation: generation}
	for _, n := range names {
		l.Endpoints = append(l.Endpoints, Endpoint{Name: n, Address: fmt.Sprintf("10.0.0.%d:9000", n[0]), Zone: "east", Kind: "std", Weight: 1,
			State: InService})
	}
	return string(l.Format())
}

// The life of a file: what is taken, refused and held back, and when.
func TestKeeper(t *testing.T) {
	var lines []string
	var d *desk
	say := func(format string, args ...any) {
		lines = append(lines, fmt.Sprintf("%6.2f ", d.now)+fmt.Sprintf(format, args...))
	}
	d = newDesk(func(o Decision) {
		say("    -> %s generation %d %v %v", []string{"", "apply", "refuse", "hold"}[o.Verdict], o.List.Generation, o.Difference.Lines(), o.Reason)
	})
	put := func(what string, text string) {
		say("%s", what)
		d.write(Content{Text: []byte(text)}, true)
	}
	d.advance(1)
	put("first version", text(1, "a", "b", "c", "d"))
	d.advance(1)
	put("in pieces: the first", text(2, "a", "b", "c", "d")[:100])
	d.advance(0.06)
	put("in pieces: all", text(2, "a", "b", "c", "d", "e"))
	d.advance(1)
	say("a burst")
	for i := range 20 {
		d.write(Content{Text: []byte(text(int64(3+i), "a", "b", "c", "d"))}, true)
		d.advance(0.03)
	}
	d.advance(1)
	put("torn, and it stays so", text(30, "a", "b", "c", "d")[:150])
	d.advance(10)
	put("the same once more", text(30, "a", "b", "c", "d")[:150])
	d.advance(10)
	say("a change that nobody tells of")
	d.write(Content{Text: []byte(text(31, "a", "b", "c", "z"))}, false)
	d.advance(3)
	put("an old version comes back", text(30, "a", "b", "c", "z"))
	d.advance(1)
	put("the same number, other engines", text(31, "a", "b", "c"))
	d.advance(1)
	put("what holds", text(31, "a", "b", "c", "z"))
	d.advance(1)
	put("most engines gone", text(32, "a"))
	d.advance(20)
	put("the operator thinks again", text(33, "a", "b", "c"))
	d.advance(20)
	put("most engines gone", text(34, "c"))
	d.advance(40)
	put("no engine at all, confirmed", strings.Replace(text(35), `"engines"`, `"confirmed": true, "engines"`, 1))
	d.advance(1)
	say("gone")
	d.write(Content{Problem: "can't be read: no such file"}, true)
	d.advance(20)
	put("back", text(36, "a", "b"))
	d.advance(1)
	say("restless")
	for i := range 100 {
		d.write(Content{Text: []byte(text(int64(40+i), "a", "b"))}, true)
		d.advance(0.05)
	}
	d.advance(5)
	say("restart with what held")
	held, _ := d.k.Current()
	d.k = newKeeper(d.now)
	d.k.Restore(held)
	put("with a lower version", text(1, "a"))
	d.advance(1)
	testutil.Check(t, lines)
}

// K1 to K3 on random days, and after a rest the keeper is where a plain model is.
func TestKeeperOnRandomDays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d *desk
		var latest string // decision, since the latest change
		applied := int64(0)
		decided := func(o Decision) {
			restless := strings.Contains(fmt.Sprint(o.Reason), "has not stood still")
			if !restless && d.noticed && d.now-d.since < d.k.SettleTime-1e-9 {
				t.Fatalf("decided at %v on what is there since %v", d.now, d.since)
			}
			if !restless && !d.noticed { // nobody told: two looks with half of that between them must agree
				there := ""
				for _, l := range d.looks {
					if l.at <= d.now-d.k.SettleTime/2+1e-9 {
						there = l.key
					}
				}
				if there != d.content.fingerprint() {
					t.Fatalf("decided at %v on what no look half of its rest before has seen", d.now)
				}
			}
			if o.Verdict == Apply {
				if o.List.Generation <= applied {
					t.Fatalf("generation %d after %d", o.List.Generation, applied)
				}
				applied = o.List.Generation
				l, err := Parse("", d.content.Text, some)
				if err != nil || !l.SameEndpoints(o.List) || l.Generation != o.List.Generation {
					t.Fatalf("%v was taken, %v is there", o.List, l)
				}
			}
			if say := fmt.Sprint(o.Verdict, o.Reason); say == latest && !restless {
				t.Fatalf("twice: %s", say)
			} else {
				latest = say
			}
		}
		d = newDesk(decided)
		d.content = Content{Text: []byte(text(1, "a", "b", "c"))}
		names := []string{"a", "b", "c", "d", "e", "f"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			latest = ""
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2: // some version, good or bad
				generation := applied + int64(rapid.IntRange(-1, 3).Draw(t, "generation"))
				version := text(max(generation, 1), names[:rapid.IntRange(0, 6).Draw(t, "engines")]...)
				if rapid.Bool().Draw(t, "confirmed") {
					version = strings.Replace(version, `"engines"`, `"confirmed": true, "engines"`, 1)
				}
				if rapid.IntRange(0, 3).Draw(t, "torn") == 0 {
					version = version[:rapid.IntRange(0, len(version)-3).Draw(t, "at")]
				}
				d.write(Content{Text: []byte(version)}, rapid.Bool().Draw(t, "noticed"))
			case 3:
				d.write(Content{Problem: rapid.SampledFrom([]string{"is a folder", "can't be read"}).Draw(t, "wrong")}, true)
			case 4: // a notice about nothing
				d.k.FileChanged(d.now)
			case 5:
				held, holds := d.k.Current()
				if d.k = newKeeper(d.now); holds {
					d.k.Restore(held)
				}
			case 6:
			}
			d.advance(rapid.SampledFrom([]float64{0, 0.01, 0.06, 0.2, 1, 5, 40}).Draw(t, "time"))
		}
		before, holds := d.k.Current()
		latest = ""
		d.advance(pollEvery + 1 + d.k.HoldDownTime)
		after, _ := d.k.Current()
		// The plain model: what is there is taken if it is a good, newer version; time has confirmed it.
		want := before
		if l, err := Parse("", d.content.Text, some); d.content.Problem == "" && err == nil && (!holds || l.Generation > before.Generation) {
			want = l
		}
		if !want.SameEndpoints(after) || want.Generation != after.Generation {
			t.Fatalf("holds %v, should hold %v", after, want)
		}
	})
}

// draw makes some list.
func draw(t *rapid.T, label string) List {
	l := List{Generation: rapid.Int64Range(1, 1<<40).Draw(t, label+" generation")}
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-zé/#*-]{1,8}`), 0, 20, rapid.ID[string]).Draw(t, label)
	for i, n := range names {
		l.Endpoints = append(l.Endpoints, Endpoint{Name: n, Address: fmt.Sprintf("10.0.%d.%d:9000", len(n), i), Zone: rapid.SampledFrom(some.Zones).
			Draw(t, "zone"), Kind: "std", Cell: rapid.IntRange(0, 5).Draw(t, "cell"),
			Weight:    rapid.Float64Range(0, maxWeight).Draw(t, "weight"),
			State:     rapid.SampledFrom([]State{InService, Terminating}).Draw(t, "state"),
			StartedAt: float64(rapid.Int64Range(0, 1<<42).Draw(t, "born")) / 1000})
	}
	return Difference{Added: l.Endpoints}.Apply(List{}, l.Generation)
}

func TestPrintAndParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := draw(t, "list")
		l.Confirmed = rapid.Bool().Draw(t, "confirmed")
		got, err := Parse("", l.Format(), Bounds{MaxEndpoints: 100, MaxBytes: 1 << 20})
		if diff := cmp.Diff(l, got); err != nil || diff != "" {
			t.Fatalf("%v\n%s\n%s", err, diff, l.Format())
		}
	})
}

func TestCompareAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, y := draw(t, "before"), draw(t, "after")
		if rapid.Bool().Draw(t, "kin") { // share engines
			y = Difference{Added: append(append([]Endpoint{}, x.Endpoints[len(x.Endpoints)/2:]...), y.Endpoints...)}.Apply(List{}, y.Generation)
		}
		d := Diff(x, y)
		if diff := cmp.Diff(y, d.Apply(x, y.Generation)); diff != "" {
			t.Fatal(diff)
		}
		if same := x.SameEndpoints(y); same != d.Empty() || len(d.Lines()) == 0 != same {
			t.Fatalf("same %v, difference %v", same, d.Lines())
		}
	})
}

// Two sources never give a name or an address twice, and a source that is silent keeps what it said.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMerger(2)
		lists := make([]List, 2)
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			source := rapid.IntRange(0, 1).Draw(t, "source")
			l := draw(t, "list")
			mode := rapid.SampledFrom([]UpdateMode{Delta, Snapshot, DrainingSnapshot}).Draw(t, "mode")
			lists[source] = ApplyUpdate(lists[source], mode, l.Endpoints)
			merged, gaveWay := m.Set(source, lists[source])
			names, addresses := map[string]bool{}, map[string]bool{}
			for _, e := range merged.Endpoints {
				if names[e.Name] || addresses[e.Address] && e.State != Terminated {
					t.Fatalf("%v stands there twice", e)
				}
				names[e.Name] = true
				addresses[e.Address] = addresses[e.Address] || e.State != Terminated
			}
			for _, e := range lists[0].Endpoints { // the first source has its way, but for its own twins
				twin := slices.ContainsFunc(lists[0].Endpoints, func(o Endpoint) bool { return o.Address == e.Address && o.Name != e.Name })
				if got, there := merged.Lookup(e.Name); !twin && (!there || got != e) {
					t.Fatalf("%v became %v", e, got)
				}
			}
			if all := len(lists[0].Endpoints) + len(lists[1].Endpoints); all != len(merged.Endpoints)+len(gaveWay) {
				t.Fatalf("%d entries, %d merged and %d left out", all, len(merged.Endpoints), len(gaveWay))
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(text(3, "a", "b")))
	f.Add([]byte(text(3, "a", "b")[:40]))
	f.Add([]byte(`{"format":1,"generation":1e3,"engines":[{"name":"\ud800","address":"[::1%25lo]:1"}],"end":1}`))
	f.Add([]byte("// no end\n/* {"))
	f.Add([]byte("\xef\xbb\xbf{}"))
	f.Add([]byte(strings.Repeat(`{"a":[`, 40)))
	f.Add([]byte(`{"engines":[{"weight":-0},{"weight":1e-400},{"weight":NaN}],"engines":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := Parse("f", b, some)
		var faults schema.Faults
		switch {
		case err == nil:
			again, err := Parse("f", l.Format(), Bounds{MaxEndpoints: 100, MaxBytes: 1 << 20})
			if err != nil || !again.SameEndpoints(l) || again.Generation != l.Generation {
				t.Fatalf("%v: %v became %v", err, l, again)
			}
			for _, e := range l.Endpoints {
				if !(e.Weight >= 0) || math.IsInf(e.Weight, 0) {
					t.Fatalf("weight %v", e.Weight)
				}
			}
		case !errors.As(err, &faults) || len(faults) == 0:
			t.Fatalf("%T without a fault", err)
		}
	})
}

func many(n int) List {
	l := List{Generation: 1}
	for i := range n {
		l.Endpoints = append(l.Endpoints, Endpoint{Name: fmt.Sprintf("engine-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
			Zone: "east", Kind: "std", Cell: i % 16, Weight: 1, State: InService})
	}
	return l
}

// BenchmarkTenThousand parses, checks and compares a list of 10,000 engines.
func BenchmarkTenThousand(b *testing.B) {
	l := many(10000)
	bounds := Bounds{MaxEndpoints: 10000, MaxBytes: 8 << 20, Zones: some.Zones, Kinds: some.Kinds}
	text := l.Format()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		got, err := Parse("f", text, bounds)
		if err != nil || !Diff(l, got).Empty() {
			b.Fatal(err)
		}
	}
}
