// Package schema reads the files that operators write: JSON with comments, in which unknown and duplicate options are errors.
// The declaration of an option gives its type, default, bounds, unit and description. Read sets the targets of the declared
// options and reports all errors of the file at once; Describe returns the same declarations for the documentation.
package schema

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"
)

// reader is the state of one call of Read, or of Describe, for which text is nil.
type reader struct {
	file          string
	text          []byte
	bounds        Bounds
	errors        FieldErrors
	omittedErrors int // errors beyond Bounds.MaxErrors
	options       []Option
	describing    bool // whether Describe was called

	// These are reused for each object, because a list may have ten thousand of them.
	currentRules optionRules
	names        []string
	declared     []string
}

// Object is an object of the file, whose options are being declared.
type Object struct {
	reader        *reader
	path          string
	offset        int // position of its start in the file
	members       []hujson.ObjectMember
	names         []string // names of the members
	firstDeclared int      // index of its first option in reader.declared
}

// Read checks the text of a file against a declaration and sets the targets of the declared options. An error is of type
// FieldErrors, and leaves the targets undefined.
func Read(file string, text []byte, bounds Bounds, declare func(*Object)) error {
	r := &reader{file: file, text: text, bounds: bounds}
	if len(text) > bounds.MaxBytes {
		return FieldErrors{{File: file, Message: fmt.Sprintf("over %d bytes", bounds.MaxBytes)}}
	}
	if offset, message := findUnparsable(text, bounds.MaxDepth); message != "" {
		r.addError(offset, "", message)
		return r.errors
	}
	value, err := hujson.Parse(text)
	if err != nil {
		return FieldErrors{syntaxError(file, err)}
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

func (r *reader) addError(offset int, path, message string) {
	if len(r.errors) >= r.bounds.MaxErrors {
		r.omittedErrors++
		return
	}
	before := r.text[:min(offset, len(r.text))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	r.errors = append(r.errors, FieldError{File: r.file, Line: line, Column: column, Path: path, Message: message})
}

// object calls declare for an object of the file. Members that it does not declare and duplicate members are errors.
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

// maxLinearSearch is the largest number of members among which duplicates are found by linear search. A larger object needs a
// set, because an object of a malicious file may have very many members.
const maxLinearSearch = 16

// checkNames adds an error for each member that is not declared or is a duplicate.
func (o *Object) checkNames() {
	var seen map[string]bool
	if len(o.members) > maxLinearSearch {
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

// unquote returns the text of a string literal.
func unquote(literal hujson.Literal) string {
	if len(literal) >= 2 && bytes.IndexByte(literal, '\\') < 0 {
		return string(literal[1 : len(literal)-1])
	}
	return literal.String()
}

// suggestion returns "; did you mean NAME?" with the closest declared name, or "" if none is close enough. The edit distance may
// be 2, which allows for two transposed letters, or up to a third of the letters of a long name. In a short name it may be 1.
func (o *Object) suggestion(name string) string {
	best, distanceLimit := "", 1+max(len(name)/3, min(len(name)/2, 2))
	for _, candidate := range o.reader.declared[o.firstDeclared:] {
		if d := levenshtein.ComputeDistance(name, candidate); d < distanceLimit {
			best, distanceLimit = candidate, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

func (o *Object) optionPath(name string) string { return strings.TrimPrefix(o.path+"."+name, ".") }

// lookup returns the value of the member, or nil if the file does not have it.
func (o *Object) lookup(name string) *hujson.Value {
	if i := slices.Index(o.names, name); i >= 0 {
		return &o.members[i].Value
	}
	return nil
}

// Has reports whether the file has the option.
func (o *Object) Has(name string) bool { return !o.reader.describing && o.lookup(name) != nil }

// Len returns the number of items of a list in the file, 0 if the file does not have the list.
func (o *Object) Len(name string) int {
	if value := o.lookup(name); value != nil {
		if list, ok := value.Value.(*hujson.Array); ok {
			return len(list.Elements)
		}
	}
	return 0
}

// AddError adds an error that the caller found, at the position of the option, or of the object if the file does not have the
// option.
func (o *Object) AddError(name, format string, args ...any) {
	if o.reader.describing {
		return
	}
	offset := o.offset
	if value := o.lookup(name); value != nil {
		offset = value.StartOffset
	}
	o.reader.addError(offset, o.optionPath(name), fmt.Sprintf(format, args...))
}
