// Package schema reads the files that operators write: JSON with comments, read strictly. One declaration of an
// option gives its type, default, bounds, unit and text; Read fills what is declared and finds every fault of the
// file in one go, Describe lists the same declarations for the documentation.
package schema

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"
)

// Fault is one thing wrong in a file.
type Fault struct {
	File         string
	Line, Column int    // from 1; 0 where the fault has no place
	Path         string // of the option, "" for the whole file
	Message      string
}

// Error gives FILE:LINE:COLUMN: path: what is wrong.
func (f Fault) Error() string {
	text := f.File
	if f.Line > 0 {
		text += fmt.Sprintf(":%d:%d", f.Line, f.Column)
	}
	if f.Path != "" {
		text += ": " + f.Path
	}
	return text + ": " + f.Message
}

// Faults are all that is wrong in a file, in its order.
type Faults []Fault

// Error gives a line a fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Bounds limit what is read of a file before anything is made of it.
type Bounds struct {
	MaxBytes  int // bytes
	MaxDepth  int // objects and lists within each other
	MaxFaults int // that are told; of the others only the number
}

// DefaultBounds bounds suit a file written by hand.
var DefaultBounds = Bounds{MaxBytes: 1 << 20, MaxDepth: 16, MaxFaults: 50}

// Option is one declared option as the documentation has it.
type Option struct {
	Path, Kind, Default, Bounds, Unit, Text string
	Section                                 bool
}

// reader is one reading of a file, or a description, in which case text is nil.
type reader struct {
	file          string
	text          []byte
	bounds        Bounds
	faults        Faults
	omittedFaults int
	options       []Option
	describing    bool // a description

	// A list may hold ten thousand objects: what is needed for one at a time is used again.
	currentRules optionRules
	names        []string
	declared     []string
}

// Object is an object of the file while its options are declared.
type Object struct {
	r        *reader
	path     string
	at       int // where it starts
	members  []hujson.ObjectMember
	names    []string // of the members
	declared int      // where the names of its options begin among the reader's
}

// Read checks a text against a declaration and fills its targets. The error is Faults; then the targets hold
// nothing of use.
func Read(file string, text []byte, bounds Bounds, declare func(*Object)) error {
	r := &reader{file: file, text: text, bounds: bounds}
	if len(text) > bounds.MaxBytes {
		return Faults{{File: file, Message: fmt.Sprintf("over %d bytes", bounds.MaxBytes)}}
	}
	if at, what := findUnparsable(text, bounds.MaxDepth); what != "" {
		r.fault(at, "", what)
		return r.faults
	}
	value, err := hujson.Parse(text)
	if err != nil {
		return Faults{parserFault(file, err)}
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		r.fault(value.StartOffset, "", "the file must hold one object in braces")
		return r.faults
	}
	r.object("", value.StartOffset, object, declare)
	if r.omittedFaults > 0 {
		r.faults = append(r.faults, Fault{File: file, Message: fmt.Sprintf("and %d more faults", r.omittedFaults)})
	}
	if len(r.faults) > 0 {
		return r.faults
	}
	return nil
}

// Describe lists what a declaration declares, in its order.
func Describe(declare func(*Object)) []Option {
	r := &reader{describing: true}
	declare(&Object{r: r})
	return r.options
}

// parserFault takes the place out of the parser's error.
func parserFault(file string, err error) Fault {
	f := Fault{File: file, Message: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(f.Message, "hujson: line %d, column %d:", &line, &column); n == 2 {
		f.Line, f.Column = line, column
		f.Message = strings.SplitN(f.Message, ": ", 3)[2]
	}
	f.Message = "does not parse: " + f.Message
	return f
}

// findUnparsable finds what must not reach the parser, which goes down by recursion: nesting beyond the bound, and bytes
// that are no text.
func findUnparsable(text []byte, most int) (at int, what string) {
	if bytes.HasPrefix(text, []byte("\xef\xbb\xbf")) {
		return 0, "begins with a byte-order mark; save it as UTF-8 without one"
	}
	depth := 0
	for i := 0; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			if r, n := utf8.DecodeRune(text[i:]); r != utf8.RuneError || n > 1 {
				i += n
				continue
			}
			return i, "is not UTF-8"
		}
		switch {
		case c == '"': // to its end
			for i++; i < len(text) && text[i] != '"' && text[i] != '\n'; i++ {
				if text[i] == '\\' {
					i++
				}
				if i < len(text) && text[i] >= utf8.RuneSelf {
					r, n := utf8.DecodeRune(text[i:])
					if r == utf8.RuneError && n <= 1 {
						return i, "is not UTF-8"
					}
					i += n - 1
				}
			}
		case c == '/' && i+1 < len(text) && text[i+1] == '/':
			for i < len(text) && text[i] != '\n' {
				i++
			}
			continue
		case c == '/' && i+1 < len(text) && text[i+1] == '*':
			if end := bytes.Index(text[i+2:], []byte("*/")); end >= 0 {
				i += 2 + end + 1
			}
		case c == '{' || c == '[':
			if depth++; depth > most {
				return i, fmt.Sprintf("nested deeper than %d", most)
			}
		case c == '}' || c == ']':
			depth--
		case c == 0:
			return i, "holds a zero byte"
		}
		i++
	}
	return 0, ""
}

