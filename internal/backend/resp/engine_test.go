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

// testEngine is one engine process and what it is asked from here.
type testEngine struct {
	*testutil.Trace
	*Engine
	far        *testutil.Engine
	statement  *bufferpool.Chain
	stop       context.CancelFunc
	events     chan string
	sendBefore time.Time // of dispatches asked for
	runTime    float64   // so long they are said to run; 0 has them overdue at once
}

func start(t *testing.T) *testEngine {
	x := testutil.NewTrace(t)
	r := &testEngine{Trace: x, far: x.StartEngine("engine", ":0"), events: make(chan string, 10), runTime: 1800}
	lim := limits.For(64, 256)
	lim.LoadPollTimeout, lim.ConnsPerEngine = 3600, 1 // no time-out but those that a test asks for
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
			t.Errorf("%d buffers are still lent", n)
		}
	})
	return r
}

func (r *testEngine) startAttempt(id int) *Attempt {
	return r.StartAttempt(r.options(id))
}

// options are those of an attempt of the request with that number.
func (r *testEngine) options(id int) AttemptOptions {
	return AttemptOptions{RequestID: testutil.RequestID(id), Class: "report", Statement: r.statement, Deadline: time.Now().Add(time.Hour),
		SendBefore: r.sendBefore, Grant: 96.2, Priority: 3, RunTime: r.runTime, OnProgress: r.onProgress}
}

func (r *testEngine) onProgress(topic ProgressTopic, amount float64) {
	r.events <- fmt.Sprintf("news %d: %g", topic, amount)
}

// reportEnd waits for the dispatch, fetches its pages and says how it ended.
func (r *testEngine) reportEnd(k *Attempt) {
	status, whole, _ := k.Wait(context.Background())
	if !whole {
		k.FetchPages()
		status, _, _ = k.Wait(context.Background())
	}
	r.Recordf("%s, work %g memory %g", statuses[status], k.Work, k.Memory)
	if status == admission.Succeeded {
		rows := k.TakeResult()
		r.Recordf("%q", rows.Bytes())
		rows.Free()
	}
	k.Release()
}

// cancelAttempt gives the dispatch up.
func (r *testEngine) cancelAttempt(k *Attempt) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	status, _, ran := k.Wait(ctx)
	r.Recordf("%s, may have run %v", statuses[status], ran)
	k.Release()
}

func TestPages(t *testing.T) {
	r := start(t)
	k := r.startAttempt(1)
	r.far.ExpectCommands(1)
	k.SetPriority(1)
	k.SetPriority(1) // nothing new
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=3,spent=820.5,wanted=96", "a\tb\tc\n")
	status, whole, _ := k.Wait(context.Background())
	r.Recordf("%s, whole %v", statuses[status], whole)
	k.FetchPages()
	r.far.ExpectCommands(2)
	r.far.SendAnswer(1, testutil.RequestID(1), "page", "at=2", "") // in any order
	r.far.SendAnswer(1, testutil.RequestID(1), "page", "at=1", "d\te\tf\ng\th\ti\n")
	r.reportEnd(k)
	r.Engine.conns[0].checkLiveness() // as by a timer that fired when the dispatch ended: it has not been idle for long
	again := r.startAttempt(2)        // on the same connection, which outlives the dispatch that opened it
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "")
	r.reportEnd(again)
	r.Check()
}

// Each end has the status that tells whether the dispatch may have run.
func TestEnds(t *testing.T) {
	r := start(t)
	conn := 1
	for n, c := range []struct {
		word, fields, body string
		lost               bool // what can't be followed ends the connection
	}{
		{"full", "-", "", false}, {"failed", "-", "", false}, {"moot", "-", "", false},
		{"data", "chunks=1,spent=x,wanted=-1", "no whole row", false},
		{"data", "chunks=1", "two\tcolumns\n", false},
		{"data", "chunks=0", "", true}, {"data", "chunks=65", "", true}, {"odd", "-", "", true},
		{"data", "chunks=1", strings.Repeat("x", 6001), true},
	} {
		k := r.startAttempt(n)
		r.far.ExpectCommands(1)
		r.far.SendAnswer(conn, testutil.RequestID(n), c.word, c.fields, c.body)
		r.Recordf("%s %s", c.word, c.fields)
		r.reportEnd(k)
		if c.lost {
			conn++
		}
		if c.lost || c.body != "" {
			r.far.ExpectCommands(1)
		}
	}
	k := r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(conn, testutil.RequestID(1), "data", "chunks=2", "")
	r.far.ResetConn(conn)
	r.reportEnd(k)
	r.far.ExpectCommands(1)
	r.far.Close()
	r.reportEnd(r.startAttempt(2))
	r.Check()
}

