package resp

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"copperrock.example/copperrock/internal/harness/fakeengine"
)

// dialPipes replaces the engine's connections with unbuffered pipes, whose engine sides it sends to the returned channel. A
// write to such a connection blocks until the test reads from its engine side.
func dialPipes(r *testEngine) (engineSides chan net.Conn) {
	engineSides = make(chan net.Conn, 10)
	r.Engine.Dial = func(context.Context, string, string) (net.Conn, error) {
		clientSide, engineSide := net.Pipe()
		r.T.Cleanup(func() { engineSide.Close() })
		engineSides <- engineSide
		return clientSide, nil
	}
	return engineSides
}

// A cancel counts as sent only once it is written. Until then, a request that must not run twice at the same time must not go
// to another engine. The end of the connection cancels the attempt as well.
func TestCancelIsWritten(t *testing.T) {
	r := newTestEngine(t)
	engineSides := dialPipes(r)
	for _, connEnds := range []bool{false, true} {
		a := r.startAttempt(1)
		engineSide := <-engineSides
		in := bufio.NewReader(engineSide)
		words, err := fakeengine.ReadCommand(in)
		r.Recordf("%s %v", words[0], err)
		r.cancelAttempt(a)
		cancelSent := func() bool {
			select {
			case <-a.cancelSent:
				return true
			default:
				return false
			}
		}
		r.Recordf("on its way before its engine reads: %v", cancelSent())
		if connEnds {
			engineSide.Close()
		} else {
			words, err = fakeengine.ReadCommand(in)
			r.Recordf("%s %v", words[0], err)
		}
		a.WaitCancelSent()
		r.Recordf("on its way after")
		r.Drain(true)
		r.Resume()
	}
	r.Check()
}

// A connection is established only after the attempt has been cancelled or has expired, or after the engine has begun to drain.
// Nothing of the attempt is sent on it.
func TestLateConnection(t *testing.T) {
	for _, first := range []string{"held back", "given up", "drained", "gone", "time up", "window over"} {
		t.Run(first, func(t *testing.T) {
			r := newTestEngine(t)
			mayConnect := make(chan struct{})
			r.Engine.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				<-mayConnect
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			if first == "window over" {
				r.sendBefore = time.Now().Add(time.Millisecond)
			}
			a := r.startAttempt(1)
			for time.Now().Before(r.sendBefore) {
			}
			r.sendBefore = time.Time{}
			switch first {
			case "held back":
				a.Withhold()
				r.reportEnd(a)
			case "given up":
				r.cancelAttempt(a)
			case "drained", "gone":
				r.Drain(first == "gone")
				r.reportEnd(a)
			case "time up":
				a.conn.lock()
				a.Deadline = a.Deadline.AddDate(-1, 0, 0)
				a.conn.unlock()
			}
			close(mayConnect)
			switch first {
			case "time up", "window over":
				r.reportEnd(a)
			case "drained", "gone": // the connection ends without a command
				r.far.ExpectCommands(1)
			}
			r.Resume()
			other := r.startAttempt(2) // any command of the first attempt would arrive before it
			r.far.ExpectCommands(1)
			r.cancelAttempt(other)
			r.far.ExpectCommands(1)
			r.Check()
		})
	}
}

// The write of an attempt blocks because its engine does not read, and the engine may begin to drain in the meantime. The first
// byte must be sent within the drain grace or never: after that time the connection ends with everything on it.
func TestStalledWrite(t *testing.T) {
	r := newTestEngine(t)
	r.Settings.DrainGrace = 0.05
	engineSides := dialPipes(r)
	a := r.startAttempt(1)
	engineSide := <-engineSides
	start := time.Now()
	r.reportEnd(a)
	_, err := fakeengine.ReadCommand(bufio.NewReader(engineSide))
	r.Recordf("within ten times the grace %v, read afterwards: %v", time.Since(start) < time.Second/2, err)
	r.Check()
}

// The cancel of an attempt that is not overdue does not make its connection suspect: the connection accepts further attempts.
// After the cancel of an overdue attempt the connection may be broken: it accepts nothing new, and is closed once nothing is in
// flight on it.
func TestConnectionAfterACancel(t *testing.T) {
	r := newTestEngine(t)
	a := r.startAttempt(1)
	r.far.ExpectCommands(1)
	r.cancelAttempt(a)
	r.far.ExpectCommands(1)
	r.runTime = 0
	late := r.startAttempt(2) // on the same connection; it is overdue immediately
	r.far.ExpectCommands(1)
	r.cancelAttempt(late)
	r.far.ExpectCommands(2)
	r.startAttempt(3)
	r.far.ExpectCommands(1)
	r.Check()
}