func (r *reader) fault(at int, path, what string) {
	if len(r.faults) >= r.bounds.MaxFaults {
		r.omittedFaults++
		return
	}
	before := r.text[:min(at, len(r.text))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Column: column, Path: path, Message: what})
}

// object declares over one object; what stands there and is not declared is a fault, and so is what stands twice.
func (r *reader) object(path string, at int, value *hujson.Object, declare func(*Object)) *Object {
	o := &Object{r: r, path: path, at: at, members: value.Members}
	names, declared := len(r.names), len(r.declared)
	defer func() { r.names, r.declared = r.names[:names], r.declared[:declared] }()
	for i := range o.members {
		r.names = append(r.names, memberName(&o.members[i]))
	}
	o.names, o.declared = r.names[names:], declared
	declare(o)
	var seen map[string]bool // an object of a hostile file may have many members
	if len(o.members) > 16 {
		seen = make(map[string]bool, len(o.members))
	}
	for i, name := range o.names {
		at, twice := o.members[i].Name.StartOffset, false
		if seen != nil {
			twice, seen[name] = seen[name], true
		} else {
			twice = slices.Contains(o.names[:i], name)
		}
		switch {
		case twice:
			r.fault(at, o.optionPath(name), "stands there twice")
		case !slices.Contains(r.declared[declared:], name):
			r.fault(at, o.optionPath(name), "is not known"+o.suggestion(name))
		}
	}
	return o
}

func memberName(m *hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal)
	return unquote(literal)
}

// unquote takes a text out of its quotes.
func unquote(literal hujson.Literal) string {
	if len(literal) >= 2 && bytes.IndexByte(literal, '\\') < 0 {
		return string(literal[1 : len(literal)-1])
	}
	return literal.String()
}

