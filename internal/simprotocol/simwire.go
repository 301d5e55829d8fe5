// Package simprotocol speaks the simulator's frames. It hosts the instances of the
// decision module that the frames name, and gives each its own events only.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
)

const (
	eventSize  = 48
	actionSize = 24
	entrySize  = 22
	headerRest = 8 // the clock, which the frame's length counts in
)

var statuses = map[uint16]admission.Status{
	200: admission.Succeeded, 500: admission.Failed, 503: admission.Overloaded, 504: admission.TimedOut,
	502: admission.ConnectFailed, 598: admission.ConnectionReset, 499: admission.Cancelled, 410: admission.NotStarted,
}

type instance struct {
	brain  *admission.Controller
	fields []string
	out    *actions
}

type entry struct {
	id               uint32
	zone, kind, cell int
	state            uint8
	up               float64
}

// Link is one process's end of the wire.
type Link struct {
	instances map[uint32]*instance
	tables    map[uint16][]entry
	reply     frame
	now       float64
}

// Serve answers batches until the input ends between two of them.
func Serve(in io.Reader, out io.Writer) error {
	l := &Link{instances: map[uint32]*instance{}, tables: map[uint16][]entry{}}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	for {
		var head [12]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("batch header cut short: %w", err)
		}
		batch := binary.BigEndian.Uint32(head[0:])
		count := binary.BigEndian.Uint32(head[4:])
		size := binary.BigEndian.Uint32(head[8:])
		if int64(size) < headerRest+int64(count)*eventSize {
			return fmt.Errorf("batch %d: length %d does not hold %d records", batch, size, count)
		}
		// The buffer grows with what arrives, so that a false length costs nothing.
		var body bytes.Buffer
		if n, err := io.CopyN(&body, r, int64(size)); err != nil {
			return fmt.Errorf("batch %d: cut short after %d of %d bytes: %w", batch, n, size, err)
		}
		if err := l.batch(body.Bytes(), int(count)); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		var top [12]byte
		binary.BigEndian.PutUint32(top[0:], batch)
		binary.BigEndian.PutUint32(top[4:], uint32(4+len(l.reply.records)+len(l.reply.tail)))
		binary.BigEndian.PutUint32(top[8:], uint32(len(l.reply.records)/actionSize))
		w.Write(top[:])
		w.Write(l.reply.records)
		w.Write(l.reply.tail)
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// batch plays the records of one batch in order.
func (l *Link) batch(body []byte, count int) error {
	l.reply = frame{records: l.reply.records[:0], tail: l.reply.tail[:0]}
	l.now = math.Float64frombits(binary.BigEndian.Uint64(body))
	if math.IsNaN(l.now) || math.IsInf(l.now, 0) {
		return errors.New("the clock is no number")
	}
	records, tail := body[headerRest:headerRest+count*eventSize], body[headerRest+count*eventSize:]
	var who uint32
	selected := false
	for i := range count {
		rec := record{records[i*eventSize : (i+1)*eventSize], tail}
		err := func() error {
			switch code := rec.u8(0); code {
			case codeSelect:
				who, selected = rec.u32(1), true
				return nil
			case codeTable:
				return l.table(rec)
			default:
				if !selected {
					return fmt.Errorf("code %d before any instance is selected", code)
				}
				return l.event(who, code, rec)
			}
		}()
		if err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	return nil
}

const (
	codeDiscovery = 0
	codeProbed    = 1
	codeReply     = 2
	codeWhisper   = 3
	codeUpdate    = 4
	codeDestroy   = 5
	codeArrival   = 6
	codeTable     = 7
	codeBegun     = 8
	codeOpen      = 9
	codeWithdrawn = 10
	codeSelect    = 11
	codeBell      = 12
)

func (l *Link) table(rec record) error {
	rows, err := rec.ref(3, entrySize)
	if err != nil {
		return err
	}
	list := make([]entry, 0, len(rows)/entrySize)
	for ; len(rows) > 0; rows = rows[entrySize:] {
		e := record{data: rows[:entrySize]}
		if e.u8(9) > 2 {
			return fmt.Errorf("entry with unknown state %d", e.u8(9))
		}
		list = append(list, entry{e.u32(0), int(e.u8(4)), int(e.u16(5)), int(e.u16(7)), e.u8(9), e.f64(14)})
	}
	l.tables[rec.u16(1)] = list
	return nil
}

func (l *Link) event(who uint32, code uint8, rec record) (err error) {
	in := l.instances[who]
	switch code {
	case codeOpen:
		text, err := rec.ref(9, 1)
		if err != nil {
			return err
		}
		set := deployment.ParseLines(string(text))
		out := &actions{link: l, who: who}
		l.instances[who] = &instance{admission.New(rec.u64(1), set.Admission, out), set.LoadReportFields, out}
		return nil
	case codeDestroy:
		if in == nil {
			return fmt.Errorf("end of unknown instance %d", who)
		}
		delete(l.instances, who)
		return nil
	}
	if in == nil {
		return fmt.Errorf("code %d for unknown instance %d", code, who)
	}
	defer func() {
		if p := recover(); p != nil {
			in.out.die(fmt.Sprint("panic: ", p))
		}
	}()
	b, now := in.brain, l.now
	switch code {
	case codeDiscovery:
		mode := rec.u8(1)
		if mode > 3 {
			return fmt.Errorf("unknown list mode %d", mode)
		}
		list, known := l.tables[rec.u16(10)]
		if mode == 3 {
			list = nil
		} else if !known {
			return fmt.Errorf("unknown table %d", rec.u16(10))
		}
		endpoints := make([]admission.Endpoint, 0, len(list))
		for _, e := range list {
			endpoints = append(endpoints, admission.Endpoint{
				ID:          e.id,
				Zone:        e.zone,
				MachineType: e.kind,
				Cell:        e.cell,
				Ready:       e.state == 1,
				Weight:      1,
				StartedAt:   e.up,
			})
		}
		b.UpdateEndpoints(now, admission.ListMode(mode), endpoints)
	case codeProbed:
		if _, ok := statuses[rec.u16(5)]; !ok {
			return fmt.Errorf("unknown outcome %d", rec.u16(5))
		}
		if err := in.report(now, rec.u32(1), rec, 15); err != nil {
			return err
		}
		b.PollEnded(now)
	case codeReply:
		status, ok := statuses[rec.u16(5)]
		if !ok {
			return fmt.Errorf("unknown outcome %d", rec.u16(5))
		}
		if err := in.report(now, rec.u32(22), rec, 26); err != nil {
			return err
		}
		bill := rec.u32(18)
		b.AttemptEnded(now, rec.u32(1), int(rec.u16(16)), admission.AttemptResult{
			Status:   status,
			Duration: rec.f64(7),
			Final:    rec.u8(15) != 0,
			Work:     float64(bill>>12) / 1000,
			Memory:   float64(bill&4095) * 4,
		})
	case codeWhisper:
		// Messages between gateways are checked and dropped: no decision depends on peers.
		if _, err := rec.ref(3, 1); err != nil {
			return err
		}
	case codeUpdate:
		b.AttemptProgressed(now, rec.u32(1), int(rec.u16(10)), admission.ProgressTopic(rec.u8(9)), rec.f32(12))
	case codeArrival:
		cost, memory := 0.0, rec.f32(34)
		if rec.u8(42)&1 != 0 {
			cost = rec.f64(26)
		}
		b.RequestArrived(now, admission.Request{
			ID:       rec.u32(1),
			Class:    int(rec.u8(5)),
			Tenant:   int(rec.u32(6)),
			OrderKey: rec.u64(10),
			Deadline: rec.f64(18),
			Work:     cost,
			Memory:   memory,
			Tables:   uint32(rec.f32(38)),
		})
	case codeBegun:
		b.StreamStarted(now, rec.u32(1))
	case codeWithdrawn:
		b.RequestCancelled(now, rec.u32(1))
	case codeBell:
		b.WakeUp(now)
	default:
		return fmt.Errorf("unknown record code %d", code)
	}
	return nil
}

// report hands on the load report at the given place, -1 for what it does not tell.
func (in *instance) report(now float64, engine uint32, rec record, at int) error {
	n := int(rec.u8(at))
	if n == 0 {
		return nil
	}
	if n > 4 {
		return fmt.Errorf("load report of %d values", n)
	}
	load := deployment.NoLoad
	for i := range min(n, len(in.fields)) {
		load.Set(in.fields[i], rec.f32(at+1+4*i))
	}
	in.brain.LoadReported(now, engine, load.Report())
	return nil
}

// record reads the fields of one record and what it refers to in the tail.
type record struct {
	data, tail []byte
}

func (r record) u8(at int) uint8    { return r.data[at] }
func (r record) u16(at int) uint16  { return binary.BigEndian.Uint16(r.data[at:]) }
func (r record) u32(at int) uint32  { return binary.BigEndian.Uint32(r.data[at:]) }
func (r record) u64(at int) uint64  { return binary.BigEndian.Uint64(r.data[at:]) }
func (r record) f32(at int) float64 { return float64(math.Float32frombits(r.u32(at))) }
func (r record) f64(at int) float64 { return math.Float64frombits(r.u64(at)) }

func (r record) ref(at int, unit int64) ([]byte, error) {
	from, size := int64(r.u32(at)), int64(r.u32(at+4))*unit
	if from+size > int64(len(r.tail)) {
		return nil, fmt.Errorf("tail reference %d+%d passes the tail's %d bytes", from, size, len(r.tail))
	}
	return r.tail[from : from+size], nil
}
