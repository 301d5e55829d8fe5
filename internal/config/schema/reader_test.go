package schema

import (
	"errors"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

type testSettings struct {
	name, mode string
	names      []string
	count      int
	ratio      float64
	on         bool
	items      []string
}

func (s *testSettings) declare(o *Object) {
	o.String(&s.name, "name", "a name", Required(), MaxLength(8))
	o.String(&s.mode, "mode", "a choice", Default("one"), OneOf("one", "two"))
	o.Strings(&s.names, "names", "several")
	Integer(o, &s.count, "count", "a count", Default(3), Between(0, 9))
	o.Object("inner", "within", func(o *Object) {
		o.Number(&s.ratio, "figure", "a ratio", Default(0.5), Between(0, 1), Unit("s"))
		o.Bool(&s.on, "on", "a switch", Default(true))
	})
	o.List("items", "more", 3, func(o *Object, _ int) {
		name := ""
		o.String(&name, "name", "of an item", Required())
		s.items = append(s.items, name)
	})
}

// Read sets all targets, or reports all errors of the file.
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
		s := testSettings{}
		err := Read("f", []byte(text), Bounds{MaxBytes: 250, MaxDepth: 16, MaxErrors: 8}, s.declare)
		lines = append(lines, strings.ToValidUTF8(strings.NewReplacer("\n", "\\n", "\x00", "\\0", "\xef\xbb\xbf", "BOM").Replace(text), "?"))
		if err == nil {
			lines = append(lines, "  good "+strings.Join(append([]string{s.name, s.mode}, append(s.names, s.items...)...), " "))
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
		s := testSettings{}
		err := Read("f", text, DefaultBounds, s.declare)
		var fieldErrors FieldErrors
		if err == nil {
			if s.name == "" && !strings.Contains(string(text), `""`) || s.count < 0 || s.count > 9 || !(s.ratio >= 0 && s.ratio <= 1) || len(s.items) > 3 {
				t.Fatalf("got %+v, want a name, a count from 0 to 9, a ratio from 0 to 1 and at most 3 items", s)
			}
			return
		}
		if !errors.As(err, &fieldErrors) || len(fieldErrors) == 0 {
			t.Fatalf("got error %v, want a non-empty FieldErrors", err)
		}
		for _, f := range fieldErrors {
			if f.Line > 1+strings.Count(string(text), "\n") || f.Column > len(text)+1 {
				t.Fatalf("error %v has a position outside the text", f)
			}
		}
	})
}
