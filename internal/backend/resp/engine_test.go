package resp

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"copperrock.example/copperrock/admission"
	"copperrock.example/copperrock/internal/bufferpool"
	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/limits"
)

var statuses = []string{"done", "failed", "full", "timed out", "no connection", "reset", "called off", "moot"}

// testEngine is an Engine connected to a scripted engine process.
type testEngine struct {
	*testutil.Trace
	*Engine
	far        *testutil.Engine // the engine process
	statement  *bufferpool.Chain
	stop       context.CancelFunc
	events     chan string // load reports and progress notes
	sendBefore time.Time   // SendBefore of the attempts
	runTime    float64     // RunTime of the attempts, in seconds; with 0 they are overdue immediately
}

func newTestEngine(t *testing.T) *testEngine {
	x := testutil.NewTrace(t)
	r := &testEngine{Trace: x, far: x.StartEngine("engine", ":0"), events: make(chan string, 10), runTime: 1800}
	lim := limits.For(64, 256)
	lim.LoadPollTimeout, lim.ConnsPerEngine = 3600, 1 // no timeout expires unless a test shortens it
	ctx, cancel := context.WithCancel(context.Background())
	r.Engine = &Engine{Address: r.far.Addr().String(), Limits: lim, Pool: bufferpool.NewPool(lim.BufferSize, lim.MaxBuffers),
		Settings:     &deployment.Settings{Admission: admission.Settings{EnginesTakePriorities: true}, AttemptsPerConn: 2, EngineIdleTimeout: 3600, DialTimeout: 10, LoadPolling: true},
		OnLoadReport: func(load deployment.Load) { r.events <- fmt.Sprint("report ", load) },
		Log:          zerolog.Nop(), Group: &errgroup.Group{}, Context: ctx, ConnSlots: make(chan struct{}, 16)}
	r.statement = r.Pool.NewChain()
	if err := r.statement.Fill(strings.NewReader("select 1"), 8); err != nil {
		t.Fatal(err)
	}
	r.stop = func() { cancel(); testutil.WaitCancelled(t, r.Group) }
	t.Cleanup(func() {
		r.stop()
		r.statement.Free()
		if n := r.Pool.InUse(); n != 0 {
			t.Errorf("got %d buffers in use, want 0", n)
		}
	})
	return r
}

func (r *testEngine) startAttempt(id int) *Attempt {
	return r.StartAttempt(r.options(id))
}

// options returns the options of an attempt of the request with the given number.
func (r *testEngine) options(id int) AttemptOptions {
	return AttemptOptions{RequestID: testutil.RequestID(id), Class: "report", Statement: r.statement, Deadline: time.Now().Add(time.Hour),
		SendBefore: r.sendBefore, Grant: 96.2, Priority: 3, RunTime: r.runTime, OnProgress: r.onProgress}
}

func (r *testEngine) onProgress(topic ProgressTopic, amount float64) {
	r.events <- fmt.Sprintf("news %d: %g", topic, amount)
}

// reportEnd waits for the end of the attempt, fetches its pages and records the outcome.
func (r *testEngine) reportEnd(a *Attempt) {
	status, complete, _ := a.Wait(context.Background())
	if !complete {
		a.FetchPages()
		status, _, _ = a.Wait(context.Background())
	}
	r.Recordf("%s, work %g memory %g", statuses[status], a.Work, a.Memory)
	if status == admission.Succeeded {
		rows := a.TakeResult()
		r.Recordf("%q", rows.Bytes())
		rows.Free()
	}
	a.Release()
}

// cancelAttempt cancels the attempt and records whether it may have run.
func (r *testEngine) cancelAttempt(a *Attempt) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	status, _, ran := a.Wait(ctx)
	r.Recordf("%s, may have run %v", statuses[status], ran)
	a.Release()
}

func TestPages(t *testing.T) {
	r := newTestEngine(t)
	a := r.startAttempt(1)
	r.far.ExpectCommands(1)
	a.SetPriority(1)
	a.SetPriority(1) // no change, so no command
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=3,spent=820.5,wanted=96", "a\tb\tc\n")
	status, complete, _ := a.Wait(context.Background())
	r.Recordf("%s, whole %v", statuses[status], complete)
	a.FetchPages()
	r.far.ExpectCommands(2)
	r.far.SendAnswer(1, testutil.RequestID(1), "page", "at=2", "") // in any order
	r.far.SendAnswer(1, testutil.RequestID(1), "page", "at=1", "d\te\tf\ng\th\ti\n")
	r.reportEnd(a)
	r.Engine.conns[0].checkLiveness() // as if the timer fired when the attempt ended: the idle timeout has not expired
	again := r.startAttempt(2)        // on the same connection, which outlives the attempt that opened it
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "")
	r.reportEnd(again)
	r.Check()
}

