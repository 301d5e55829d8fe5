package watch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"copperrock.example/copperrock/internal/discovery"
)

// maxHeartbeat bounds a heartbeat in the form of an object, in bytes.
const maxHeartbeat = 64

// event is one event of the channel under the protocol's field names, which appear in no other file: cursor is the event's
// number, nodes the endpoint list, whole tells a snapshot from a delta, hosts are the endpoints. Of a host, dial is its
// address, site the zone, class the kind of machine, block the cell, health the state, born_ms the time of its start.
type event struct {
	Cursor int64      `json:"Cursor"`
	Nodes  *eventList `json:"Nodes"` // nil where the event is about something else
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
		return event{}, fmt.Errorf("an event that can't be read: %w", err)
	}
	return e, nil
}

func (e *event) isSnapshot() bool { return e.Nodes != nil && e.Nodes.Whole }

// update is the event's list in the terms of package discovery.
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

// parseHeartbeat reads a line that holds nothing but the number of the latest event, as text or as an object.
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

// scanCompleteLines splits a stream into lines. What the end of the connection cuts off is no line, even where it could be
// decoded.
func scanCompleteLines(data []byte, _ bool) (advance int, line []byte, err error) {
	if n := bytes.IndexByte(data, '\n'); n >= 0 {
		return n + 1, data[:n], nil
	}
	return 0, nil, nil
}
