package resp

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
	"time"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
)

// answer is one message of an engine. Its body, a page of a result, may be nil. Whoever handles the answer must free or keep it.
type answer struct {
	id     string // ID of the request, or the tag of a load poll
	kind   string
	fields string
	body   *bufferpool.Chain
}

// receive reads and handles one answer. After an error the connection cannot be used any more.
func (c *conn) receive(in *bufio.Reader) error {
	a, err := c.readAnswer(in)
	if err != nil {
		return err
	}
	return c.handleAnswer(a)
}

// readAnswer reads one answer.
func (c *conn) readAnswer(in *bufio.Reader) (answer, error) {
	parts, err := readCount(in, arraySign)
	if err != nil {
		return answer{}, err
	}
	if parts != answerParts && parts != answerParts+1 {
		return answer{}, fmt.Errorf("an answer of %d parts", parts)
	}
	var words [answerParts]string
	for i := range words {
		if words[i], err = readBulk(in, c.Limits.MaxFields); err != nil {
			return answer{}, err
		}
	}
	a := answer{id: words[0], kind: words[1], fields: words[2]}
	if parts == answerParts {
		return a, nil
	}
	return c.readBody(in, a)
}

// readBody reads the page in an answer. If no buffer is left for it, only the attempt to which it belongs fails.
func (c *conn) readBody(in *bufio.Reader, a answer) (answer, error) {
	size, err := readCount(in, bulkSign)
	if err != nil || size > c.Limits.MaxPage {
		return answer{}, errors.Join(err, fmt.Errorf("a page of %d bytes", size))
	}
	a.body = c.Pool.NewChain()
	if err = a.body.Fill(in, size); errors.Is(err, bufferpool.ErrExhausted) {
		c.Log.Warn().Msg("all buffers are in use, page not read")
		_, err = in.Discard(size - a.body.Size())
		a.kind = answerFailed
	}
	if err == nil {
		err = readLineEnd(in)
	}
	if err != nil {
		a.body.Free()
		return answer{}, err
	}
	return a, nil
}

// handleAnswer passes an answer to the attempt or load poll to which it belongs. A valid answer that belongs to none, such as a
// duplicate, is ignored.
func (c *conn) handleAnswer(a answer) error {
	isLoadReport := a.kind == answerHealthy || a.kind == answerUnhealthy
	if !isLoadReport && c.OnLoadReport != nil {
		if load, reported := loadReport(a.fields); reported {
			c.OnLoadReport(load)
		}
	}
	c.mu.Lock()
	c.lastAnswerAt = time.Now()
	c.lastAnswer.Store(c.lastAnswerAt.UnixNano())
	switch {
	case a.kind == answerProgress:
		attempt := c.attempts[a.id]
		inFlight := attempt != nil && (attempt.state == attemptSent || attempt.state == attemptPaged)
		c.mu.Unlock()
		a.body.Free()
		if inFlight {
			reportProgress(attempt, a.fields)
		}
		return nil
	case isLoadReport:
		c.mu.Unlock()
		a.body.Free()
		load, reported := loadReport(a.fields)
		c.endLoadPoll(a.id, load, reported)
		return nil
	}
	defer c.mu.Unlock()
	return c.handleAttemptAnswer(a)
}

// reportProgress passes a progress note to the attempt's OnProgress.
func reportProgress(attempt *Attempt, fields string) {
	topic, known := progressTopics[field(fields, fieldTopic)]
	amount, reported := amountField(fields, fieldAmount)
	if known && reported {
		attempt.OnProgress(topic, amount)
	}
}

// handleAttemptAnswer handles an answer to an attempt. The connection's lock must be held.
func (c *conn) handleAttemptAnswer(a answer) error {
	attempt := c.attempts[a.id]
	if attempt == nil || attempt.state == attemptQueued {
		a.body.Free()
		return nil
	}
	if a.kind == answerData && attempt.state == attemptSent {
		return c.firstPage(attempt, a)
	}
	if a.kind == answerPage && attempt.state == attemptPaged {
		n, err := strconv.Atoi(field(a.fields, fieldPageNumber))
		if err == nil && n > 0 && n < len(attempt.pages) && attempt.pages[n] == nil {
			attempt.storePage(n, a.body)
			return nil
		}
	}
	a.body.Free()
	status, ends := endStatuses[a.kind]
	switch {
	case ends:
		if attempt.state == attemptPaged { // it has run, whatever the answer says
			status = admission.Failed
		}
		c.abandoned[a.id] = struct{}{}
		attempt.end(status)
	case a.kind != answerData && a.kind != answerPage:
		return fmt.Errorf("unexpected answer %q", a.kind)
	}
	return nil
}

// firstPage handles the answer that contains the first page of a result and the number of its pages.
func (c *conn) firstPage(attempt *Attempt, a answer) error {
	pages, _ := strconv.Atoi(field(a.fields, fieldPages)) // 0, which is out of bounds, if the field is missing
	if pages < 1 || pages > c.Limits.MaxPages {
		a.body.Free()
		return fmt.Errorf("result of %d pages, want 1 to %d", pages, c.Limits.MaxPages)
	}
	attempt.Work = numberField(a.fields, fieldWorkMillis) / 1000
	attempt.Memory = numberField(a.fields, fieldMemory)
	attempt.pages, attempt.missingPages = make([]*bufferpool.Chain, pages), pages
	attempt.state = attemptPaged
	attempt.storePage(0, a.body)
	if pages > 1 && attempt.state == attemptPaged {
		attempt.status = admission.Succeeded
		attempt.steps <- struct{}{}
	}
	return nil
}

// completeRows reports whether a page consists of complete rows of three columns.
func completeRows(page *bufferpool.Chain) bool {
	const tabsPerRow = 2
	tabs := 0
	for _, part := range page.Parts() {
		for _, b := range part {
			switch {
			case b == '\t':
				tabs++
			case b == '\n' && tabs != tabsPerRow:
				return false
			case b == '\n':
				tabs = 0
			}
		}
	}
	return page.Size() == 0 || page.Last() == '\n'
}
