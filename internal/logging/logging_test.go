package logging

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A flood of one message hides neither another part's, nor another message, nor errors, nor the program's own; what
// was dropped is told with the next line, or at the end.
func TestFlood(t *testing.T) {
	var out bytes.Buffer
	at := time.Unix(1000, 0)
	logs := New(&out, Options{Level: "info", Form: "json", Burst: 2, Keeper: "n3"}, func() time.Time { return at })
	engine, gateway, program := logs.Part("engine"), logs.Part("gateway"), logs.Part(Program)
	for range 50 {
		engine.Info().Msg("engine connection lost")
	}
	engine.Info().Msg("engine connection is silent")
	engine.Error().Msg("engine connection lost")
	gateway.Warn().Msg("engine connection lost")
	for range 4 {
		program.Info().Msg("left")
	}
	engine.Debug().Msg("not asked for")
	at = at.Add(1100 * time.Millisecond)
	engine.Info().Int("dispatches", 3).Msg("engine connection lost")
	for range 5 {
		gateway.Warn().Msg("stood still")
	}
	logs.ReportDropped()
	logs.ReportDropped()
	plain := regexp.MustCompile(`"time":"[^"]*",`).ReplaceAllString(strings.TrimSpace(out.String()), "")
	testutil.CheckTrace(t, strings.Split(plain, "\n"))
}
