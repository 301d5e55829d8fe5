package discovery

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Format encodes the list in the file format. Parse returns an equal list for it.
func (l List) Format() []byte {
	b := fmt.Appendf(nil, "{\n  \"format\": 1,\n  \"generation\": %d,\n", l.Generation)
	if l.Confirmed {
		b = append(b, "  \"confirmed\": true,\n"...)
	}
	b = append(b, "  \"engines\": ["...)
	for i, e := range l.Endpoints {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendEndpoint(b, e)
	}
	return fmt.Appendf(b, "\n  ],\n  \"end\": %d\n}\n", l.Generation)
}

// appendEndpoint appends one entry to b, leaving out the options that have their default value.
func appendEndpoint(b []byte, e Endpoint) []byte {
	b = append(b, "\n    {"...)
	b = fmt.Appendf(b, `"name": %s, "address": %s`, quote(e.Name), quote(e.Address))
	if e.Zone != "" {
		b = fmt.Appendf(b, `, "zone": %s`, quote(e.Zone))
	}
	if e.Kind != "" {
		b = fmt.Appendf(b, `, "kind": %s`, quote(e.Kind))
	}
	if e.Cell != 0 {
		b = fmt.Appendf(b, `, "cell": %d`, e.Cell)
	}
	if e.Weight != 1 {
		b = append(b, `, "weight": `...)
		b = strconv.AppendFloat(b, e.Weight, 'g', -1, 64)
	}
	if e.State != InService {
		b = fmt.Appendf(b, `, "state": %s`, quote(string(e.State)))
	}
	if e.StartedAt != 0 {
		b = fmt.Appendf(b, `, "born_ms": %d`, int64(math.Round(e.StartedAt*1000)))
	}
	return append(b, '}')
}

// quote returns a validated text as a JSON string. Control characters need no escaping, since validation rejects them.
func quote(s string) string {
	return `"` + jsonEscapes.Replace(s) + `"`
}

var jsonEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`)
