package schema

import (
	"fmt"
	"strings"
)

// FieldError is one error in a file.
type FieldError struct {
	File         string
	Line, Column int    // counted from 1; 0 if the error has no position
	Path         string // path of the option, "" for the whole file
	Message      string
}

// Error returns the error as FILE:LINE:COLUMN: PATH: MESSAGE.
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

// FieldErrors are the errors in a file, in the order in which they were found.
type FieldErrors []FieldError

// Error returns one line for each error.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// syntaxError converts an error of the parser, which has the position in its text.
func syntaxError(file string, err error) FieldError {
	f := FieldError{File: file, Message: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(f.Message, "hujson: line %d, column %d:", &line, &column); n == 2 {
		f.Line, f.Column = line, column
		f.Message = strings.SplitN(f.Message, ": ", 3)[2]
	}
	f.Message = "does not parse: " + f.Message
	return f
}
