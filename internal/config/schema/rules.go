package schema

// optionRules holds the default, bounds and unit of a declared option.
type optionRules struct {
	defaultValue any // nil if the declaration has no default
	required     bool
	low, high    float64 // range of a number, if bounded
	bounded      bool
	unit         string
	oneOf        []string // allowed texts, nil for any
	maxLength    int      // of a text, bytes
	check        func(string) error
}

// Rule sets the default, the bounds or the unit of an option in its declaration.
type Rule func(*optionRules)

// Default sets the value of an option that the file does not have.
func Default(v any) Rule { return func(r *optionRules) { r.defaultValue = v } }

// Required makes it an error if the file does not have the option.
func Required() Rule { return func(r *optionRules) { r.required = true } }

// Between sets the range of a number, both ends included.
func Between(low, high float64) Rule {
	return func(r *optionRules) { r.low, r.high, r.bounded = low, high, true }
}

// Unit sets the unit of a number, for messages and the documentation.
func Unit(u string) Rule { return func(r *optionRules) { r.unit = u } }

// OneOf sets the texts that an option may have.
func OneOf(texts ...string) Rule { return func(r *optionRules) { r.oneOf = texts } }

// MaxLength sets the maximum length of a text in bytes, which is 128 by default.
func MaxLength(limit int) Rule { return func(r *optionRules) { r.maxLength = limit } }

// Check sets a function that validates a text.
func Check(check func(string) error) Rule { return func(r *optionRules) { r.check = check } }