// A late answer of a dispatch given up is not taken for a later one of the same job.
func TestLateAnswerAfterACancel(t *testing.T) {
	r := start(t)
	k, other := r.startAttempt(1), r.startAttempt(2)
	r.far.ExpectCommands(2)
	r.cancelAttempt(k)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(2), "data", "chunks=2", "")
	status, whole, _ := other.Wait(context.Background())
	r.Recordf("%s, whole %v", statuses[status], whole)
	r.cancelAttempt(other) // its pages are not wanted any more
	r.far.ExpectCommands(1)
	k = r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "late\t\t\n")
	r.far.SendAnswer(2, testutil.RequestID(1), "data", "chunks=1", "in time\t\t\n")
	r.reportEnd(k)
	r.Check()
}

// What is good but belongs to nothing here harms nothing: pages and answers twice, under unknown ids, or once more for a
// job that is back on the engine after it was turned away.
func TestDuplicateAnswers(t *testing.T) {
	r := start(t)
	k, other := r.startAttempt(1), r.startAttempt(2)
	r.far.ExpectCommands(2)
	r.far.SendAnswer(1, testutil.RequestID(9), "data", "chunks=1", "x\ty\tz\n")
	for range 2 {
		r.far.SendAnswer(1, testutil.RequestID(1), "page", "at=1", "x\ty\tz\n") // not asked for yet
		r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=3", "a\tb\tc\n")
	}
	status, whole, _ := k.Wait(context.Background())
	r.Recordf("%s, whole %v", statuses[status], whole)
	k.FetchPages()
	r.far.ExpectCommands(2)
	for _, at := range []string{"at=1", "at=1", "at=0", "at=3", "at=x", "at=2", "at=2"} {
		r.far.SendAnswer(1, testutil.RequestID(1), "page", at, at+"\t\t\n")
	}
	r.reportEnd(k)
	r.far.SendAnswer(1, testutil.RequestID(2), "full", "-", "")
	r.reportEnd(other)
	other = r.startAttempt(2)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(2), "full", "-", "")
	r.far.SendAnswer(2, testutil.RequestID(2), "data", "chunks=2", "")
	status, whole, _ = other.Wait(context.Background())
	r.Recordf("%s, whole %v", statuses[status], whole)
	r.far.SendAnswer(2, testutil.RequestID(2), "moot", "-", "") // it has run
	r.reportEnd(other)
	r.Check()
}

// Dispatches fill a connection that is up before a further one is opened, and the one that fills it waits for no new one.
// A connection that is lost costs what was on it and no more.
func TestAttemptsFillConnections(t *testing.T) {
	r := start(t)
	r.Limits.ConnsPerEngine, r.Limits.AttemptsPerConn, r.Settings.AttemptsPerConn = 2, 2, 8
	var calls []*Attempt
	for n := range 5 {
		calls = append(calls, r.startAttempt(n))
		r.far.ExpectCommands(1)
		for n == 2 && !r.up(2) {
			time.Sleep(time.Millisecond)
		}
	}
	r.far.ResetConn(2)
	r.reportEnd(calls[3])
	r.reportEnd(calls[4])
	r.far.ExpectCommands(1)
	for _, n := range []int{0, 1, 2} {
		r.far.SendAnswer(1, testutil.RequestID(n), "data", "chunks=1", "")
		r.reportEnd(calls[n])
	}
	r.Check()
}

// up tells whether so many connections are.
func (r *testEngine) up(n int) bool {
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

// A connection that gives no sign of life ends once the engine is seen to live elsewhere, and not before; one that
// stops within an answer ends by itself.
func TestSilentConnection(t *testing.T) {
	r := start(t)
	r.Limits.KeepaliveAfter, r.Limits.SilentConnTimeout, r.runTime = 0.02, 0.02, 0
	k := r.startAttempt(1)
	r.far.ExpectCommands(3) // asked for a sign of life, there and on a new connection
	r.far.SendAnswer(2, "probe1", "well", "-", "")
	r.reportEnd(k)
	r.far.ExpectCommands(1)

	r.Limits.KeepaliveAfter, r.Limits.EngineReadTimeout = 3600, 0.02
	k = r.startAttempt(2)
	r.far.ExpectCommands(1)
	r.far.SendRaw(2, "*4\r\n$16\r\n2222")
	r.reportEnd(k)
	r.far.ExpectCommands(1)
	r.Check()
}

// While a long job runs no sign of life is asked for: three hundred controllers that did cost engines more than the
// jobs' answers. Once one of the open dispatches is overdue, it is.
func TestNoKeepaliveBeforeOverdue(t *testing.T) {
	r := start(t)
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
	r.far.ExpectCommands(2) // the second dispatch, and a sign of life on its account
	r.far.SendAnswer(1, testutil.RequestID(2), "data", "chunks=1", "")
	r.reportEnd(short)
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "")
	r.reportEnd(long)
	r.Check()
}

