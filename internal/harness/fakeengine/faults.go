package fakeengine

import (
	"encoding/binary"
	"hash/fnv"
)

// Fault is a way in which an engine mishandles an attempt.
type Fault string

// The faults of an engine.
const (
	Hang       Fault = "hang"  // accepts the attempt and never answers
	Fail       Fault = "fail"  // fails the attempt after half of its work
	Overloaded Fault = "full"  // rejects the attempt as overloaded
	Reset      Fault = "reset" // resets the connection after half of the work
	Slow       Fault = "slow"  // takes five times as long
	Stall      Fault = "stall" // sends only the first page of the result
	Duplicate  Fault = "twice" // answers twice
)

// drawFault draws the fault of the next attempt, "" for none. The n-th attempt gets the same fault in all runs with one seed.
func (e *Engine) drawFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultsDrawn++
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, [2]uint64{e.Seed, e.faultsDrawn}) // writing to a hash never fails
	x := h.Sum64() * 0x9e3779b97f4a7c15
	random := float64((x^x>>29)>>11) / (1 << 53)
	for _, f := range []Fault{Hang, Fail, Overloaded, Reset, Slow, Stall, Duplicate} {
		if random < e.Faults[f] {
			return f
		}
		random -= e.Faults[f]
	}
	return ""
}

// isFenced reports whether a fencing token is lower than one already seen for its key, and otherwise records the token.
func (e *Engine) isFenced(key string, token uint64) bool {
	if !e.ChecksFencing || key == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencingTokens == nil {
		e.fencingTokens = map[string]uint64{}
	}
	if token < e.fencingTokens[key] {
		return true
	}
	e.fencingTokens[key] = token
	return false
}
