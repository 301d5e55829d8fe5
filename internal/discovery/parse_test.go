package discovery

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/harness/testutil"
)

var testBounds = Bounds{MaxEndpoints: 100, MaxBytes: 1 << 16, Zones: []string{"east", "west"}, Kinds: []string{"std"}}

// A file with any fault is rejected as a whole, and each fault is reported with its position.
func TestRejectedFiles(t *testing.T) {
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
		l, err := Parse("engines.jsonc", []byte(c.text), testBounds)
		lines = append(lines, c.name+":")
		if err == nil {
			lines = append(lines, fmt.Sprintf("  %v", l))
			continue
		}
		for _, line := range strings.Split(err.Error(), "\n") {
			lines = append(lines, "  "+line)
		}
		if !cmp.Equal(l, List{}) {
			t.Errorf("%s: got list %v with an error, want an empty list", c.name, l)
		}
	}
	testutil.CheckTrace(t, lines)
}

func TestFormatAndParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawList(t, "list")
		l.Confirmed = rapid.Bool().Draw(t, "confirmed")
		got, err := Parse("", l.Format(), Bounds{MaxEndpoints: 100, MaxBytes: 1 << 20})
		if diff := cmp.Diff(l, got); err != nil || diff != "" {
			t.Fatalf("Parse of formatted list: error %v (-want +got):\n%s\ntext:\n%s", err, diff, l.Format())
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(listText(3, "a", "b")))
	f.Add([]byte(listText(3, "a", "b")[:40]))
	f.Add([]byte(`{"format":1,"generation":1e3,"engines":[{"name":"\ud800","address":"[::1%25lo]:1"}],"end":1}`))
	f.Add([]byte("// no end\n/* {"))
	f.Add([]byte("\xef\xbb\xbf{}"))
	f.Add([]byte(strings.Repeat(`{"a":[`, 40)))
	f.Add([]byte(`{"engines":[{"weight":-0},{"weight":1e-400},{"weight":NaN}],"engines":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := Parse("f", b, testBounds)
		var fieldErrors schema.FieldErrors
		switch {
		case err == nil:
			reparsed, err := Parse("f", l.Format(), Bounds{MaxEndpoints: 100, MaxBytes: 1 << 20})
			if err != nil || !reparsed.SameEndpoints(l) || reparsed.Generation != l.Generation {
				t.Fatalf("Parse of formatted list: got %v, error %v, want %v", reparsed, err, l)
			}
			for _, e := range l.Endpoints {
				if !(e.Weight >= 0) || math.IsInf(e.Weight, 0) {
					t.Fatalf("got weight %v, want a finite number of at least 0", e.Weight)
				}
			}
		case !errors.As(err, &fieldErrors) || len(fieldErrors) == 0:
			t.Fatalf("got error of type %T, want schema.FieldErrors that are not empty", err)
		}
	})
}

// BenchmarkTenThousand parses a list of 10,000 engines, validates it and compares it with the original.
func BenchmarkTenThousand(b *testing.B) {
	l := listOf(10000)
	bounds := Bounds{MaxEndpoints: 10000, MaxBytes: 8 << 20, Zones: testBounds.Zones, Kinds: testBounds.Kinds}
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
