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

// The protocol's words, which appear in no other file of the package. Commands to an engine:
const (
	commandAttempt   = "ASK"  // id, fields, statement: start an attempt
	commandCancel    = "QUIT" // id: cancel an attempt
	commandFree      = "FREE" // id: drop the pages of a result
	commandFetchPage = "NEXT" // id, number of the page
	commandPriority  = "PRIO" // id, priority
	commandLoad      = "INFO" // tag: ask for a load report
	commandKeepalive = "NOOP" // tag
	keepaliveTag     = "alive"
	loadPollTag      = "probe" // followed by a number
)

// Fields of an attempt's command.
const (
	fieldClass          = "c"
	fieldTimeLeft       = "w"       // ms
	fieldGrant          = "reserve" // MB, a whole number
	fieldFencingToken   = "fence"
	fieldIdempotencyKey = "i"
	fieldPriority       = "level"
)

// Kinds of answers.
const (
	answerData      = "data" // the first page, or the only one
	answerPage      = "page" // a further page
	answerFailed    = "failed"
	answerFull      = "full" // the engine is overloaded; the attempt did not run
	answerMoot      = "moot" // the attempt did not run
	answerProgress  = "news"
	answerHealthy   = "well" // load report of an engine that serves
	answerUnhealthy = "ill"  // load report of one that does not
)

// Fields of answers.
const (
	fieldPages      = "chunks" // how many the result has
	fieldPageNumber = "at"
	fieldWorkMillis = "spent"  // work that the attempt took, in ms
	fieldMemory     = "wanted" // memory that it needed, in MB
	fieldTopic      = "note"   // of progress
	fieldAmount     = "amount"
	fieldLoad       = "load" // a load report: NAME:VALUE;NAME:VALUE
)

// progressTopics maps the protocol's notes of progress.
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

// RESP: an array of bulk strings is the only form in use.
const (
	arraySign   = '*'
	bulkSign    = '$'
	answerParts = 3 // id, kind and fields; a page may follow

	minCountLine = 4  // bytes: sign, digit, CR, LF
	maxCountLine = 12 // bytes

	maxLoadValue = 1e9
)

// writeAttempt writes the command that starts an attempt. Errors stay with the buffered writer until it is flushed.
func writeAttempt(out *bufio.Writer, a *Attempt, fields string) {
	fmt.Fprintf(out, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n", len(commandAttempt), commandAttempt,
		len(a.RequestID), a.RequestID, len(fields), fields, a.Statement.Size())
	_, _ = a.Statement.WriteTo(out)
	_, _ = out.WriteString("\r\n")
}

// writeCommand writes a command of short words.
func writeCommand(out *bufio.Writer, words ...string) {
	fmt.Fprintf(out, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(out, "$%d\r\n%s\r\n", len(w), w)
	}
}

// readCount reads the number behind an array's or a bulk string's sign.
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

// readBulk reads a bulk string of bounded length.
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

// field finds a value among name=value pairs, "" for none.
func field(fields, name string) string {
	for pair := range strings.SplitSeq(fields, ",") {
		if n, value, ok := strings.Cut(pair, "="); ok && n == name {
			return value
		}
	}
	return ""
}

// numberField is a number among the fields, 0 for none.
func numberField(fields, name string) float64 {
	v, _ := amountField(fields, name)
	return v
}

// amountField is a number among the fields, which must be finite and not negative.
func amountField(fields, name string) (v float64, reported bool) {
	v, err := strconv.ParseFloat(field(fields, name), 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return 0, false
	}
	return v, true
}

// loadReport decodes a load report, as in load=a:7;b:0.61; false where there is none.
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
