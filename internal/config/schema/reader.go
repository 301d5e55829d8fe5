// Package schema reads the files that operators write: JSON with comments, read strictly. One declaration of an
// option gives its type, default, bounds, unit and text; Read fills what is declared and finds every fault of the
// file in one go, Describe lists the same declarations for the documentation.
package schema

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"
)

// reader is one reading of a file, or a description, in which case text is nil.
type reader struct {
	file          string
	text          []byte
	bounds        Bounds
	errors        FieldErrors
	omittedErrors int
	options       []Option
	describing    bool // a description

	// A list may hold ten thousand objects: what is needed for one at a time is used again.
	currentRules optionRules
	names        []string
	declared     []string
}

// Object is an object of the file while its options are declared.
type Object struct {
	reader        *reader
	path          string
	offset        int // where it starts
	members       []hujson.ObjectMember
	names         []string // of the members
	firstDeclared int      // where the names of its options begin among the reader's
}

// Read checks a text against a declaration and fills its targets. The error is Faults; then the targets hold
// nothing of use.
func Read(file string, text []byte, bounds Bounds, declare func(*Object)) error {
	r := &reader{file: file, text: text, bounds: bounds}
	if len(text) > bounds.MaxBytes {
		return FieldErrors{{File: file, Message: fmt.Sprintf("over %d bytes", bounds.MaxBytes)}}
	}
	if at, what := findUnparsable(text, bounds.MaxDepth); what != "" {
		r.addError(at, "", what)
		return r.errors
	}
	value, err := hujson.Parse(text)
	if err != nil {
		return FieldErrors{parserFault(file, err)}
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		r.addError(value.StartOffset, "", "the file must hold one object in braces")
		return r.errors
	}
	r.object("", value.StartOffset, object, declare)
	if r.omittedErrors > 0 {
		r.errors = append(r.errors, FieldError{File: file, Message: fmt.Sprintf("and %d more faults", r.omittedErrors)})
	}
	if len(r.errors) > 0 {
		return r.errors
	}
	return nil
}

func (r *reader) addError(at int, path, what string) {
	if len(r.errors) >= r.bounds.MaxErrors {
		r.omittedErrors++
		return
	}
	before := r.text[:min(at, len(r.text))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	r.errors = append(r.errors, FieldError{File: r.file, Line: line, Column: column, Path: path, Message: what})
}

// object declares over one object. What stands there and is not declared is an error, and so is what stands there twice.
func (r *reader) object(path string, offset int, value *hujson.Object, declare func(*Object)) {
	firstName, firstDeclared := len(r.names), len(r.declared)
	defer func() { r.names, r.declared = r.names[:firstName], r.declared[:firstDeclared] }()
	for i := range value.Members {
		r.names = append(r.names, memberName(&value.Members[i]))
	}
	o := &Object{
		reader:        r,
		path:          path,
		offset:        offset,
		members:       value.Members,
		names:         r.names[firstName:],
		firstDeclared: firstDeclared,
	}
	declare(o)
	o.checkNames()
}

// manyMembers is from how many on a set finds duplicates; an object of a hostile file may have very many.
const manyMembers = 16

// checkNames finds the members that are not declared or stand there twice.
func (o *Object) checkNames() {
	var seen map[string]bool
	if len(o.members) > manyMembers {
		seen = make(map[string]bool, len(o.members))
	}
	for i, name := range o.names {
		var duplicate bool
		if seen != nil {
			duplicate = seen[name]
			seen[name] = true
		} else {
			duplicate = slices.Contains(o.names[:i], name)
		}
		offset := o.members[i].Name.StartOffset
		switch {
		case duplicate:
			o.reader.addError(offset, o.optionPath(name), "stands there twice")
		case !slices.Contains(o.reader.declared[o.firstDeclared:], name):
			o.reader.addError(offset, o.optionPath(name), "is not known"+o.suggestion(name))
		}
	}
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
	for _, known := range o.reader.declared[o.firstDeclared:] {
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
func (o *Object) Has(name string) bool { return !o.reader.describing && o.lookup(name) != nil }

// Len is the number of items of a list in the file, 0 where there is none.
func (o *Object) Len(name string) int {
	if value := o.lookup(name); value != nil {
		if list, ok := value.Value.(*hujson.Array); ok {
			return len(list.Elements)
		}
	}
	return 0
}

// AddError adds a fault that a declaration found itself, at the option or, where it does not stand there, the object.
func (o *Object) AddError(name, format string, args ...any) {
	if o.reader.describing {
		return
	}
	at := o.offset
	if value := o.lookup(name); value != nil {
		at = value.StartOffset
	}
	o.reader.addError(at, o.optionPath(name), fmt.Sprintf(format, args...))
}
