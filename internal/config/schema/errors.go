package schema

import (
	"fmt"
	"strings"
)

// FieldError is one thing wrong in a file.
type FieldError struct {
	File         string
	Line, Column int    // from 1; 0 where the fault has no place
	Path         string // of the option, "" for the whole file
	Message      string
}

// Error gives FILE:LINE:COLUMN: path: what is wrong.
func (f FieldError) Error() string {
	text := f.File
	if f.Line > 0 {
		text += fmt.Sprintf(":%d:%d", f.Line, f.Column)
	}
	if f.Path != "" {
		text += ": " + f.Path
	}
	return text + ": " + f.Message
}

// FieldErrors are all that is wrong in a file, in its order.
type FieldErrors []FieldError

// Error gives a line a fault.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// parserFault takes the place out of the parser's error.
func parserFault(file string, err error) FieldError {
	f := FieldError{File: file, Message: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(f.Message, "hujson: line %d, column %d:", &line, &column); n == 2 {
		f.Line, f.Column = line, column
		f.Message = strings.SplitN(f.Message, ": ", 3)[2]
	}
	f.Message = "does not parse: " + f.Message
	return f
}
