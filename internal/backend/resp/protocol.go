package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/config/deployment"
)

// Commands to an engine, with their arguments. No other file of the package contains words of the protocol.
const (
	commandAttempt   = "ASK"  // id, fields, statement: start an attempt
	commandCancel    = "QUIT" // id: cancel an attempt
	commandFree      = "FREE" // id: drop the pages of a result
	commandFetchPage = "NEXT" // id, number of the page
	commandPriority  = "PRIO" // id, priority
	commandLoad      = "INFO" // tag: request a load report
	commandKeepalive = "NOOP" // tag
	keepaliveTag     = "alive"
	loadPollTag      = "probe" // prefix, followed by a number
)

// Fields of an attempt's command.
const (
	fieldClass          = "c"
	fieldTimeLeft       = "w"       // ms
	fieldGrant          = "reserve" // MB, an integer
	fieldFencingToken   = "fence"
	fieldIdempotencyKey = "i"
	fieldPriority       = "level"
)

// Kinds of answers.
const (
	answerData      = "data" // the first page of a result
	answerPage      = "page" // a further page
	answerFailed    = "failed"
	answerFull      = "full" // the engine is overloaded; the attempt did not run
	answerMoot      = "moot" // the attempt did not run
	answerProgress  = "news" // a progress note
	answerHealthy   = "well" // load report of a healthy engine
	answerUnhealthy = "ill"  // load report of an unhealthy engine
)

// Fields of answers.
const (
	fieldPages      = "chunks" // number of pages of the result
	fieldPageNumber = "at"     // number of the page; the first page of the result is 0
	fieldWorkMillis = "spent"  // work that the attempt took, in ms
	fieldMemory     = "wanted" // memory that the attempt needed, in MB
	fieldTopic      = "note"   // topic of a progress note
	fieldAmount     = "amount" // amount of a progress note
	fieldLoad       = "load"   // a load report: NAME:VALUE;NAME:VALUE
)

// progressTopics maps the protocol's names of progress topics.
var progressTopics = map[string]ProgressTopic{
	"pct":      ProgressDone,
	"overflow": ProgressMemory,
	"queued":   ProgressWaiting,
}

// endStatuses maps the answers that end an attempt without a result.
var endStatuses = map[string]admission.Status{
	answerFailed: admission.Failed,
	answerFull:   admission.Overloaded,
	answerMoot:   admission.NotStarted,
}

// Of RESP, only arrays of bulk strings are used.
const (
	arraySign   = '*'
	bulkSign    = '$'
	answerParts = 3 // id, kind and fields; a page may follow

	minCountLine = 4  // bytes: sign, digit, CR, LF
	maxCountLine = 12 // bytes

	maxLoadValue = 1e9 // larger and equal values in a load report are ignored
)

// writeAttempt writes the command that starts an attempt. Errors are returned by the next flush.
func writeAttempt(out *bufio.Writer, a *Attempt, fields string) {
	fmt.Fprintf(out, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n", len(commandAttempt), commandAttempt,
		len(a.RequestID), a.RequestID, len(fields), fields, a.Statement.Size())
	_, _ = a.Statement.WriteTo(out)
	_, _ = out.WriteString("\r\n")
}

// writeCommand writes a command with its arguments. Errors are returned by the next flush.
func writeCommand(out *bufio.Writer, words ...string) {
	fmt.Fprintf(out, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(out, "$%d\r\n%s\r\n", len(w), w)
	}
}

// readCount reads a line that consists of the sign of an array or bulk string and its length.
func readCount(in *bufio.Reader, sign byte) (int, error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < minCountLine || len(line) > maxCountLine || line[0] != sign || line[len(line)-2] != '\r' {
		return 0, fmt.Errorf("no count after %q: %.20q", sign, line)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-2]), 10, 31)
	return int(n), err
}

// readBulk reads a bulk string of at most maxLength bytes.
func readBulk(in *bufio.Reader, maxLength int) (string, error) {
	n, err := readCount(in, bulkSign)
	if err != nil {
		return "", err
	}
	if n > maxLength {
		return "", fmt.Errorf("a word of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err = io.ReadFull(in, b); err != nil {
		return "", err
	}
	return string(b), readLineEnd(in)
}

func readLineEnd(in *bufio.Reader) error {
	for _, want := range "\r\n" {
		if b, err := in.ReadByte(); err != nil || b != byte(want) {
			return errors.Join(err, errors.New("no end of a bulk string"))
		}
	}
	return nil
}

// field returns the value with the given name among comma-separated name=value pairs, "" if there is none.
func field(fields, name string) string {
	for pair := range strings.SplitSeq(fields, ",") {
		if n, value, ok := strings.Cut(pair, "="); ok && n == name {
			return value
		}
	}
	return ""
}

// numberField is like amountField, but returns only the value.
func numberField(fields, name string) float64 {
	v, _ := amountField(fields, name)
	return v
}

// amountField returns the numeric value of a field. reported is false, and v is 0, unless the value is a finite, non-negative
// number.
func amountField(fields, name string) (v float64, reported bool) {
	v, err := strconv.ParseFloat(field(fields, name), 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return 0, false
	}
	return v, true
}

// loadReport decodes the load report in the fields, such as load=a:7;b:0.61. reported is false if there is none. Invalid and
// unknown values are ignored.
func loadReport(fields string) (load deployment.Load, reported bool) {
	load = deployment.NoLoad
	text := field(fields, fieldLoad)
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < maxLoadValue {
			load.Set(name, v)
		}
	}
	return load, text != ""
}
