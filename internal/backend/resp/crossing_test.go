package resp

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// stalledConn is a connection whose far end the test reads itself: nothing that is written goes until then.
func stalledConn(r *testEngine) (far chan net.Conn) {
	far = make(chan net.Conn, 10)
	r.Engine.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, away := net.Pipe()
		r.T.Cleanup(func() { away.Close() })
		far <- away
		return near, nil
	}
	return far
}

// A give-up is told as on its way only once it is: until then the job must not go to another engine where none may be out
// twice. The end of the connection gives up as well.
func TestCancelIsWritten(t *testing.T) {
	r := start(t)
	far := stalledConn(r)
	for _, ends := range []bool{false, true} {
		k := r.startAttempt(1)
		away := <-far
		in := bufio.NewReader(away)
		words, err := fakeengine.ReadCommand(in)
		r.Recordf("%s %v", words[0], err)
		r.cancelAttempt(k)
		on := func() bool {
			select {
			case <-k.cancelSent:
				return true
			default:
				return false
			}
		}
		r.Recordf("on its way before its engine reads: %v", on())
		if ends {
			away.Close()
		} else {
			words, err = fakeengine.ReadCommand(in)
			r.Recordf("%s %v", words[0], err)
		}
		k.WaitCancelSent()
		r.Recordf("on its way after")
		r.Drain(true)
		r.Resume()
	}
	r.Check()
}

// A connection comes up only after the job's client has left, or after its engine has begun to drain: nothing of the job
// goes on it.
func TestLateConnection(t *testing.T) {
	for _, first := range []string{"held back", "given up", "drained", "gone", "time up", "window over"} {
		t.Run(first, func(t *testing.T) {
			r := start(t)
			up := make(chan struct{})
			r.Engine.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				<-up
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			if first == "window over" {
				r.sendBefore = time.Now().Add(time.Millisecond)
			}
			k := r.startAttempt(1)
			for time.Now().Before(r.sendBefore) {
			}
			r.sendBefore = time.Time{}
			switch first {
			case "held back":
				k.Withhold()
				r.reportEnd(k)
			case "given up":
				r.cancelAttempt(k)
			case "drained", "gone":
				r.Drain(first == "gone")
				r.reportEnd(k)
			case "time up":
				k.conn.lock()
				k.Deadline = k.Deadline.AddDate(-1, 0, 0)
				k.conn.unlock()
			}
			close(up)
			switch first {
			case "time up", "window over":
				r.reportEnd(k)
			case "drained", "gone": // the connection ends with nothing on it
				r.far.ExpectCommands(1)
			}
			r.Resume()
			other := r.startAttempt(2) // whatever goes on that connection would come before
			r.far.ExpectCommands(1)
			r.cancelAttempt(other)
			r.far.ExpectCommands(1)
			r.Check()
		})
	}
}

// A dispatch is being written and does not go, for its engine takes no bytes; meanwhile the engine may have begun to drain.
// Its first byte goes within the drain's grace or never: the connection ends by then, and with it all that is on it.
func TestStalledWrite(t *testing.T) {
	r := start(t)
	r.Settings.DrainGrace = 0.05
	far := stalledConn(r)
	k := r.startAttempt(1)
	away := <-far
	began := time.Now()
	r.reportEnd(k)
	_, err := fakeengine.ReadCommand(bufio.NewReader(away))
	r.Recordf("within ten times the grace %v, read afterwards: %v", time.Since(began) < time.Second/2, err)
	r.Check()
}

// A dispatch that is called off before it is due tells nothing of its connection, which goes on carrying others. One called
// off after that may have been cut off: nothing new goes there, and with nothing open on it the connection ends.
func TestConnectionAfterACancel(t *testing.T) {
	r := start(t)
	k := r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.cancelAttempt(k)
	r.far.ExpectCommands(1)
	r.runTime = 0
	late := r.startAttempt(2) // on the same one; it is overdue at once
	r.far.ExpectCommands(1)
	r.cancelAttempt(late)
	r.far.ExpectCommands(2)
	r.startAttempt(3)
	r.far.ExpectCommands(1)
	r.Check()
}