// Each way in which an attempt can end yields the status that says whether it may have run.
func TestEnds(t *testing.T) {
	r := newTestEngine(t)
	conn := 1
	for n, c := range []struct {
		kind, fields, body string
		connLost           bool // an invalid answer ends the connection
	}{
		{"full", "-", "", false}, {"failed", "-", "", false}, {"moot", "-", "", false},
		{"data", "chunks=1,spent=x,wanted=-1", "no whole row", false},
		{"data", "chunks=1", "two\tcolumns\n", false},
		{"data", "chunks=0", "", true}, {"data", "chunks=65", "", true}, {"odd", "-", "", true},
		{"data", "chunks=1", strings.Repeat("x", 6001), true},
	} {
		a := r.startAttempt(n)
		r.far.ExpectCommands(1)
		r.far.SendAnswer(conn, testutil.RequestID(n), c.kind, c.fields, c.body)
		r.Recordf("%s %s", c.kind, c.fields)
		r.reportEnd(a)
		if c.connLost {
			conn++
		}
		if c.connLost || c.body != "" {
			r.far.ExpectCommands(1)
		}
	}
	a := r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(conn, testutil.RequestID(1), "data", "chunks=2", "")
	r.far.ResetConn(conn)
	r.reportEnd(a)
	r.far.ExpectCommands(1)
	r.far.Close()
	r.reportEnd(r.startAttempt(2))
	r.Check()
}

// A late answer to a cancelled attempt is not mistaken for the answer to a later attempt of the same request.
func TestLateAnswerAfterACancel(t *testing.T) {
	r := newTestEngine(t)
	a, other := r.startAttempt(1), r.startAttempt(2)
	r.far.ExpectCommands(2)
	r.cancelAttempt(a)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(2), "data", "chunks=2", "")
	status, complete, _ := other.Wait(context.Background())
	r.Recordf("%s, whole %v", statuses[status], complete)
	r.cancelAttempt(other) // its pages are no longer needed
	r.far.ExpectCommands(1)
	a = r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "late\t\t\n")
	r.far.SendAnswer(2, testutil.RequestID(1), "data", "chunks=1", "in time\t\t\n")
	r.reportEnd(a)
	r.Check()
}

// Valid answers that belong to no attempt are ignored: duplicate pages and answers, answers with unknown IDs, and a second
// answer for a request that is on the engine again after the engine rejected it.
func TestDuplicateAnswers(t *testing.T) {
	r := newTestEngine(t)
	a, other := r.startAttempt(1), r.startAttempt(2)
	r.far.ExpectCommands(2)
	r.far.SendAnswer(1, testutil.RequestID(9), "data", "chunks=1", "x\ty\tz\n")
	for range 2 {
		r.far.SendAnswer(1, testutil.RequestID(1), "page", "at=1", "x\ty\tz\n") // not requested yet
		r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=3", "a\tb\tc\n")
	}
	status, complete, _ := a.Wait(context.Background())
	r.Recordf("%s, whole %v", statuses[status], complete)
	a.FetchPages()
	r.far.ExpectCommands(2)
	for _, at := range []string{"at=1", "at=1", "at=0", "at=3", "at=x", "at=2", "at=2"} {
		r.far.SendAnswer(1, testutil.RequestID(1), "page", at, at+"\t\t\n")
	}
	r.reportEnd(a)
	r.far.SendAnswer(1, testutil.RequestID(2), "full", "-", "")
	r.reportEnd(other)
	other = r.startAttempt(2)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(2), "full", "-", "")
	r.far.SendAnswer(2, testutil.RequestID(2), "data", "chunks=2", "")
	status, complete, _ = other.Wait(context.Background())
	r.Recordf("%s, whole %v", statuses[status], complete)
	r.far.SendAnswer(2, testutil.RequestID(2), "moot", "-", "") // it has run
	r.reportEnd(other)
	r.Check()
}

