package schema

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// declare notes the option and finds its value: nil where the default holds or a fault was found.
func (o *Object) declare(name, kind, text string, says []Rule) (*hujson.Value, optionRules) {
	o.reader.currentRules = optionRules{maxLength: 128}
	for _, say := range says {
		say(&o.reader.currentRules)
	}
	s := o.reader.currentRules
	o.reader.declared = append(o.reader.declared, name)
	if o.reader.describing {
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
		o.reader.options = append(o.reader.options, entry)
		return nil, s
	}
	value := o.lookup(name)
	if value == nil && s.required {
		o.reader.addError(o.offset, o.optionPath(name), "is missing")
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
		o.reader.addError(value.StartOffset, o.optionPath(name), "must be "+wanted)
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
		o.reader.addError(value.StartOffset, o.optionPath(name), what)
	}
	return v, what == ""
}

// String declares a text.
func (o *Object) String(to *string, name, text string, says ...Rule) {
	value, s := o.declare(name, "text", text, says)
	if value != nil {
		*to, _ = o.parseString(name, value, s)
	} else if s.fallback != nil && !o.reader.describing {
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
		o.reader.addError(value.StartOffset, o.optionPath(name), "must be a list")
		return
	}
	*to = []string{}
	for i := range list.Elements {
		at := name + "[" + strconv.Itoa(i) + "]"
		if v, ok := o.parseString(at, &list.Elements[i], s); ok {
			if slices.Contains(*to, v) {
				o.reader.addError(list.Elements[i].StartOffset, o.optionPath(at), fmt.Sprintf("%q stands there twice", v))
			}
			*to = append(*to, v)
		}
	}
}

// Number declares a figure.
func (o *Object) Number(to *float64, name, text string, says ...Rule) {
	value, s := o.declare(name, "number", text, says)
	if value == nil {
		if !o.reader.describing {
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
		o.reader.addError(value.StartOffset, o.optionPath(name), literal+" is no figure that can be kept")
	case s.bounded && !(v >= s.low && v <= s.high):
		o.reader.addError(value.StartOffset, o.optionPath(name), fmt.Sprintf("%s is out of range, %s to %s%s", literal,
			formatNumber(s.low), formatNumber(s.high), strings.TrimRight(" "+s.unit, " ")))
	}
	return v
}

// Integer declares a whole number.
func Integer[T int | int64 | uint32](o *Object, to *T, name, text string, says ...Rule) {
	value, s := o.declare(name, "whole number", text, says)
	if value == nil {
		if d, ok := s.fallback.(int); ok && !o.reader.describing {
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
		o.reader.addError(value.StartOffset, o.optionPath(name), string(literal)+" is no whole number that can be kept")
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
		if d, ok := s.fallback.(bool); ok && !o.reader.describing {
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
	if o.reader.describing {
		o.reader.options[len(o.reader.options)-1].Section = true
		declare(&Object{reader: o.reader, path: o.optionPath(name)})
		return
	}
	if value == nil && s.required { // told already
		return
	}
	inner := &hujson.Object{}
	at := o.offset
	if value != nil {
		at = value.StartOffset
		var ok bool
		if inner, ok = value.Value.(*hujson.Object); !ok {
			o.reader.addError(at, o.optionPath(name), "must be an object in braces")
			return
		}
	}
	o.reader.object(o.optionPath(name), at, inner, declare)
}

// List declares a list of objects, of which at most so many are read; each goes through item with its place.
func (o *Object) List(name, text string, most int, item func(*Object, int), says ...Rule) {
	value, _ := o.declare(name, "list of objects", text, append(says, Between(0, float64(most)), Unit("items")))
	if o.reader.describing {
		o.reader.options[len(o.reader.options)-1].Section = true
		item(&Object{reader: o.reader, path: o.optionPath(name) + "[]"}, 0)
		return
	}
	if value == nil {
		return
	}
	list, ok := value.Value.(*hujson.Array)
	switch {
	case !ok:
		o.reader.addError(value.StartOffset, o.optionPath(name), "must be a list in brackets")
		return
	case len(list.Elements) > most:
		o.reader.addError(value.StartOffset, o.optionPath(name), fmt.Sprintf("%d items, at most %d", len(list.Elements), most))
		return
	}
	for i := range list.Elements {
		path := o.optionPath(name) + "[" + strconv.Itoa(i) + "]"
		at := list.Elements[i].StartOffset
		inner, ok := list.Elements[i].Value.(*hujson.Object)
		if !ok {
			o.reader.addError(at, path, "must be an object in braces")
			continue
		}
		o.reader.object(path, at, inner, func(o *Object) { item(o, i) })
	}
}
