package schema

import (
	"errors"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

type wanted struct {
	name, mode string
	names      []string
	count      int
	figure     float64
	on         bool
	items      []string
}

func (w *wanted) declare(o *Object) {
	o.String(&w.name, "name", "a name", Required(), MaxLength(8))
	o.String(&w.mode, "mode", "a choice", Default("one"), OneOf("one", "two"))
	o.Strings(&w.names, "names", "several")
	Integer(o, &w.count, "count", "a count", Default(3), Between(0, 9))
	o.Object("inner", "within", func(o *Object) {
		o.Number(&w.figure, "figure", "a figure", Default(0.5), Between(0, 1), Unit("s"))
		o.Bool(&w.on, "on", "a switch", Default(true))
	})
	o.List("items", "more", 3, func(o *Object, _ int) {
		name := ""
		o.String(&name, "name", "of an item", Required())
		w.items = append(w.items, name)
	})
}

// What is read, and every fault in one go.
func TestRead(t *testing.T) {
	var lines []string
	for _, text := range []string{
		`{"name": "a"}`,
		"// all\n{\"name\": \"a\", \"mode\": \"two\", \"names\": [\"x\", \"y\",], \"count\": 9,\n\"inner\": {\"figure\": 1e-3, \"on\": false}, \"items\": [{\"name\": \"i\"}]}",
		`{}`, `[]`, `null`, `{"name": "a"} x`, "{\"name\":\n  a}", `{"name": "a" "mode": "two"}`,
		`{"nam": "a", "cuont": 1, "zzzzzz": 1}`,
		"{\"name\": 7,\n\t\"mode\": \"three\",\n\"names\": \"x\",\n\"count\": 2.5, \"inner\": [], \"items\": {}}",
		`{"name": "far too long", "names": ["x", 1, "x"], "count": 10, "inner": {"figure": -0.1, "on": "yes", "of": 1}, "items": [1, {}, {"name": ""}]}`,
		`{"name": "a", "items": [{"name": "1"}, {"name": "2"}, {"name": "3"}, {"name": "4"}]}`,
		`{"name": "a", "name": "b", "inner": {"on": true, "on": true}}`,
		`{"name": "a", "count": 1e400}`, `{"name": "a", "inner": {"figure": 1e400}}`, `{"name": "a", "count": -9007199254740994}`,
		`{"name": "\u0001"}`, "{\"name\": \"\xff\"}", "\xef\xbb\xbf{}", "{\"name\": \"a\x00\"}\x00", strings.Repeat("{\"inner\":", 17),
		`/* open`, `{"name": "a", ` + strings.Repeat(`"x": 1, `, 20) + `}`,
		strings.Repeat(" ", 300),
	} {
		w := wanted{}
		err := Read("f", []byte(text), Bounds{MaxBytes: 250, MaxDepth: 16, MaxErrors: 8}, w.declare)
		lines = append(lines, strings.ToValidUTF8(strings.NewReplacer("\n", "\\n", "\x00", "\\0", "\xef\xbb\xbf", "BOM").Replace(text), "?"))
		if err == nil {
			lines = append(lines, "  good "+strings.Join(append([]string{w.name, w.mode}, append(w.names, w.items...)...), " "))
			continue
		}
		for _, line := range strings.Split(err.Error(), "\n") {
			lines = append(lines, "  "+line)
		}
	}
	testutil.CheckTrace(t, lines)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"name": "a", "names": ["x"], "inner": {"figure": 0.1}, "items": [{"name": "i"}]} // c`))
	f.Add([]byte(`/*{"a":[[[["\"\\u00`))
	f.Add([]byte("{\"\xf0\x9f\": \"\\ud83d\"}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		w := wanted{}
		err := Read("f", text, DefaultBounds, w.declare)
		var faults FieldErrors
		if err == nil {
			if w.name == "" && !strings.Contains(string(text), `""`) || w.count < 0 || w.count > 9 || !(w.figure >= 0 && w.figure <= 1) || len(w.items) > 3 {
				t.Fatalf("%+v", w)
			}
			return
		}
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Fatalf("%v is no list of faults", err)
		}
		for _, f := range faults {
			if f.Line > 1+strings.Count(string(text), "\n") || f.Column > len(text)+1 {
				t.Fatalf("%v lies outside", f)
			}
		}
	})
}
