package msgpackrpc

import (
	"errors"
	"strconv"
	"strings"
	"unicode/utf8"

	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/gateway"
	"copperrock.example/copperrock/internal/limits"
)

// A request's params are a map of fields and the statement. This file is the only place that maps the names of fields in the
// protocol to those of package gateway:
//
//	field     gateway.Request        value
//	ref       ID                     16 hexadecimal digits
//	allow     Timeout                milliseconds
//	effort    EstimatedWork          milliseconds of CPU time
//	need_mb   EstimatedMemory        megabytes
//	replay    EngineIdempotencyKey   optional
//	(named in FieldNames)            optional
//
// All values are text. Unknown fields are skipped.
const (
	fieldID                   = "ref"
	fieldTimeout              = "allow"
	fieldWork                 = "effort"
	fieldMemory               = "need_mb"
	fieldEngineIdempotencyKey = "replay"
)

// numberFields is the number of numeric fields in a request. Each must be present exactly once.
const numberFields = 3

// minParams is the minimum number of params in a request. Further ones are skipped.
const minParams = 2

// FieldNames are the names of fields that differ between deployments. A field whose name is "" is not read.
type FieldNames struct {
	Team           string // Request.Team
	Tenant         string // Request.Tenant
	OrderKey       string // Request.OrderKey
	WaitEstimate   string // Request.WantsWaitEstimate: true if the field is present
	IdempotencyKey string // Request.IdempotencyKey
	FirstTry       string // Request.FirstTry: false for "", "0" and "false"
}

// params is the decoded content of a request.
type params struct {
	request      gateway.Request // the statement is nil if none was read
	malformed    bool            // a part of the message has an unexpected type
	invalidPart  string          // name of an invalid part, in parentheses; "" if none
	outOfBuffers bool            // no buffer was left for the statement
}

// decodeParams reads a request's params. After an error the rest of the stream cannot be parsed.
func (c *conn) decodeParams(d *decoder) (*params, error) {
	p := &params{}
	count, ok, err := d.expect(kindArray)
	if err != nil {
		return nil, err
	}
	if !ok {
		p.malformed = true
		return p, nil
	}
	if err := c.decodeParamList(d, count, p); err != nil {
		p.request.Statement.Free()
		return nil, err
	}
	return p, nil
}

// decodeParamList reads count params.
func (c *conn) decodeParamList(d *decoder, count int64, p *params) error {
	if count < minParams {
		p.invalidPart = "(arguments)"
		return d.skipValues(count)
	}
	if err := c.decodeFields(d, p); err != nil {
		return err
	}
	if err := c.decodeStatement(d, p); err != nil {
		return err
	}
	return d.skipValues(count - minParams)
}

// decodeFields reads the map of fields.
func (c *conn) decodeFields(d *decoder, p *params) error {
	count, ok, err := d.expect(kindMap)
	if err != nil {
		return err
	}
	if !ok {
		p.invalidPart, count = "(fields)", 0
	}
	fields := fieldDecoder{params: p, names: &c.server.Fields, limits: &c.server.Limits}
	for range count {
		name, _, err := d.text(c.server.Limits.MaxName)
		if err != nil {
			return err
		}
		value, isText, err := d.text(c.server.Limits.MaxName)
		if err != nil {
			return err
		}
		fields.set(name, value, isText)
	}
	if p.invalidPart == "" && (p.request.ID == "" || p.request.Timeout == 0 || fields.numbers != numberFields) {
		p.invalidPart = "(a field is missing, or there twice)"
	}
	return nil
}

// fieldDecoder sets fields of a request.
type fieldDecoder struct {
	*params
	names   *FieldNames
	limits  *limits.Limits
	numbers int // numeric fields read
}

// set sets one field. isText is false, and value is "", if the value in the message is not text or is too long.
func (f *fieldDecoder) set(name, value string, isText bool) {
	const millisPerSecond = 1000
	r := &f.request
	switch name {
	case fieldID:
		r.ID = value
		f.check(name, isText && isRequestID(value))
	case fieldTimeout:
		r.Timeout = f.number(name, value, isText, f.limits.MaxTimeout*millisPerSecond) / millisPerSecond
	case fieldWork:
		r.EstimatedWork = f.number(name, value, isText, f.limits.MaxWork*millisPerSecond) / millisPerSecond
	case fieldMemory:
		r.EstimatedMemory = f.number(name, value, isText, f.limits.MaxMemoryEstimate)
	case fieldEngineIdempotencyKey:
		r.EngineIdempotencyKey = value
		f.check(name, isText && isFieldValue(value))
	case "": // must not match names that are not configured
	case f.names.Team:
		r.Team = value
	case f.names.Tenant:
		r.Tenant = value
	case f.names.OrderKey:
		r.OrderKey = value
		f.check(name, isText && isFieldValue(value))
	case f.names.WaitEstimate:
		r.WantsWaitEstimate = true
	case f.names.IdempotencyKey:
		r.IdempotencyKey = value
	case f.names.FirstTry:
		r.FirstTry = value != "" && value != "0" && value != "false"
	}
}

// check records the field as invalid unless ok is true.
func (f *fieldDecoder) check(name string, ok bool) {
	if !ok {
		f.invalidPart = "(" + name + ")"
	}
}

// number parses a numeric field with a value from 0 to limit. It returns 0 if the value is invalid.
func (f *fieldDecoder) number(name, value string, isText bool, limit float64) float64 {
	f.numbers++
	v, err := strconv.ParseFloat(value, 64)
	ok := isText && err == nil && v >= 0 && v <= limit
	f.check(name, ok)
	if !ok {
		return 0
	}
	return v
}

// decodeStatement reads the statement into buffers of the pool.
func (c *conn) decodeStatement(d *decoder, p *params) error {
	size, ok, err := d.expect(kindText)
	switch {
	case err != nil:
		return err
	case !ok:
		p.invalidPart = "(statement)"
		return nil
	case size > int64(d.remaining):
		return errTooLong
	}
	statement := c.server.Pool.NewChain()
	p.request.Statement = statement
	err = statement.Fill(d, int(size))
	if errors.Is(err, bufferpool.ErrExhausted) {
		rest := size - int64(statement.Size())
		p.outOfBuffers, p.request.Statement = true, nil
		statement.Free() // the rest may take long to arrive
		return d.skipBody(kindText, rest)
	}
	return err
}

// isFieldValue reports whether a value can be passed to engines unchanged as one field, without starting another field.
func isFieldValue(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == ',' || r == 0x7f || r == utf8.RuneError })
}

// isRequestID reports whether a text consists of 16 hexadecimal digits.
func isRequestID(s string) bool {
	const digits = 16
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil && len(s) == digits
}
