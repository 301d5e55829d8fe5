// Package processes runs many processes of the program on loopback, with a fault proxy between any two of them, and injects
// faults from a plan: processes are killed, frozen and restarted; links are partitioned in one or both directions, slow, flapping
// or lossy. Tests and measurements use it. They wait for states instead of sleeping for a fixed time.
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

// Process is a process of the program that can be started several times. Its exported fields are set before the first Start. It
// may be used from several goroutines.
type Process struct {
	Name    string
	Path    string   // of the executable
	Args    []string // without the path
	Env     []string // added to the environment of this process
	LogFile string   // stdout and stderr are appended to it

	mu      sync.Mutex    // guards the fields below
	cmd     *exec.Cmd     // nil while not running
	ended   chan struct{} // closed when cmd has ended
	frozen  bool
	starts  int
	exitErr error // of the last run that ended
}

// Start starts the process. It returns an error if the process is already running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is already running", p.Name)
	}
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process must not outlive the test
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.frozen = cmd, ended, false
	p.starts++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.cmd, p.exitErr = nil, err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when the process has ended. It does nothing if the
// process is not running.
func (p *Process) signal(s syscall.Signal) (ended <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	p.frozen = s == syscall.SIGSTOP || p.frozen && s != syscall.SIGCONT && s != syscall.SIGKILL
	_ = p.cmd.Process.Signal(s) // fails only if the process has just ended
	return p.ended
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() { <-p.signal(syscall.SIGKILL) }

// Freeze stops the process with SIGSTOP; its sockets stay open.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw continues a frozen process.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Reload sends SIGHUP, on which the process reads its settings again.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// RequestExit sends SIGTERM without waiting.
func (p *Process) RequestExit() { p.signal(syscall.SIGTERM) }

// Terminate sends SIGTERM, thawing the process first, and waits until it has ended. It returns the exit error. When ctx ends, it
// kills the process.
func (p *Process) Terminate(ctx context.Context) error {
	p.Thaw()
	ended := p.signal(syscall.SIGTERM)
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitErr
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not exit in time: %w", p.Name, ctx.Err())
	}
}

// Running reports whether the process is running, frozen or not.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Frozen reports whether the process is frozen.
func (p *Process) Frozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// Starts returns how often the process was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// PID returns the process ID, 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// WaitUntil waits until a condition holds, and returns an error that names the condition if ctx ends first.
func WaitUntil(ctx context.Context, what string, holds func() bool) error {
	ticker := time.NewTicker(3 * time.Millisecond) // conditions change within tens of milliseconds
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out waiting: %s", what)
		case <-ticker.C:
		}
	}
	return nil
}

// errClosed is returned by ProxyTo after Close.
var errClosed = errors.New("the cluster is closed")
