package simprotocol

import (
	"encoding/binary"
	"math"
)

// frame gathers the action records of one reply and their tail.
type frame struct {
	records, tail []byte
	source        uint32
	sourced       bool
}

// actions writes one instance's actions into the reply under way.
type actions struct {
	link *Link
	who  uint32
}

func (a *actions) record(code uint8) []byte {
	f := &a.link.reply
	if !f.sourced || f.source != a.who {
		f.source, f.sourced = a.who, true
		binary.BigEndian.PutUint32(f.blank(13)[1:], a.who)
	}
	return f.blank(code)
}

func (f *frame) blank(code uint8) []byte {
	f.records = append(f.records, make([]byte, actionSize)...)
	rec := f.records[len(f.records)-actionSize:]
	rec[0] = code
	return rec
}

func putF64(to []byte, v float64) { binary.BigEndian.PutUint64(to, math.Float64bits(v)) }

func (a *actions) StartAttempt(request, engine uint32) { a.startAttempt(request, engine, 0) }

// startAttempt names a timeout in seconds for the attempt, 0 for none.
func (a *actions) startAttempt(job, engine uint32, timeout float64) {
	rec := a.record(0)
	binary.BigEndian.PutUint32(rec[1:], job)
	putF64(rec[5:], timeout)
	binary.BigEndian.PutUint32(rec[13:], engine)
}

func (a *actions) SetAttemptTerms(job uint32, priority uint8, grant float64) {
	rec := a.record(12)
	binary.BigEndian.PutUint32(rec[1:], job)
	rec[5] = priority
	binary.BigEndian.PutUint32(rec[6:], math.Float32bits(float32(grant)))
}

func (a *actions) Reject(job uint32, comeBack float64) {
	rec := a.record(1)
	binary.BigEndian.PutUint32(rec[1:], job)
	putF64(rec[5:], comeBack)
}

func (a *actions) Fail(job uint32) {
	binary.BigEndian.PutUint32(a.record(2)[1:], job)
}

func (a *actions) CancelAttempt(job uint32, dispatch int) {
	rec := a.record(3)
	binary.BigEndian.PutUint32(rec[1:], job)
	binary.BigEndian.PutUint16(rec[5:], uint16(dispatch))
}

func (a *actions) PollLoad(engine uint32) {
	binary.BigEndian.PutUint32(a.record(5)[1:], engine)
}

func (a *actions) WatchEndpoints() { a.record(10)[1] = 1 }

func (a *actions) fetchEndpoints() { a.record(11) }

func (a *actions) closeIdle(engine uint32) {
	binary.BigEndian.PutUint32(a.record(6)[1:], engine)
}

func (a *actions) gossip(gateway uint16, text []byte) {
	rec := a.record(7)
	binary.BigEndian.PutUint16(rec[1:], gateway)
	a.tail(rec[3:], text)
}

func (a *actions) log(text string) { a.tail(a.record(8)[1:], []byte(text)) }

func (a *actions) WakeAfter(after float64) { putF64(a.record(4)[1:], after) }

func (a *actions) die(text string) { a.tail(a.record(9)[1:], []byte(text)) }

// tail puts bytes into the reply's tail and where they are into the record.
func (a *actions) tail(ref, text []byte) {
	f := &a.link.reply
	binary.BigEndian.PutUint32(ref, uint32(len(f.tail)))
	binary.BigEndian.PutUint32(ref[4:], uint32(len(text)))
	f.tail = append(f.tail, text...)
}