// Attempts fill an established connection before another one is opened, and the attempt that causes it to be opened does not
// wait for it. The loss of a connection ends only the attempts on it.
func TestAttemptsFillConnections(t *testing.T) {
	r := newTestEngine(t)
	r.Limits.ConnsPerEngine, r.Limits.AttemptsPerConn, r.Settings.AttemptsPerConn = 2, 2, 8
	var attempts []*Attempt
	for n := range 5 {
		attempts = append(attempts, r.startAttempt(n))
		r.far.ExpectCommands(1)
		for n == 2 && !r.established(2) {
			time.Sleep(time.Millisecond)
		}
	}
	r.far.ResetConn(2)
	r.reportEnd(attempts[3])
	r.reportEnd(attempts[4])
	r.far.ExpectCommands(1)
	for _, n := range []int{0, 1, 2} {
		r.far.SendAnswer(1, testutil.RequestID(n), "data", "chunks=1", "")
		r.reportEnd(attempts[n])
	}
	r.Check()
}

// established reports whether exactly n connections are established.
func (r *testEngine) established(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.mu.Lock()
		if c.peer != nil {
			n--
		}
		c.mu.Unlock()
	}
	return n == 0
}

// A silent connection is closed once the engine has answered on another connection, and not before. A connection on which an
// answer stops half-way is closed after a timeout.
func TestSilentConnection(t *testing.T) {
	r := newTestEngine(t)
	r.Limits.KeepaliveAfter, r.Limits.SilentConnTimeout, r.runTime = 0.02, 0.02, 0
	a := r.startAttempt(1)
	r.far.ExpectCommands(3) // the attempt, a keep-alive, and a poll on a new connection
	r.far.SendAnswer(2, "probe1", "well", "-", "")
	r.reportEnd(a)
	r.far.ExpectCommands(1)

	r.Limits.KeepaliveAfter, r.Limits.EngineReadTimeout = 3600, 0.02
	a = r.startAttempt(2)
	r.far.ExpectCommands(1)
	r.far.SendRaw(2, "*4\r\n$16\r\n2222")
	r.reportEnd(a)
	r.far.ExpectCommands(1)
	r.Check()
}

// No keep-alive is sent while a long request runs: the keep-alives of three hundred controllers cost the engines more than the
// answers to the requests. One is sent once an attempt in flight is overdue.
func TestNoKeepaliveBeforeOverdue(t *testing.T) {
	r := newTestEngine(t)
	r.Limits.KeepaliveAfter, r.Limits.MaxKeepaliveAfter = 0.02, 3600
	options := r.options(1)
	options.RunTime = 1800
	long := r.StartAttempt(options)
	r.far.ExpectCommands(1)
	r.mu.Lock()
	c := r.conns[0]
	r.mu.Unlock()
	c.mu.Lock()
	c.lastAttemptAt = c.lastAttemptAt.Add(-time.Minute) // a minute of silence
	c.mu.Unlock()
	c.checkLiveness()
	r.runTime = 0
	short := r.startAttempt(2)
	r.far.ExpectCommands(2) // the second attempt, and a keep-alive because it is overdue
	r.far.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "")
	r.reportEnd(short)
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "")
	r.reportEnd(long)
	r.Check()
}

// When the engine drains, attempts that have not been sent end as never run. Attempts that have been sent continue, and no new
// one is accepted.
func TestDrain(t *testing.T) {
	r := newTestEngine(t)
	sent := r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.mu.Lock()
	c := r.conns[0]
	r.mu.Unlock()
	enqueue := func(id int) *Attempt { // as if the connection were still being established
		a := &Attempt{AttemptOptions: AttemptOptions{RequestID: testutil.RequestID(id), Statement: r.statement, Deadline: sent.Deadline}, steps: make(chan struct{}, 2), conn: c}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.attempts[a.RequestID] = a
		return a
	}
	withheld, queued := enqueue(2), enqueue(4)
	withheld.Withhold()
	sent.Withhold() // too late
	r.reportEnd(withheld)
	r.Drain(false)
	r.reportEnd(queued)
	r.reportEnd(r.startAttempt(3))
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "")
	r.reportEnd(sent)
	r.far.ExpectCommands(1)
	r.Check()
}

// The connections to a terminated process are closed: its machine may have left them open.
func TestDrainGoneEngine(t *testing.T) {
	r := newTestEngine(t)
	a := r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.Drain(true)
	r.reportEnd(a)
	r.far.ExpectCommands(1)
	r.Check()
}

