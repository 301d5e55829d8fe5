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

// statuses are the simulator's numbers for how an attempt or a poll ended.
var statuses = map[uint16]admission.Status{
	200: admission.Succeeded,
	410: admission.NotStarted,
	499: admission.Cancelled,
	500: admission.Failed,
	502: admission.ConnectFailed,
	503: admission.Overloaded,
	504: admission.TimedOut,
	598: admission.ConnectionReset,
}

// takeEvent gives the instance one event. A panic in the decision module ends the instance, which the reply tells.
func (s *session) takeEvent(in *instance, code uint8, rec record) error {
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
		return s.endPoll(in, rec)
	case codeAttemptEnded:
		return s.endAttempt(in, rec)
	case codeGossip:
		return checkGossip(rec)
	case codeProgress:
		c.AttemptProgressed(s.now, rec.u32(1), int(rec.u16(10)), admission.ProgressTopic(rec.u8(9)), rec.f32(12))
	case codeRequestArrived:
		c.RequestArrived(s.now, request(rec))
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

// updateEndpoints takes a message on the endpoint list, whose modes are numbered as the decision module's.
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

// endPoll takes the end of a poll and the load report that may come with it.
func (s *session) endPoll(in *instance, rec record) error {
	if _, err := status(rec); err != nil {
		return err
	}
	if err := in.takeReport(s.now, rec.u32(1), rec, 15); err != nil {
		return err
	}
	in.controller.PollEnded(s.now)
	return nil
}

// endAttempt takes the result of an attempt and the load report that may come with it.
func (s *session) endAttempt(in *instance, rec record) error {
	ended, err := status(rec)
	if err != nil {
		return err
	}
	if err := in.takeReport(s.now, rec.u32(22), rec, 26); err != nil {
		return err
	}
	work, memory := usage(rec.u32(18))
	in.controller.AttemptEnded(s.now, rec.u32(1), int(rec.u16(16)), admission.AttemptResult{
		Status:   ended,
		Duration: rec.f64(7),
		Final:    rec.u8(15) != 0,
		Work:     work,
		Memory:   memory,
	})
	return nil
}

// status reads how an attempt or a poll ended.
func status(rec record) (admission.Status, error) {
	number := rec.u16(5)
	s, known := statuses[number]
	if !known {
		return 0, fmt.Errorf("unknown outcome %d", number)
	}
	return s, nil
}

// usage unpacks the work, in milliseconds, and the memory, in steps of 4 MB, that a request needed.
func usage(packed uint32) (work, memory float64) {
	const memoryBits, memoryStep = 12, 4
	return float64(packed>>memoryBits) / 1000, float64(packed&(1<<memoryBits-1)) * memoryStep
}

// request reads a request that arrives.
func request(rec record) admission.Request {
	const hasWork = 1 // flag of a request with an estimate of its work
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

// checkGossip checks a message of another gateway and drops it: no decision depends on peers.
func checkGossip(rec record) error {
	_, err := rec.ref(3, 1)
	return err
}

// maxReportFields is how many figures the record of a load report holds.
const maxReportFields = 4

// takeReport gives the instance the load report at the given place of a record, if there is one.
func (in *instance) takeReport(now float64, engine uint32, rec record, at int) error {
	n := int(rec.u8(at))
	if n == 0 {
		return nil
	}
	if n > maxReportFields {
		return fmt.Errorf("load report of %d values", n)
	}
	load := deployment.NoLoad
	for i := range min(n, len(in.reportFields)) {
		load.Set(in.reportFields[i], rec.f32(at+1+4*i))
	}
	in.controller.LoadReported(now, engine, load.Report())
	return nil
}
