package schema

// optionRules is what a declaration says of an option beyond its name.
type optionRules struct {
	fallback  any
	required  bool
	low, high float64
	bounded   bool
	unit      string
	oneOf     []string
	maxLength int
	check     func(string) error
}

// Rule says something of an option.
type Rule func(*optionRules)

// Default is the value of an option that does not stand there.
func Default(v any) Rule { return func(s *optionRules) { s.fallback = v } }

// Required options must stand there.
func Required() Rule { return func(s *optionRules) { s.required = true } }

// Between bounds a number, both ends included.
func Between(low, high float64) Rule {
	return func(s *optionRules) { s.low, s.high, s.bounded = low, high, true }
}

// Unit words the unit of a number.
func Unit(u string) Rule { return func(s *optionRules) { s.unit = u } }

// OneOf lists the texts that an option may hold.
func OneOf(texts ...string) Rule { return func(s *optionRules) { s.oneOf = texts } }

// MaxLength bounds a text, in bytes; 128 without it.
func MaxLength(most int) Rule { return func(s *optionRules) { s.maxLength = most } }

// Check refuses texts for a reason of its own.
func Check(check func(string) error) Rule { return func(s *optionRules) { s.check = check } }
