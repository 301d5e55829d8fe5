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

// declare records the declaration of an option and returns its value and rules. The value is nil if Describe was called, or if
// the file does not have the option, in which case its default applies.
func (o *Object) declare(name, kind, text string, rules []Rule) (*hujson.Value, optionRules) {
	o.reader.currentRules = optionRules{maxLength: 128}
	for _, rule := range rules {
		rule(&o.reader.currentRules)
	}
	r := o.reader.currentRules
	o.reader.declared = append(o.reader.declared, name)
	if o.reader.describing {
		entry := Option{Path: o.optionPath(name), Kind: kind, Unit: r.unit, Text: text}
		switch {
		case r.required:
			entry.Default = "required"
		case r.defaultValue == nil || r.defaultValue == "":
		default:
			entry.Default = fmt.Sprint(r.defaultValue)
		}
		switch {
		case r.bounded:
			entry.Bounds = fmt.Sprintf("%v to %v", formatNumber(r.low), formatNumber(r.high))
		case r.oneOf != nil:
			entry.Bounds = strings.Join(r.oneOf, ", ")
		}
		o.reader.options = append(o.reader.options, entry)
		return nil, r
	}
	value := o.lookup(name)
	if value == nil && r.required {
		o.reader.addError(o.offset, o.optionPath(name), "is missing")
	}
	return value, r
}

