package simprotocol

import (
	"fmt"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
)

// Codes of event records.
const (
	codeEndpoints        = 0
	codePollEnded        = 1
	codeAttemptEnded     = 2
	codeGossip           = 3
	codeProgress         = 4
	codeDestroy          = 5
	codeRequestArrived   = 6
	codeTable            = 7
	codeStreamStarted    = 8
	codeOpen             = 9
	codeRequestCancelled = 10
	codeSelect           = 11
	codeWakeUp           = 12
)

// statusByCode maps the simulator's status codes of attempts and polls.
var statusByCode = map[uint16]admission.Status{
	200: admission.Succeeded,
	410: admission.NotStarted,
	499: admission.Cancelled,
	500: admission.Failed,
	502: admission.ConnectFailed,
	503: admission.Overloaded,
	504: admission.TimedOut,
	598: admission.ConnectionReset,
}

// handleEvent passes one event to its instance. A panic in the decision module is reported by an action, as a crash of the
// instance.
func (s *session) handleEvent(in *instance, code uint8, rec record) error {
	defer func() {
		if p := recover(); p != nil {
			in.actions.crash(fmt.Sprint("panic: ", p))
		}
	}()
	c := in.controller
	switch code {
	case codeEndpoints:
		return s.updateEndpoints(in, rec)
	case codePollEnded:
		return s.pollEnded(in, rec)
	case codeAttemptEnded:
		return s.attemptEnded(in, rec)
	case codeGossip:
		return checkGossip(rec)
	case codeProgress:
		c.AttemptProgressed(s.now, rec.u32(1), int(rec.u16(10)), admission.ProgressTopic(rec.u8(9)), rec.f32(12))
	case codeRequestArrived:
		c.RequestArrived(s.now, decodeRequest(rec))
	case codeStreamStarted:
		c.StreamStarted(s.now, rec.u32(1))
	case codeRequestCancelled:
		c.RequestCancelled(s.now, rec.u32(1))
	case codeWakeUp:
		c.WakeUp(s.now)
	default:
		return fmt.Errorf("unknown record code %d", code)
	}
	return nil
}

// updateEndpoints handles an update of the endpoint list. The protocol numbers the modes like admission.ListMode.
func (s *session) updateEndpoints(in *instance, rec record) error {
	mode, table := admission.ListMode(rec.u8(1)), rec.u16(10)
	if mode > admission.ListUnavailable {
		return fmt.Errorf("unknown list mode %d", mode)
	}
	list, known := s.tables[table]
	if mode == admission.ListUnavailable {
		list = nil
	} else if !known {
		return fmt.Errorf("unknown table %d", table)
	}
	in.controller.UpdateEndpoints(s.now, mode, list)
	return nil
}

// pollEnded handles the end of a poll and the load report that may come with it.
func (s *session) pollEnded(in *instance, rec record) error {
	if _, err := decodeStatus(rec); err != nil {
		return err
	}
	if err := in.loadReported(s.now, rec.u32(1), rec, 15); err != nil {
		return err
	}
	in.controller.PollEnded(s.now)
	return nil
}

// attemptEnded handles the result of an attempt and the load report that may come with it.
func (s *session) attemptEnded(in *instance, rec record) error {
	status, err := decodeStatus(rec)
	if err != nil {
		return err
	}
	if err := in.loadReported(s.now, rec.u32(22), rec, 26); err != nil {
		return err
	}
	work, memory := decodeUsage(rec.u32(18))
	in.controller.AttemptEnded(s.now, rec.u32(1), int(rec.u16(16)), admission.AttemptResult{
		Status:   status,
		Duration: rec.f64(7),
		Final:    rec.u8(15) != 0,
		Work:     work,
		Memory:   memory,
	})
	return nil
}

// decodeStatus returns the status of an attempt or a poll.
func decodeStatus(rec record) (admission.Status, error) {
	code := rec.u16(5)
	status, known := statusByCode[code]
	if !known {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return status, nil
}

// decodeUsage unpacks the work in seconds and the memory in MB that a request needed. They are packed as milliseconds and
// multiples of 4 MB.
func decodeUsage(packed uint32) (work, memory float64) {
	const memoryBits, memoryStep = 12, 4
	return float64(packed>>memoryBits) / 1000, float64(packed&(1<<memoryBits-1)) * memoryStep
}

// decodeRequest returns a request that arrives.
func decodeRequest(rec record) admission.Request {
	const hasWork = 1 // flag: the request has an estimate of its work
	r := admission.Request{
		ID:       rec.u32(1),
		Class:    int(rec.u8(5)),
		Tenant:   int(rec.u32(6)),
		OrderKey: rec.u64(10),
		Deadline: rec.f64(18),
		Memory:   rec.f32(34),
		Tables:   uint32(rec.f32(38)),
	}
	if rec.u8(42)&hasWork != 0 {
		r.Work = rec.f64(26)
	}
	return r
}

// checkGossip validates a message from another gateway and discards it, since no decision depends on other gateways.
func checkGossip(rec record) error {
	_, err := rec.ref(3, 1)
	return err
}

// maxReportFields is the number of values for which the record of a load report has space.
const maxReportFields = 4

// loadReported passes the load report at the given offset of a record to the instance, if there is one.
func (in *instance) loadReported(now float64, engine uint32, rec record, offset int) error {
	n := int(rec.u8(offset))
	if n == 0 {
		return nil
	}
	if n > maxReportFields {
		return fmt.Errorf("load report with %d values, at most %d", n, maxReportFields)
	}
	load := deployment.NoLoad
	for i := range min(n, len(in.reportFields)) {
		load.Set(in.reportFields[i], rec.f32(offset+1+4*i))
	}
	in.controller.LoadReported(now, engine, load.Report())
	return nil
}
