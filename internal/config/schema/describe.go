package schema

// Option describes a declared option for the documentation.
type Option struct {
	Path, Kind, Default, Bounds, Unit, Text string
	Section                                 bool // whether it is an object or a list of objects, whose options follow
}

// Describe returns the options that declare declares, in the order of their declaration.
func Describe(declare func(*Object)) []Option {
	r := &reader{describing: true}
	declare(&Object{reader: r})
	return r.options
}
