package msgpackrpc

import (
	"encoding/binary"
	"math"
	"strconv"

	"copperrock.example/copperrock/internal/fairshare"
)

// Kinds of errors, and the keys of their details.
const (
	errorRejected = "Rejected"
	keyRetryAfter = "cooldown" // milliseconds
	errorFailed   = "Failed"
	keyReason     = "why"
)

// Keys of a wait notification. The values are in milliseconds.
const (
	keyWaitStart      = "dispatch_ms"
	keyWaitCompletion = "done_ms"
	keyWaitStartLow   = "least_ms"
	keyWaitStartHigh  = "most_ms"
)

// pingResponse returns [1, id, nil, [ready, {}]].
func pingResponse(id uint32, ready bool) []byte {
	b := append(responseHead(id), codeNil)
	b = appendArray(b, 2)
	if ready {
		b = append(b, codeTrue)
	} else {
		b = append(b, codeFalse)
	}
	return appendMap(b, 0)
}

// succeededHead returns the part of [1, id, nil, [rows, {}]] that precedes size bytes of rows.
func succeededHead(id uint32, size int) []byte {
	b := append(responseHead(id), codeNil)
	b = append(appendArray(b, 2), codeBinary32)
	return binary.BigEndian.AppendUint32(b, uint32(size))
}

// succeededTail returns the part that follows the rows.
func succeededTail() []byte { return appendMap(nil, 0) }

// rejectedResponse returns [1, id, ["Rejected", {"cooldown": milliseconds}], nil]. retryAfter is in seconds; if it is 0, the
// map is empty.
func rejectedResponse(id uint32, retryAfter float64) []byte {
	b := appendArray(responseHead(id), 2)
	b = appendText(b, errorRejected)
	if retryAfter > 0 {
		b = appendText(appendMap(b, 1), keyRetryAfter)
		b = appendText(b, milliseconds(retryAfter))
	} else {
		b = appendMap(b, 0)
	}
	return append(b, codeNil)
}

// failedResponse returns [1, id, ["Failed", {"why": reason}], nil].
func failedResponse(id uint32, reason string) []byte {
	b := appendArray(responseHead(id), 2)
	b = appendText(b, errorFailed)
	b = appendText(appendMap(b, 1), keyReason)
	b = appendText(b, reason)
	return append(b, codeNil)
}

// waitNotification returns [2, "wait", [id, {"dispatch_ms": ..., ...}]].
func waitNotification(id uint32, estimate fairshare.Estimate) []byte {
	values := [...]struct {
		key     string
		seconds float64
	}{
		{keyWaitStart, estimate.Start},
		{keyWaitCompletion, estimate.Completion},
		{keyWaitStartLow, estimate.StartLow},
		{keyWaitStartHigh, estimate.StartHigh},
	}
	b := append(appendArray(nil, notificationLen), typeNotification)
	b = appendText(b, methodWait)
	b = appendInt(appendArray(b, 2), int64(id))
	b = appendMap(b, len(values))
	for _, v := range values {
		b = appendText(appendText(b, v.key), milliseconds(v.seconds))
	}
	return b
}

// responseHead returns the start of a response: [1, id, ...
func responseHead(id uint32) []byte {
	return appendInt(append(appendArray(nil, responseLen), typeResponse), int64(id))
}

// milliseconds formats seconds as whole milliseconds, rounded up.
func milliseconds(seconds float64) string { return strconv.Itoa(int(math.Ceil(seconds * 1000))) }

// appendArray appends the head of an array of up to 15 values.
func appendArray(b []byte, count int) []byte { return append(b, codeFixArray|byte(count)) }

// appendMap appends the head of a map of up to 15 pairs.
func appendMap(b []byte, count int) []byte { return append(b, codeFixMap|byte(count)) }

// appendInt appends an integer.
func appendInt(b []byte, n int64) []byte {
	switch {
	case n >= 0 && n <= maxFixInt:
		return append(b, byte(n))
	case n >= 0 && n <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, codeUint32), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, codeInt64), uint64(n))
}

// appendText appends a string of up to 65535 bytes.
func appendText(b []byte, s string) []byte {
	if len(s) <= maxFixTextLen {
		return append(append(b, codeFixText|byte(len(s))), s...)
	}
	return append(binary.BigEndian.AppendUint16(append(b, codeText16), uint16(len(s))), s...)
}
