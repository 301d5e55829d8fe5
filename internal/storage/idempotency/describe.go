package idempotency

import (
	"fmt"
	"strings"
)

// Words shown to operators, by value.
var (
	idempotencyWords = [...]string{Idempotent: "restartable", IdempotentWithKey: "keyed", NonIdempotent: "run-once"}
	outcomeWords     = [...]string{Pending: "open", Succeeded: "done", Failed: "cancelled for good", Unknown: "may have run"}
)

// Describe returns a line with tab-separated columns about the record of a key.
func (x *Index) Describe(key string) string {
	record := x.byKey[key]
	if record == nil {
		return key + "\tnot known"
	}
	attempts := make([]string, 0, len(record.Attempts))
	for _, attempt := range record.Attempts {
		attempts = append(attempts, attempt.describe())
	}
	outcome := outcomeWords[record.Outcome]
	if record.Outcome == Succeeded && len(record.Rows) > 0 {
		outcome += fmt.Sprintf(", %d bytes of rows", len(record.Rows))
	}
	return strings.Join([]string{key, idempotencyWords[record.Idempotency], strings.Join(attempts, ", "), outcome}, "\t")
}

func (a *Attempt) describe() string {
	switch {
	case !a.Ended:
		return a.Engine + " (may have run)"
	case a.MayHaveRun:
		return a.Engine + " (ran)"
	default:
		return a.Engine + " (did not run)"
	}
}
