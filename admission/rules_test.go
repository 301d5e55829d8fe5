package admission

import (
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// TestRuleOrder compares the rules and their order of precedence with a golden file.
func TestRuleOrder(t *testing.T) {
	var lines []string
	for i, r := range rules {
		lines = append(lines, fmt.Sprintf("%2d %s", i+1, r.name))
	}
	testutil.CheckTrace(t, lines)
}
