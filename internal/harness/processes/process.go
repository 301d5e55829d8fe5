// Package processes starts many processes of the program on loopback, with relays of our own between any two parties, and
// plays faults on them by name and seed: processes killed, frozen and started again, links cut both ways or one way,
// slow, reset or flapping. Tests and measurements use it; they wait on states and take no verdict from a sleep.
package processes

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is one process of the program, which may be started again under its name. Its exported fields are set before
// the first Start. It may be used from any goroutine.
type Process struct {
	Name    string
	Path    string   // of the program
	Args    []string // after the path
	Env     []string // beside this process's own
	LogFile string   // file to which every start adds what it writes

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // of the running one
	frozen  bool
	starts  int
	failure error // of the last end
}

// Start starts the process; it must not be running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s runs already", p.Name)
	}
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the test that started it
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.frozen = cmd, ended, false
	p.starts++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.cmd, p.failure = nil, err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the running process; none running is no fault.
func (p *Process) signal(s syscall.Signal) (ended <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	p.frozen = s == syscall.SIGSTOP || p.frozen && s != syscall.SIGCONT && s != syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // it may have ended since
	return p.ended
}

// Kill ends it at once and waits until it is gone.
func (p *Process) Kill() { <-p.signal(syscall.SIGKILL) }

// Freeze stops it where it stands; its sockets stay open.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets it go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Reload has it read its settings again.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// RequestExit asks it to end.
func (p *Process) RequestExit() { p.signal(syscall.SIGTERM) }

// Terminate asks it to end and waits for that, or kills it once ctx ends.
func (p *Process) Terminate(ctx context.Context) error {
	p.Thaw()
	ended := p.signal(syscall.SIGTERM)
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.failure
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s does not end: %w", p.Name, ctx.Err())
	}
}

// Running tells whether it runs, frozen or not.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Frozen tells whether it was stopped last.
func (p *Process) Frozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// Starts is how often it was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// PID is the running process's number, 0 without one.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// WaitUntil waits for a state, looking every few milliseconds, and says what is missing when ctx ends.
func WaitUntil(ctx context.Context, what string, holds func() bool) error {
	look := time.NewTicker(3 * time.Millisecond) // states change in tens of milliseconds
	defer look.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not in time: %s", what)
		case <-look.C:
		}
	}
	return nil
}

// errClosed ends what is started after Close.
var errClosed = errors.New("the fleet is closed")
