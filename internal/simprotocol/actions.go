package simprotocol

import (
	"encoding/binary"
	"math"

	"copperrock.example/copperrock/admission"
)

// Codes of action records.
const (
	actionStartAttempt    = 0
	actionReject          = 1
	actionFail            = 2
	actionCancelAttempt   = 3
	actionWakeAfter       = 4
	actionPollLoad        = 5
	actionCloseIdle       = 6
	actionGossip          = 7
	actionLog             = 8
	actionCrash           = 9
	actionWatchEndpoints  = 10
	actionFetchEndpoints  = 11
	actionSetAttemptTerms = 12
	actionSource          = 13 // names the instance that the following records come from
)

// frame collects the action records of one reply and the tail that they refer to.
type frame struct {
	records, tail []byte
	source        uint32 // the instance of the latest record, if hasSource
	hasSource     bool
}

// add appends an empty record and returns it.
func (f *frame) add(code uint8) []byte {
	f.records = append(f.records, make([]byte, actionSize)...)
	rec := f.records[len(f.records)-actionSize:]
	rec[0] = code
	return rec
}

// putTail appends text to the tail, and writes its offset and length to the given field of a record.
func (f *frame) putTail(field, text []byte) {
	binary.BigEndian.PutUint32(field, uint32(len(f.tail)))
	binary.BigEndian.PutUint32(field[4:], uint32(len(text)))
	f.tail = append(f.tail, text...)
}

// actions writes one instance's actions to the current reply.
type actions struct {
	session  *session
	instance uint32
}

var _ admission.Actions = (*actions)(nil)

// record appends an empty record of this instance and returns it.
func (a *actions) record(code uint8) []byte {
	f := &a.session.reply
	if !f.hasSource || f.source != a.instance {
		f.source, f.hasSource = a.instance, true
		binary.BigEndian.PutUint32(f.add(actionSource)[1:], a.instance)
	}
	return f.add(code)
}

// textRecord appends a record that refers to text in the tail.
func (a *actions) textRecord(code uint8, text string) {
	a.session.reply.putTail(a.record(code)[1:], []byte(text))
}

// StartAttempt starts an attempt without a timeout, since the decision module ends attempts itself.
func (a *actions) StartAttempt(request, engine uint32) { a.startAttempt(request, engine, 0) }

// startAttempt starts an attempt with a timeout in seconds, 0 for none.
func (a *actions) startAttempt(request, engine uint32, timeout float64) {
	rec := a.record(actionStartAttempt)
	binary.BigEndian.PutUint32(rec[1:], request)
	putFloat64(rec[5:], timeout)
	binary.BigEndian.PutUint32(rec[13:], engine)
}

func (a *actions) SetAttemptTerms(request uint32, priority uint8, grant float64) {
	rec := a.record(actionSetAttemptTerms)
	binary.BigEndian.PutUint32(rec[1:], request)
	rec[5] = priority
	binary.BigEndian.PutUint32(rec[6:], math.Float32bits(float32(grant)))
}

func (a *actions) Reject(request uint32, retryAfter float64) {
	rec := a.record(actionReject)
	binary.BigEndian.PutUint32(rec[1:], request)
	putFloat64(rec[5:], retryAfter)
}

func (a *actions) Fail(request uint32) {
	binary.BigEndian.PutUint32(a.record(actionFail)[1:], request)
}

func (a *actions) CancelAttempt(request uint32, attempt int) {
	rec := a.record(actionCancelAttempt)
	binary.BigEndian.PutUint32(rec[1:], request)
	binary.BigEndian.PutUint16(rec[5:], uint16(attempt))
}

func (a *actions) PollLoad(engine uint32) {
	binary.BigEndian.PutUint32(a.record(actionPollLoad)[1:], engine)
}

func (a *actions) WatchEndpoints() { a.record(actionWatchEndpoints)[1] = 1 }

func (a *actions) WakeAfter(seconds float64) { putFloat64(a.record(actionWakeAfter)[1:], seconds) }

// crash reports a panic in the decision module.
func (a *actions) crash(text string) { a.textRecord(actionCrash, text) }

// The following actions belong to the protocol, but the decision module never takes them. They complete the table of codes.

func (a *actions) fetchEndpoints() { a.record(actionFetchEndpoints) }

func (a *actions) closeIdle(engine uint32) {
	binary.BigEndian.PutUint32(a.record(actionCloseIdle)[1:], engine)
}

func (a *actions) gossip(gateway uint16, text []byte) {
	rec := a.record(actionGossip)
	binary.BigEndian.PutUint16(rec[1:], gateway)
	a.session.reply.putTail(rec[3:], text)
}

func (a *actions) log(text string) { a.textRecord(actionLog, text) }

func putFloat64(field []byte, value float64) {
	binary.BigEndian.PutUint64(field, math.Float64bits(value))
}