// What has not gone when the engine drains has never run; what is out goes on, and nothing new is taken.
func TestDrain(t *testing.T) {
	r := start(t)
	out := r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.mu.Lock()
	c := r.conns[0]
	r.mu.Unlock()
	hold := func(id int) *Attempt { // as while its connection comes up
		k := &Attempt{AttemptOptions: AttemptOptions{RequestID: testutil.RequestID(id), Statement: r.statement, Deadline: out.Deadline}, steps: make(chan struct{}, 2), conn: c}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.attempts[k.RequestID] = k
		return k
	}
	over, held := hold(2), hold(4)
	over.Withhold()
	out.Withhold() // too late
	r.reportEnd(over)
	r.Drain(false)
	r.reportEnd(held)
	r.reportEnd(r.startAttempt(3))
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "")
	r.reportEnd(out)
	r.far.ExpectCommands(1)
	r.Check()
}

// A machine that is gone leaves its connections open.
func TestDrainGoneEngine(t *testing.T) {
	r := start(t)
	k := r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.Drain(true)
	r.reportEnd(k)
	r.far.ExpectCommands(1)
	r.Check()
}

func TestLoadPolls(t *testing.T) {
	r := start(t)
	got := make(chan deployment.Load, 1)
	ask := func() { r.PollLoad(func(load deployment.Load, _ bool) { got <- load }) }
	ask()
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, "probe1", "well", "load=busy_reqs:7;x0:0.61;odd:1;cpu_share:x", "")
	r.Recordf("%v", <-got)
	ask()
	r.far.ExpectCommands(1)
	r.far.ResetConn(1)
	r.Recordf("%v", <-got)
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
		err := "taken"
		if e := c.receive(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))); e != nil {
			err = strings.ReplaceAll(e.Error(), "\n", "; ")
		}
		lines = append(lines, strings.NewReplacer("\r", "", "\n", " ").Replace(text)+" -> "+err)
	}
	testutil.CheckTrace(t, lines)
}

func FuzzAnswer(f *testing.F) {
	f.Add("*4\r\n$1\r\na\r\n$4\r\ndata\r\n$8\r\nchunks=2\r\n$6\r\na\tb\tc\n\r\n*4\r\n$1\r\na\r\n$4\r\npage\r\n$4\r\nat=1\r\n$0\r\n\r\n")
	f.Add("*3\r\n$1\r\np\r\n$4\r\nwell\r\n$9\r\nload=a:7;\r\n")
	f.Add("*4\r\n$1\r\na\r\n$4\r\ndata\r\n$8\r\nchunks=1\r\n$3221225472\r\nx") // said to have 3 GB
	f.Add("*4\r\n$1\r\na\r\n$4\r\nfull\r\n$-7\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		e := &Engine{Limits: limits.For(64, 256), Pool: bufferpool.NewPool(64, 200), Settings: &deployment.Settings{}}
		c := newConn(e)
		k := &Attempt{AttemptOptions: AttemptOptions{RequestID: "a"}, conn: c, state: attemptSent, steps: make(chan struct{}, 2)}
		c.attempts["a"] = k
		in := bufio.NewReader(strings.NewReader(text))
		for c.receive(in) == nil { //nolint:revive // all of the text is read
		}
		c.timer.Stop()
		k.Release()
		if n := e.Pool.InUse(); n != 0 {
			t.Errorf("%d buffers are still lent", n)
		}
	})
}

// What engines tell beside the ends of dispatches: notes of progress, and reports of their load inside answers. What is
// not known, or belongs to no dispatch that is out, is passed over and ends nothing.
func TestProgressAndLoadReports(t *testing.T) {
	r := start(t)
	hear := func(n int) {
		for range n {
			r.Recordf("%s", <-r.events)
		}
	}
	k := r.startAttempt(1)
	r.far.ExpectCommands(1)
	for _, fields := range []string{"note=pct,amount=0.25", "note=overflow,amount=2458", "note=queued,amount=2", "note=odd,amount=1", "-",
		"note=pct,amount=NaN", "note=pct"} {
		r.far.SendAnswer(1, testutil.RequestID(1), "news", fields, "")
	}
	r.far.SendAnswer(1, testutil.RequestID(9), "news", "note=pct,amount=1", "") // of no dispatch here
	hear(3)
	r.far.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1,spent=5,wanted=4,load=cpu_share:0.5;x0:0.25;odd:1;x1:-3;pending:NaN", "a\tb\tc\n")
	hear(1)
	r.reportEnd(k)
	k = r.startAttempt(2)
	r.far.ExpectCommands(1)
	r.far.SendAnswer(1, testutil.RequestID(2), "full", "load=x0:1")
	hear(1)
	r.reportEnd(k)
	r.Check()
}
