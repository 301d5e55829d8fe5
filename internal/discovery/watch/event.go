package watch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"copperrock.example/copperrock/internal/discovery"
)

// maxHeartbeat is the maximum size in bytes of a heartbeat that is a JSON object.
const maxHeartbeat = 64

// event is one event of the channel. This file alone uses the protocol's field names: cursor is the event's number, nodes the
// endpoint list, whole is true for a snapshot and false for a delta, and hosts are the endpoints. In a host, dial is the
// address, site the zone, class the machine type, block the cell, health the state and born_ms the time of its start.
type event struct {
	Cursor int64      `json:"Cursor"`
	Nodes  *eventList `json:"Nodes"` // nil if the event is about something else
}

type eventList struct {
	Whole bool            `json:"Whole"`
	Hosts []eventEndpoint `json:"Hosts"`
}

type eventEndpoint struct {
	Host   string  `json:"Host"`
	Dial   string  `json:"Dial"`
	Site   string  `json:"Site"`
	Class  string  `json:"Class"`
	Block  int     `json:"Block"`
	Health string  `json:"Health"`
	Born   float64 `json:"born_ms"`
}

func decodeEvent(line []byte) (event, error) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		return event{}, fmt.Errorf("decode event: %w", err)
	}
	return e, nil
}

func (e *event) isSnapshot() bool { return e.Nodes != nil && e.Nodes.Whole }

// update converts the event's list to an update of package discovery.
func (e *event) update() (discovery.UpdateMode, []discovery.Endpoint) {
	mode := discovery.Delta
	if e.Nodes.Whole {
		mode = discovery.Snapshot
	}
	endpoints := make([]discovery.Endpoint, len(e.Nodes.Hosts))
	for i, h := range e.Nodes.Hosts {
		endpoints[i] = discovery.Endpoint{
			Name:      h.Host,
			Address:   h.Dial,
			Zone:      h.Site,
			Kind:      h.Class,
			Cell:      h.Block,
			Weight:    1,
			State:     discovery.State(h.Health),
			StartedAt: h.Born / 1000,
		}
	}
	return mode, endpoints
}

// parseHeartbeat parses a heartbeat: a line with the number of the latest event, either alone or as the only member of a JSON
// object.
func parseHeartbeat(line []byte) (number int64, ok bool) {
	if number, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		return number, true
	}
	var object map[string]json.RawMessage
	if len(line) > maxHeartbeat || json.Unmarshal(line, &object) != nil || len(object) != 1 {
		return 0, false
	}
	number, err := strconv.ParseInt(string(object["cursor"]), 10, 64)
	return number, err == nil
}

// scanCompleteLines splits a stream into lines. A last line that the end of the connection cuts off is dropped, even if it could
// be decoded.
func scanCompleteLines(data []byte, _ bool) (advance int, line []byte, err error) {
	if n := bytes.IndexByte(data, '\n'); n >= 0 {
		return n + 1, data[:n], nil
	}
	return 0, nil, nil
}
