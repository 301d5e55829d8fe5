// Package deployment decodes what a deployment tells its gateways, for the admission controller and for the connections. The
// simulator tells it as lines of text, the platform's configuration as nested JSON; both give the same values.
package deployment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"copperrock.example/copperrock/admission"
)

// Settings is what is read of a deployment. Times are seconds.
type Settings struct {
	Admission admission.Settings

	// Names, by the numbers that the admission controller knows them by.
	Classes, Zones, MachineTypes, Tenants []string

	ClassTimeouts        []float64 // of a request, by class
	AttemptsPerConn      int       // on one connection to an engine
	MaxAttemptsPerEngine int       // that all gateways may have in flight there
	LoadPolling          bool      // engines answer keep-alives and load polls
	LoadReportFields     []string  // of a load report, in their order
	IdleConnsPerEngine   int       // that all gateways together may have, 0 for no bound
	EngineIdleTimeout    float64   // after which engines close a connection
	DialTimeout          float64   // of a connection to an engine
	DrainGrace           float64   // in which a draining engine may still be sent to
}

var errEmpty = errors.New("settings: empty")

// ParseLines decodes the simulator's text; unknown keys are passed over, missing ones are zero.
func ParseLines(text string) Settings {
	settings := flatSettings{}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			settings[path] = value
		}
	}
	return settings.decode()
}

// ParseJSON decodes the configuration's object. The error is the first setting that can't be used.
func ParseJSON(text []byte) (Settings, error) {
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if len(tree) == 0 {
		return Settings{}, errEmpty
	}
	settings := flatSettings{}
	settings.flatten("", tree)
	if faults := settings.validate(); faults != nil {
		return Settings{}, faults[0]
	}
	return settings.decode(), nil
}