func formatNumber(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e15 {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// literalOf returns the value as a literal if its kind, as returned by hujson.Literal.Kind, is one of the bytes in kinds.
// Otherwise it adds an error that the value must be want.
func (o *Object) literalOf(name string, value *hujson.Value, kinds, want string) (hujson.Literal, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kinds, rune(literal.Kind())) {
		o.reader.addError(value.StartOffset, o.optionPath(name), "must be "+want)
		return nil, false
	}
	return literal, true
}

// parseString returns the value as a text, and reports whether it is valid.
func (o *Object) parseString(name string, value *hujson.Value, r optionRules) (string, bool) {
	literal, ok := o.literalOf(name, value, "\"", "a text")
	if !ok {
		return "", false
	}
	v, message := unquote(literal), ""
	switch {
	case len(v) > r.maxLength:
		message = fmt.Sprintf("is longer than %d bytes", r.maxLength)
	case strings.ContainsFunc(v, func(c rune) bool { return c < ' ' || c == 0x7f || c == utf8.RuneError }):
		message = "holds a sign that is no text"
	case r.oneOf != nil && !slices.Contains(r.oneOf, v):
		message = fmt.Sprintf("is %q, must be one of %s", v, strings.Join(r.oneOf, ", "))
	case r.check != nil:
		if err := r.check(v); err != nil {
			message = err.Error()
		}
	}
	if message != "" {
		o.reader.addError(value.StartOffset, o.optionPath(name), message)
	}
	return v, message == ""
}

// String declares a text option.
func (o *Object) String(target *string, name, text string, rules ...Rule) {
	value, r := o.declare(name, "text", text, rules)
	if value != nil {
		*target, _ = o.parseString(name, value, r)
	} else if r.defaultValue != nil && !o.reader.describing {
		*target = r.defaultValue.(string)
	}
}

// Strings declares a list of texts. The rules apply to each of them, and duplicates are errors.
func (o *Object) Strings(target *[]string, name, text string, rules ...Rule) {
	value, r := o.declare(name, "list of texts", text, rules)
	if value == nil {
		return
	}
	list, ok := value.Value.(*hujson.Array)
	if !ok {
		o.reader.addError(value.StartOffset, o.optionPath(name), "must be a list")
		return
	}
	*target = []string{}
	for i := range list.Elements {
		itemName := name + "[" + strconv.Itoa(i) + "]"
		if v, ok := o.parseString(itemName, &list.Elements[i], r); ok {
			if slices.Contains(*target, v) {
				o.reader.addError(list.Elements[i].StartOffset, o.optionPath(itemName), fmt.Sprintf("%q stands there twice", v))
			}
			*target = append(*target, v)
		}
	}
}

// Number declares a number option.
func (o *Object) Number(target *float64, name, text string, rules ...Rule) {
	value, r := o.declare(name, "number", text, rules)
	if value == nil {
		if !o.reader.describing {
			switch d := r.defaultValue.(type) {
			case float64:
				*target = d
			case int:
				*target = float64(d)
			}
		}
		return
	}
	if literal, ok := o.literalOf(name, value, "0", "a number"); ok {
		*target = o.parseNumber(name, value, string(literal), r)
	}
}

// Seconds declares a time in seconds.
func (o *Object) Seconds(target *float64, name, text string, rules ...Rule) {
	o.Number(target, name, text, append(rules, Unit("s"))...)
}

func (o *Object) parseNumber(name string, value *hujson.Value, literal string, r optionRules) float64 {
	v, err := strconv.ParseFloat(literal, 64)
	switch {
	case err != nil:
		o.reader.addError(value.StartOffset, o.optionPath(name), literal+" is no figure that can be kept")
	case r.bounded && !(v >= r.low && v <= r.high):
		o.reader.addError(value.StartOffset, o.optionPath(name), fmt.Sprintf("%s is out of range, %s to %s%s", literal,
			formatNumber(r.low), formatNumber(r.high), strings.TrimRight(" "+r.unit, " ")))
	}
	return v
}

// Integer declares an integer option.
func Integer[T int | int64 | uint32](o *Object, target *T, name, text string, rules ...Rule) {
	value, r := o.declare(name, "whole number", text, rules)
	if value == nil {
		if d, ok := r.defaultValue.(int); ok && !o.reader.describing {
			*target = T(d)
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
	if o.parseNumber(name, value, string(literal), r); T(v) >= 0 || v < 0 {
		*target = T(v)
	}
}

// Bool declares a boolean option.
func (o *Object) Bool(target *bool, name, text string, rules ...Rule) {
	value, r := o.declare(name, "true or false", text, rules)
	if value == nil {
		if d, ok := r.defaultValue.(bool); ok && !o.reader.describing {
			*target = d
		}
		return
	}
	if literal, ok := o.literalOf(name, value, "tf", "true or false"); ok {
		*target = literal.Bool()
	}
}

// Object declares a nested object. Its options are declared even if the file does not have the object, so that their defaults
// apply.
func (o *Object) Object(name, text string, declare func(*Object), rules ...Rule) {
	value, r := o.declare(name, "object", text, rules)
	if o.reader.describing {
		o.reader.options[len(o.reader.options)-1].Section = true
		declare(&Object{reader: o.reader, path: o.optionPath(name)})
		return
	}
	if value == nil && r.required { // declare has added the error
		return
	}
	inner := &hujson.Object{}
	offset := o.offset
	if value != nil {
		offset = value.StartOffset
		var ok bool
		if inner, ok = value.Value.(*hujson.Object); !ok {
			o.reader.addError(offset, o.optionPath(name), "must be an object in braces")
			return
		}
	}
	o.reader.object(o.optionPath(name), offset, inner, declare)
}

// List declares a list of at most maxItems objects. item declares the options of an object, and is called with the index of
// each object in the list.
func (o *Object) List(name, text string, maxItems int, item func(*Object, int), rules ...Rule) {
	value, _ := o.declare(name, "list of objects", text, append(rules, Between(0, float64(maxItems)), Unit("items")))
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
	case len(list.Elements) > maxItems:
		o.reader.addError(value.StartOffset, o.optionPath(name), fmt.Sprintf("%d items, at most %d", len(list.Elements), maxItems))
		return
	}
	for i := range list.Elements {
		path := o.optionPath(name) + "[" + strconv.Itoa(i) + "]"
		offset := list.Elements[i].StartOffset
		inner, ok := list.Elements[i].Value.(*hujson.Object)
		if !ok {
			o.reader.addError(offset, path, "must be an object in braces")
			continue
		}
		o.reader.object(path, offset, inner, func(o *Object) { item(o, i) })
	}
}
