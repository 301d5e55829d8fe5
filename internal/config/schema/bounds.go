package schema

// Bounds limit what is read of a file before anything is made of it.
type Bounds struct {
	MaxBytes  int // bytes
	MaxDepth  int // objects and lists within each other
	MaxErrors int // that are told; of the others only the number
}

// DefaultBounds bounds suit a file written by hand.
var DefaultBounds = Bounds{MaxBytes: 1 << 20, MaxDepth: 16, MaxErrors: 50}
