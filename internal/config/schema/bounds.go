package schema

// Bounds limit the files that are read.
type Bounds struct {
	MaxBytes  int // largest size of the file
	MaxDepth  int // largest depth of nested objects and lists
	MaxErrors int // largest number of errors that are reported one by one; the others are only counted
}

// DefaultBounds are suitable for a file written by hand.
var DefaultBounds = Bounds{MaxBytes: 1 << 20, MaxDepth: 16, MaxErrors: 50}