func TestLoadPolls(t *testing.T) {
	r := newTestEngine(t)
	reports := make(chan deployment.Load, 1)
	poll := func() { r.PollLoad(func(load deployment.Load, _ bool) { reports <- load }) }
	poll()
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, "probe1", "well", "load=busy_reqs:7;x0:0.61;odd:1;cpu_share:x", "")
	r.Recordf("%v", <-reports)
	poll()
	r.far.ExpectCommands(1)
	r.far.ResetConn(1)
	r.Recordf("%v", <-reports)
	r.Check()
}

func TestMalformed(t *testing.T) {
	c := &conn{Engine: &Engine{Limits: limits.For(64, 256), Pool: bufferpool.NewPool(64, 100)}}
	var lines []string
	for _, text := range []string{
		"", "x", "*4\r\n", "*4\n$1\r\na\r\n", "*-1\r\n", "*9999999999\r\n", "*2\r\n", "*4\r\n$-1\r\n",
		"*4\r\n$1025\r\n", "*4\r\n$1\r\nab", "*4\r\n$1\r\na\r\n$4\r\nfull\r\n$1\r\n-\r\n$6001\r\n",
		"*4\r\n$1\r\na\r\n$4\r\nfull\r\n$1\r\n-\r\n$2\r\nx", "*3\r\n$1\r\na\r\n$4\r\nfull\r\n$1\r\n-\r\n",
		"*4\r\n$1\r\na\r\n$4\r\nfull\r\n$1\r\n-\r\n$0\r\n\r\n",
	} {
		outcome := "taken"
		if err := c.receive(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))); err != nil {
			outcome = strings.ReplaceAll(err.Error(), "\n", "; ")
		}
		lines = append(lines, strings.NewReplacer("\r", "", "\n", " ").Replace(text)+" -> "+outcome)
	}
	testutil.CheckTrace(t, lines)
}

func FuzzAnswer(f *testing.F) {
	f.Add("*4\r\n$1\r\na\r\n$4\r\ndata\r\n$8\r\nchunks=2\r\n$6\r\na\tb\tc\n\r\n*4\r\n$1\r\na\r\n$4\r\npage\r\n$4\r\nat=1\r\n$0\r\n\r\n")
	f.Add("*3\r\n$1\r\np\r\n$4\r\nwell\r\n$9\r\nload=a:7;\r\n")
	f.Add("*4\r\n$1\r\na\r\n$4\r\ndata\r\n$8\r\nchunks=1\r\n$3221225472\r\nx") // announced as 3 GB
	f.Add("*4\r\n$1\r\na\r\n$4\r\nfull\r\n$-7\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		e := &Engine{Limits: limits.For(64, 256), Pool: bufferpool.NewPool(64, 200), Settings: &deployment.Settings{}}
		c := newConn(e)
		a := &Attempt{AttemptOptions: AttemptOptions{RequestID: "a"}, conn: c, state: attemptSent, steps: make(chan struct{}, 2)}
		c.attempts["a"] = a
		in := bufio.NewReader(strings.NewReader(text))
		for c.receive(in) == nil { //nolint:revive // reads all of the text
		}
		c.timer.Stop()
		a.Release()
		if n := e.Pool.InUse(); n != 0 {
			t.Errorf("got %d buffers in use, want 0", n)
		}
	})
}

// Engines also send progress notes, and load reports inside answers. Unknown ones, and those for an unknown attempt, are
// ignored and end nothing.
func TestProgressAndLoadReports(t *testing.T) {
	r := newTestEngine(t)
	expectEvents := func(n int) {
		for range n {
			r.Recordf("%s", <-r.events)
		}
	}
	a := r.startAttempt(1)
	r.far.ExpectCommands(1)
	for _, fields := range []string{"note=pct,amount=0.25", "note=overflow,amount=2458", "note=queued,amount=2", "note=odd,amount=1", "-",
		"note=pct,amount=NaN", "note=pct"} {
		r.far.SendAnswer(1, testutil.RequestID(1), "news", fields, "")
	}
	r.far.SendAnswer(1, testutil.RequestID(9), "news", "note=pct,amount=1", "") // belongs to no attempt
	expectEvents(3)
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1,spent=5,wanted=4,load=cpu_share:0.5;x0:0.25;odd:1;x1:-3;pending:NaN", "a\tb\tc\n")
	expectEvents(1)
	r.reportEnd(a)
	a = r.startAttempt(2)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(2), "full", "load=x0:1")
	expectEvents(1)
	r.reportEnd(a)
	r.Check()
}
