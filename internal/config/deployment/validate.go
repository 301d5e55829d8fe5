package deployment

import (
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"
)

// maxNumber is the largest value of a number in the settings.
const maxNumber = 1e12

// settingRule is a validation rule for the settings at some paths.
type settingRule struct {
	paths []string // may contain the wildcard *
	want  string   // what a valid value is, for the error
	valid func(s flatSettings, path string) bool
}

var settingRules = []settingRule{
	{
		paths: []string{
			"allowed.conn-idle", "allowed.connect-timeout", "allowed.max-open", "allowed.max-retry-after",
			"allowed.streams-per-conn", "allowed.try-limit", "classes.*.aim-stretch", "classes.*.give-up", "classes.*.objective",
			"classes.*.window", "classes.*.worth", "contract.budget-free", "contract.cold", "contract.cold-from",
			"contract.counted-over", "contract.fall", "contract.fall-multiple", "contract.resend-ratio",
			"contract.stop-sending-within", "contract.turn-gap", "family-info.largest-share", "group-size", "index",
			"over-share-worth", "tenants.*.quota-rps", "zone",
		},
		want:  "number, or out of range",
		valid: func(s flatSettings, path string) bool { return validNumber(s[path]) },
	},
	{
		paths: []string{"family-info.dop", "family-info.kind-cores", "family-info.ram-of-kind-mb"},
		want:  "number, or out of range",
		valid: func(s flatSettings, path string) bool {
			return !slices.ContainsFunc(s.list(path), func(item string) bool { return !validNumber(item) })
		},
	},
	{
		paths: []string{
			"allowed.cancel", "allowed.may-duplicate", "allowed.probing", "allowed.retry-after", "classes.*.fifo-by-key",
			"family-info.grants", "family-info.takes-priority",
		},
		want:  "true or false",
		valid: oneOf("true", "false"),
	},
	{paths: []string{"classes.*.repeat"}, want: "effect that is known", valid: oneOf("pure", "token", "side_effect")},
	{paths: []string{"classes.*.group"}, want: "group that is known", valid: oneOf("all", "zone", "cell")},
	{paths: []string{"classes.*.stays-in"}, want: "zone among the areas", valid: allowedFrom("areas")},
	{paths: []string{"classes.*.host-types-open"}, want: "kind among the host-types", valid: allowedFrom("host-types")},
}

func validNumber(text string) bool {
	v, err := strconv.ParseFloat(text, 64)
	return err == nil && v >= 0 && v <= maxNumber
}

func oneOf(values ...string) func(flatSettings, string) bool {
	return func(s flatSettings, path string) bool { return slices.Contains(values, s[path]) }
}

// allowedFrom accepts an empty list, and one with at least one item that is valid in the list at names.
func allowedFrom(names string) func(flatSettings, string) bool {
	return func(s flatSettings, path string) bool { return s[path] == "" || len(s.indexes(path, names)) > 0 }
}

func (r settingRule) covers(settingPath string) bool {
	return slices.ContainsFunc(r.paths, func(pattern string) bool {
		matched, _ := path.Match(pattern, settingPath) // fails only for malformed patterns
		return matched
	})
}

// validate returns an error for each invalid setting, in sorted order. If it were accepted, an invalid setting would affect every
// request without being noticed. Unknown settings are ignored, and missing ones are zero.
func (s flatSettings) validate() []error {
	var errs []error
	for settingPath, text := range s {
		for _, rule := range settingRules {
			if rule.covers(settingPath) && !rule.valid(s, settingPath) {
				errs = append(errs, fmt.Errorf("settings: %s: %q is no %s", settingPath, text, rule.want))
			}
		}
	}
	slices.SortFunc(errs, func(x, y error) int { return strings.Compare(x.Error(), y.Error()) })
	return errs
}
