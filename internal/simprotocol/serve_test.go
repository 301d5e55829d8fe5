package simprotocol

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// encodeBatch encodes a batch from a tail and records in hex, which are padded with zeros to their size.
func encodeBatch(t *testing.T, number uint32, tail string, records ...string) []byte {
	var body strings.Builder
	for _, r := range records {
		r = strings.ReplaceAll(r, " ", "")
		body.WriteString(r + strings.Repeat("00", eventSize-len(r)/2))
	}
	body.WriteString(hex.EncodeToString([]byte(tail)))
	size := clockSize + body.Len()/2
	frame, err := hex.DecodeString(fmt.Sprintf("%08x%08x%08x4020d3126e978d50%s", number, len(records), size, body.String()))
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// serveLines serves the input and returns the replies in hex, one record per line, and the error at the end.
func serveLines(in []byte) []string {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(in), &out)
	var lines []string
	for out.Len() >= 12 {
		header := out.Next(12)
		lines = append(lines, hex.EncodeToString(header))
		for range int(header[11]) {
			lines = append(lines, "  "+hex.EncodeToString(out.Next(actionSize)))
		}
		if tail := int(header[6])<<8 + int(header[7]) - 4 - int(header[11])*actionSize; tail > 0 {
			lines = append(lines, fmt.Sprintf("  tail %q", out.Next(tail)))
		}
	}
	return append(lines, fmt.Sprint("error: ", err))
}

const setup = "classes.count=1\nclasses.0.objective=9.0\nclasses.0.repeat=pure\nhost-types=a\nunknown.key=5\n" +
	"family-info.kind-cores=8\nfamily-info.ram-of-kind-mb=8192.0\nallowed.try-limit=2\nfamily-info.grants=true\n"

var (
	openRecord   = fmt.Sprintf("09 0000000000000007 00000000 %08x", len(setup))
	selectRecord = "0b 00000003"
	// One engine that is ready, as in the example of a table in the protocol's documentation.
	entryHex        = "03124a07 00 0000 0000 01 3f800000 0000000000000000"
	tail            = setup + string(testutil.DecodeHex(entryHex))
	tableRecord     = fmt.Sprintf("07 0000 %08x 00000001", len(setup))
	endpointsRecord = "00 02 0000000000000029 0000"
	arrivalRecord   = "06 5d3a91c4 00 00000000 91f03b7c55d20a64 40214df3b645a1cb 3f889374bc6a7efa 43c00000 41300000 01"
)

// Batches with all kinds of events, and the replies to them.
func TestFrames(t *testing.T) {
	in := append(encodeBatch(t, 1, ""),
		encodeBatch(t, 2, tail, selectRecord, openRecord, tableRecord, endpointsRecord, arrivalRecord)...)
	in = append(in, encodeBatch(t, 3, "", selectRecord, "02 5d3a91c4 01f7 3f92f1a9fbe76c8b 00 0000 00000000 03124a07 00")...)
	in = append(in, encodeBatch(t, 4, "", selectRecord,
		"02 5d3a91c4 00c8 3f92f1a9fbe76c8b 01 0001 00011060 03124a07 01 40400000")...)
	in = append(in, encodeBatch(t, 5, "", selectRecord, "0a 0e6f2b19", "0c 0000004d", "05")...)
	testutil.CheckTrace(t, serveLines(in))
}

// Every action, with the values of the examples in the protocol's documentation where there are some.
func TestActions(t *testing.T) {
	s := newSession()
	a := &actions{session: s, instance: 3}
	a.startAttempt(0x5d3a91c4, 0x03124a07, 0.08)
	a.SetAttemptTerms(0x5d3a91c4, 2, 640)
	a.gossip(0xffff, []byte("hi 7"))
	a.WakeAfter(0.5)
	a.Reject(1, 2)
	a.Fail(1)
	a.CancelAttempt(1, 2)
	a.PollLoad(7)
	a.closeIdle(7)
	a.WatchEndpoints()
	a.fetchEndpoints()
	(&actions{session: s, instance: 5}).log("two servers known")
	var lines []string
	for r := s.reply.records; len(r) > 0; r = r[actionSize:] {
		lines = append(lines, hex.EncodeToString(r[:actionSize]))
	}
	testutil.CheckTrace(t, append(lines, string(s.reply.tail)))
}

// An instance can be opened without settings. Missing settings are zero.
func TestSettingsMissing(t *testing.T) {
	in := encodeBatch(t, 1, "", selectRecord, "09 0000000000000007", "0c 00000000")
	testutil.CheckTrace(t, serveLines(in))
}

// A panic in the decision module, here caused by a class that is not in the settings, is reported by an action.
func TestPanicIsTold(t *testing.T) {
	in := encodeBatch(t, 1, tail, selectRecord, openRecord, tableRecord, endpointsRecord,
		strings.Replace(arrivalRecord, "5d3a91c4 00", "5d3a91c4 09", 1))
	testutil.CheckTrace(t, serveLines(in))
}

// A malformed frame ends the session with an error that says where the fault is.
func TestMalformed(t *testing.T) {
	good := encodeBatch(t, 2, tail, selectRecord, openRecord, tableRecord, endpointsRecord)
	var lines []string
	for _, c := range []struct {
		name string
		in   []byte
	}{
		{"header cut short", good[:7]},
		{"frame cut short", good[:100]},
		{"length too small", testutil.DecodeHex("00000002 00000003 00000008 4020d3126e978d50")},
		{"length without its bytes", testutil.DecodeHex("00000002 00000000 ffffffff 4020d3126e978d50")},
		{"clock no number", testutil.DecodeHex("00000002 00000000 00000008 7ff8000000000001")},
		{"tail reference out of range", encodeBatch(t, 2, setup, selectRecord, openRecord, tableRecord)},
		{"unknown record code", encodeBatch(t, 2, tail, selectRecord, openRecord, "63")},
		{"unknown instance", encodeBatch(t, 2, tail, selectRecord, "0c 00000001")},
		{"no instance selected", encodeBatch(t, 2, tail, "0c 00000001")},
		{"unknown table", encodeBatch(t, 2, tail, selectRecord, openRecord, endpointsRecord)},
		{"unknown outcome", encodeBatch(t, 2, tail, selectRecord, openRecord, tableRecord, endpointsRecord, "02 5d3a91c4 0063")},
	} {
		lines = append(append(lines, c.name), serveLines(c.in)...)
	}
	testutil.CheckTrace(t, lines)
}
