package logging

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A flood of one message suppresses neither other messages, nor the same message of another part, nor errors, nor lines of the
// part Program. The number of dropped lines is reported with the next line that passes, or by ReportDropped.
func TestFlood(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	logs := New(&out, Options{Level: "info", Format: "json", Burst: 2, GatewayName: "n3"}, func() time.Time { return now })
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
	engine.Debug().Msg("below the level")
	now = now.Add(1100 * time.Millisecond)
	engine.Info().Int("dispatches", 3).Msg("engine connection lost")
	for range 5 {
		gateway.Warn().Msg("stood still")
	}
	logs.ReportDropped()
	logs.ReportDropped()
	withoutTime := regexp.MustCompile(`"time":"[^"]*",`).ReplaceAllString(strings.TrimSpace(out.String()), "")
	testutil.CheckTrace(t, strings.Split(withoutTime, "\n"))
}
