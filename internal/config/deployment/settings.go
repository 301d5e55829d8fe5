// Package deployment decodes the settings of a deployment, which the admission controller and the connections use. The simulator
// sends them as lines of text, and the platform's configuration has them as nested JSON; both decode to the same values.
package deployment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"copperrock.example/copperrock/admission"
)

// Settings are the settings of a deployment. Times are in seconds.
type Settings struct {
	Admission admission.Settings

	// The names, by the indexes that the admission controller uses.
	Classes, Zones, MachineTypes, Tenants []string

	ClassTimeouts        []float64 // timeout of the requests of each class
	AttemptsPerConn      int       // maximum number of attempts in flight on one connection to an engine
	MaxAttemptsPerEngine int       // maximum number of attempts of all gateways in flight at one engine; not enforced
	LoadPolling          bool      // whether engines answer keep-alives and load polls
	LoadReportFields     []string  // fields of a load report, in their order
	IdleConnsPerEngine   int       // maximum number of idle connections of all gateways to one engine, 0 for no limit
	EngineIdleTimeout    float64   // idle time after which engines close a connection
	DialTimeout          float64   // time for a connection to an engine to be established
	DrainGrace           float64   // time in which a draining engine may still be sent attempts
}

var errEmpty = errors.New("settings: empty")

// ParseLines decodes the simulator's text. Unknown keys are ignored, and missing ones are zero.
func ParseLines(text string) Settings {
	settings := flatSettings{}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			settings[path] = value
		}
	}
	return settings.decode()
}

// ParseJSON decodes the object in the platform's configuration. An error names the first invalid setting.
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
	if errs := settings.validate(); errs != nil {
		return Settings{}, errs[0]
	}
	return settings.decode(), nil
}
