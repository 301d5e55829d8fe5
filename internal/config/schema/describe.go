package schema

// Option is one declared option as the documentation has it.
type Option struct {
	Path, Kind, Default, Bounds, Unit, Text string
	Section                                 bool
}

// Describe lists what a declaration declares, in its order.
func Describe(declare func(*Object)) []Option {
	r := &reader{describing: true}
	declare(&Object{reader: r})
	return r.options
}
