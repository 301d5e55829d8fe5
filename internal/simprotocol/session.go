package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
)

// session is the state of one connection to the simulator.
type session struct {
	instances map[uint32]*instance            // by the ID that the batches use
	tables    map[uint16][]admission.Endpoint // endpoint lists by the number that the batches use
	reply     frame                           // to the current batch
	now       float64                         // clock of the current batch
}

// instance is one instance of the decision module.
type instance struct {
	controller   *admission.Controller
	reportFields []string // names of the values in its load reports
	actions      *actions
}

func newSession() *session {
	return &session{instances: map[uint32]*instance{}, tables: map[uint16][]admission.Endpoint{}}
}

// handleBatch handles the records of one batch in order.
func (s *session) handleBatch(body []byte, count int) error {
	s.reply = frame{records: s.reply.records[:0], tail: s.reply.tail[:0]}
	s.now = math.Float64frombits(binary.BigEndian.Uint64(body))
	if math.IsNaN(s.now) || math.IsInf(s.now, 0) {
		return errors.New("the clock is no number")
	}
	end := clockSize + count*eventSize
	records, tail := body[clockSize:end], body[end:]
	var selected selection
	for i := range count {
		rec := record{data: records[i*eventSize : (i+1)*eventSize], tail: tail}
		if err := s.handleRecord(&selected, rec); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	return nil
}

// selection is the instance to which the next records of a batch apply.
type selection struct {
	id    uint32
	valid bool // false until a batch selects an instance
}

// handleRecord handles one record. It applies to the selected instance, except that selections and tables need none.
func (s *session) handleRecord(selected *selection, rec record) error {
	switch code := rec.u8(0); {
	case code == codeSelect:
		*selected = selection{id: rec.u32(1), valid: true}
		return nil
	case code == codeTable:
		return s.storeTable(rec)
	case !selected.valid:
		return fmt.Errorf("code %d before any instance is selected", code)
	case code == codeOpen:
		return s.open(selected.id, rec)
	case code == codeDestroy:
		return s.destroy(selected.id)
	default:
		in := s.instances[selected.id]
		if in == nil {
			return fmt.Errorf("code %d for unknown instance %d", code, selected.id)
		}
		return s.handleEvent(in, code, rec)
	}
}

// open creates an instance from a seed and settings.
func (s *session) open(id uint32, rec record) error {
	text, err := rec.ref(9, 1)
	if err != nil {
		return err
	}
	settings := deployment.ParseLines(string(text))
	out := &actions{session: s, instance: id}
	s.instances[id] = &instance{
		controller:   admission.New(rec.u64(1), settings.Admission, out),
		reportFields: settings.LoadReportFields,
		actions:      out,
	}
	return nil
}

// destroy removes an instance.
func (s *session) destroy(id uint32) error {
	if s.instances[id] == nil {
		return fmt.Errorf("destroy: unknown instance %d", id)
	}
	delete(s.instances, id)
	return nil
}

// States of an entry in a table.
const (
	stateReady = 1
	maxState   = 2
)

// storeTable stores an endpoint list that later events refer to by its number.
func (s *session) storeTable(rec record) error {
	rows, err := rec.ref(3, entrySize)
	if err != nil {
		return err
	}
	list := make([]admission.Endpoint, 0, len(rows)/entrySize)
	for ; len(rows) > 0; rows = rows[entrySize:] {
		row := record{data: rows[:entrySize]}
		state := row.u8(9)
		if state > maxState {
			return fmt.Errorf("entry with unknown state %d", state)
		}
		list = append(list, admission.Endpoint{
			ID:          row.u32(0),
			Zone:        int(row.u8(4)),
			MachineType: int(row.u16(5)),
			Cell:        int(row.u16(7)),
			Ready:       state == stateReady,
			Weight:      1,
			StartedAt:   row.f64(14),
		})
	}
	s.tables[rec.u16(1)] = list
	return nil
}
