package fakeengine

import (
	"encoding/binary"
	"hash/fnv"
)

// Fault is something that an engine does to a job instead of running it well.
type Fault string

// The faults of an engine.
const (
	Hang       Fault = "hang"  // takes the job and never says anything of it
	Fail       Fault = "fail"  // says after a while that it failed
	Overloaded Fault = "full"  // turns it away
	Reset      Fault = "reset" // loses the connection with it half done
	Slow       Fault = "slow"  // takes five times as long
	Stall      Fault = "stall" // gives the first page and no other
	Duplicate  Fault = "twice" // answers twice
)

// drawFault decides whether a fault befalls the next job; the same seed gives the same faults to the same arrivals.
func (e *Engine) drawFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counter++
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, [2]uint64{e.Seed, e.counter}) // a hash takes all
	x := h.Sum64() * 0x9e3779b97f4a7c15
	chance := float64((x^x>>29)>>11) / (1 << 53)
	for _, f := range []Fault{Hang, Fail, Overloaded, Reset, Slow, Stall, Duplicate} {
		if chance < e.Faults[f] {
			return f
		}
		chance -= e.Faults[f]
	}
	return ""
}

// isFenced tells whether a fence is lower than one seen for its key.
func (e *Engine) isFenced(key string, fence uint64) bool {
	if !e.ChecksFencing || key == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fences == nil {
		e.fences = map[string]uint64{}
	}
	if fence < e.fences[key] {
		return true
	}
	e.fences[key] = fence
	return false
}