// suggestion suggests a declared name: at most two letters may differ, which two that have changed places do, or a
// third of a long name's; in a short one, one.
func (o *Object) suggestion(name string) string {
	best, least := "", 1+max(len(name)/3, min(len(name)/2, 2))
	for _, known := range o.r.declared[o.declared:] {
		if d := levenshtein.ComputeDistance(name, known); d < least {
			best, least = known, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

func (o *Object) optionPath(name string) string { return strings.TrimPrefix(o.path+"."+name, ".") }

// lookup gives the member, nil where it does not stand in the file.
func (o *Object) lookup(name string) *hujson.Value {
	if i := slices.Index(o.names, name); i >= 0 {
		return &o.members[i].Value
	}
	return nil
}

// Has tells whether the option stands in the file.
func (o *Object) Has(name string) bool { return !o.r.describing && o.lookup(name) != nil }

// Len is the number of items of a list in the file, 0 where there is none.
func (o *Object) Len(name string) int {
	if value := o.lookup(name); value != nil {
		if list, ok := value.Value.(*hujson.Array); ok {
			return len(list.Elements)
		}
	}
	return 0
}

// Fault adds a fault that a declaration found itself, at the option or, where it does not stand there, the object.
func (o *Object) Fault(name, format string, args ...any) {
	if o.r.describing {
		return
	}
	at := o.at
	if value := o.lookup(name); value != nil {
		at = value.StartOffset
	}
	o.r.fault(at, o.optionPath(name), fmt.Sprintf(format, args...))
}

// optionRules is what a declaration says of an option beyond its name.
type optionRules struct {
	fallback  any
	required  bool
	low, high float64
	bounded   bool
	unit      string
	oneOf     []string
	maxLength int
	check     func(string) error
}

// Rule says something of an option.
type Rule func(*optionRules)

// Default is the value of an option that does not stand there.
func Default(v any) Rule { return func(s *optionRules) { s.fallback = v } }

// Required options must stand there.
func Required() Rule { return func(s *optionRules) { s.required = true } }

// Between bounds a number, both ends included.
func Between(low, high float64) Rule {
	return func(s *optionRules) { s.low, s.high, s.bounded = low, high, true }
}

// Unit words the unit of a number.
func Unit(u string) Rule { return func(s *optionRules) { s.unit = u } }

// OneOf lists the texts that an option may hold.
func OneOf(texts ...string) Rule { return func(s *optionRules) { s.oneOf = texts } }

// Length bounds a text, in bytes; 128 without it.
func Length(most int) Rule { return func(s *optionRules) { s.maxLength = most } }

// Check refuses texts for a reason of its own.
func Check(check func(string) error) Rule { return func(s *optionRules) { s.check = check } }

// declare notes the option and finds its value: nil where the default holds or a fault was found.
func (o *Object) declare(name, kind, text string, says []Rule) (*hujson.Value, optionRules) {
	o.r.currentRules = optionRules{maxLength: 128}
	for _, say := range says {
		say(&o.r.currentRules)
	}
	s := o.r.currentRules
	o.r.declared = append(o.r.declared, name)
	if o.r.describing {
		entry := Option{Path: o.optionPath(name), Kind: kind, Unit: s.unit, Text: text}
		switch {
		case s.required:
			entry.Default = "required"
		case s.fallback == nil || s.fallback == "":
		default:
			entry.Default = fmt.Sprint(s.fallback)
		}
		switch {
		case s.bounded:
			entry.Bounds = fmt.Sprintf("%v to %v", formatNumber(s.low), formatNumber(s.high))
		case s.oneOf != nil:
			entry.Bounds = strings.Join(s.oneOf, ", ")
		}
		o.r.options = append(o.r.options, entry)
		return nil, s
	}
	value := o.lookup(name)
	if value == nil && s.required {
		o.r.fault(o.at, o.optionPath(name), "is missing")
	}
	return value, s
}

func formatNumber(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e15 {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// literalOf finds a value of a kind, as the parser names kinds by their first byte.
func (o *Object) literalOf(name string, value *hujson.Value, kinds, wanted string) (hujson.Literal, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kinds, rune(literal.Kind())) {
		o.r.fault(value.StartOffset, o.optionPath(name), "must be "+wanted)
		return nil, false
	}
	return literal, true
}

// parseString checks one text.
func (o *Object) parseString(name string, value *hujson.Value, s optionRules) (string, bool) {
	literal, ok := o.literalOf(name, value, "\"", "a text")
	if !ok {
		return "", false
	}
	v, what := unquote(literal), ""
	switch {
	case len(v) > s.maxLength:
		what = fmt.Sprintf("is longer than %d bytes", s.maxLength)
	case strings.ContainsFunc(v, func(r rune) bool { return r < ' ' || r == 0x7f || r == utf8.RuneError }):
		what = "holds a sign that is no text"
	case s.oneOf != nil && !slices.Contains(s.oneOf, v):
		what = fmt.Sprintf("is %q, must be one of %s", v, strings.Join(s.oneOf, ", "))
	case s.check != nil:
		if err := s.check(v); err != nil {
			what = err.Error()
		}
	}
	if what != "" {
		o.r.fault(value.StartOffset, o.optionPath(name), what)
	}
	return v, what == ""
}

// String declares a text.
func (o *Object) String(to *string, name, text string, says ...Rule) {
	value, s := o.declare(name, "text", text, says)
	if value != nil {
		*to, _ = o.parseString(name, value, s)
	} else if s.fallback != nil && !o.r.describing {
		*to = s.fallback.(string)
	}
}

// Strings declares a list of texts; each must keep what is said, and none may stand there twice.
func (o *Object) Strings(to *[]string, name, text string, says ...Rule) {
	value, s := o.declare(name, "list of texts", text, says)
	if value == nil {
		return
	}
	list, ok := value.Value.(*hujson.Array)
	if !ok {
		o.r.fault(value.StartOffset, o.optionPath(name), "must be a list")
		return
	}
	*to = []string{}
	for i := range list.Elements {
		at := name + "[" + strconv.Itoa(i) + "]"
		if v, ok := o.parseString(at, &list.Elements[i], s); ok {
			if slices.Contains(*to, v) {
				o.r.fault(list.Elements[i].StartOffset, o.optionPath(at), fmt.Sprintf("%q stands there twice", v))
			}
			*to = append(*to, v)
		}
	}
}

// Number declares a figure.
func (o *Object) Number(to *float64, name, text string, says ...Rule) {
	value, s := o.declare(name, "number", text, says)
	if value == nil {
		if !o.r.describing {
			switch d := s.fallback.(type) {
			case float64:
				*to = d
			case int:
				*to = float64(d)
			}
		}
		return
	}
	if literal, ok := o.literalOf(name, value, "0", "a number"); ok {
		*to = o.parseNumber(name, value, string(literal), s)
	}
}

func (o *Object) parseNumber(name string, value *hujson.Value, literal string, s optionRules) float64 {
	v, err := strconv.ParseFloat(literal, 64)
	switch {
	case err != nil:
		o.r.fault(value.StartOffset, o.optionPath(name), literal+" is no figure that can be kept")
	case s.bounded && !(v >= s.low && v <= s.high):
		o.r.fault(value.StartOffset, o.optionPath(name), fmt.Sprintf("%s is out of range, %s to %s%s", literal,
			formatNumber(s.low), formatNumber(s.high), strings.TrimRight(" "+s.unit, " ")))
	}
	return v
}

// Integer declares a whole number.
func Integer[T int | int64 | uint32](o *Object, to *T, name, text string, says ...Rule) {
	value, s := o.declare(name, "whole number", text, says)
	if value == nil {
		if d, ok := s.fallback.(int); ok && !o.r.describing {
			*to = T(d)
		}
		return
	}
	literal, ok := o.literalOf(name, value, "0", "a whole number")
	if !ok {
		return
	}
	v, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || v > 1<<53 || v < -1<<53 {
		o.r.fault(value.StartOffset, o.optionPath(name), string(literal)+" is no whole number that can be kept")
		return
	}
	if o.parseNumber(name, value, string(literal), s); T(v) >= 0 || v < 0 {
		*to = T(v)
	}
}

// Bool declares a choice of true and false.
func (o *Object) Bool(to *bool, name, text string, says ...Rule) {
	value, s := o.declare(name, "true or false", text, says)
	if value == nil {
		if d, ok := s.fallback.(bool); ok && !o.r.describing {
			*to = d
		}
		return
	}
	if literal, ok := o.literalOf(name, value, "tf", "true or false"); ok {
		*to = literal.Bool()
	}
}

// Object declares an object within. Its options are declared also where it does not stand in the file, so that
// their defaults hold.
func (o *Object) Object(name, text string, declare func(*Object), says ...Rule) {
	value, s := o.declare(name, "object", text, says)
	if o.r.describing {
		o.r.options[len(o.r.options)-1].Section = true
		declare(&Object{r: o.r, path: o.optionPath(name)})
		return
	}
	if value == nil && s.required { // told already
		return
	}
	inner := &hujson.Object{}
	at := o.at
	if value != nil {
		at = value.StartOffset
		var ok bool
		if inner, ok = value.Value.(*hujson.Object); !ok {
			o.r.fault(at, o.optionPath(name), "must be an object in braces")
			return
		}
	}
	o.r.object(o.optionPath(name), at, inner, declare)
}

// List declares a list of objects, of which at most so many are read; each goes through item with its place.
func (o *Object) List(name, text string, most int, item func(*Object, int), says ...Rule) {
	value, _ := o.declare(name, "list of objects", text, append(says, Between(0, float64(most)), Unit("items")))
	if o.r.describing {
		o.r.options[len(o.r.options)-1].Section = true
		item(&Object{r: o.r, path: o.optionPath(name) + "[]"}, 0)
		return
	}
	if value == nil {
		return
	}
	list, ok := value.Value.(*hujson.Array)
	switch {
	case !ok:
		o.r.fault(value.StartOffset, o.optionPath(name), "must be a list in brackets")
		return
	case len(list.Elements) > most:
		o.r.fault(value.StartOffset, o.optionPath(name), fmt.Sprintf("%d items, at most %d", len(list.Elements), most))
		return
	}
	for i := range list.Elements {
		path := o.optionPath(name) + "[" + strconv.Itoa(i) + "]"
		at := list.Elements[i].StartOffset
		inner, ok := list.Elements[i].Value.(*hujson.Object)
		if !ok {
			o.r.fault(at, path, "must be an object in braces")
			continue
		}
		o.r.object(path, at, inner, func(o *Object) { item(o, i) })
	}
}
