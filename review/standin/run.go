//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case: its record, its temporary folder and the processes that it has started.
type run struct {
	trouble bool
	folder  string // temporary
	command string // "run" of the deploy file
	start   time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	processes []*process
	flushedAt float64
}

func newRun(recordFile string, trouble bool) (*run, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindSubmatch(deploy)
	if match == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, folder: folder, command: string(match[1]), start: time.Now(), record: bufio.NewWriter(file), file: file}
	r.note("case", "trouble: %v", trouble)
	return r, nil
}

// seconds returns the time since the start of the run.
func (r *run) seconds() float64 { return time.Since(r.start).Seconds() }

// note writes a line to the record: the time since the start, who saw it, and what.
func (r *run) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.4f %-10s %s\n", r.seconds(), who, fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
	if r.seconds() > r.flushedAt+1 {
		r.flushedAt = r.seconds()
		_ = r.record.Flush()
	}
	if who == "verdict" {
		fmt.Print(line)
	}
}

func (r *run) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.folder)
}

// process is a process of the project's program.
type process struct {
	run     *run
	name    string
	env     []string
	command string
	logFile string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// program returns a process that is not started yet.
func (r *run) program(name string, env ...string) *process {
	p := &process{run: r, name: name, env: env, command: r.command, logFile: filepath.Join(r.folder, name+".log")}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, p)
	return p
}

// startProcess starts the process as the platform does, from the root of the repository.
func (p *process) startProcess() error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	temporary, err := os.MkdirTemp(p.run.folder, "tmp")
	if err != nil {
		return err
	}
	p.cmd = exec.Command("/bin/sh", "-c", p.command)
	p.cmd.Env = append(os.Environ(), append([]string{"TMPDIR=" + temporary}, p.env...)...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		p.run.note(p.name, "process %d ended: %v", cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}(p.cmd, p.ended)
	p.run.note(p.name, "process %d started", p.cmd.Process.Pid)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.run.note(p.name, "gets the signal %v", s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// running reports whether the process is running.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// log returns the lines of the process's log that contain a text.
func (p *process) log(text string) (lines []string) {
	content, _ := os.ReadFile(p.logFile)
	for _, line := range strings.Split(string(content), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// endAll ends all processes and copies the ends of their logs to the record.
func (r *run) endAll() {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		if p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			p.kill()
		}
	}
	const most = 60 // lines of each log
	for _, p := range processes {
		content, _ := os.ReadFile(p.logFile)
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		for _, line := range lines[max(len(lines)-most, 0):] {
			r.note(p.name, "log: %s", line)
		}
	}
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// waitFor waits until a condition holds.
func (r *run) waitFor(what string, timeout time.Duration, holds func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("waited %v in vain: %s", timeout, what)
}

// jobID returns the id of the n-th job.
func jobID(n int) string { return fmt.Sprintf("%016x", 0x5eed000000000000+n) }

// numberIn returns the number behind NAME= in a text, and 0 if there is none.
func numberIn(text, name string) float64 {
	_, rest, found := strings.Cut(text, name+"=")
	if !found {
		return 0
	}
	end := strings.IndexFunc(rest, func(c rune) bool { return (c < '0' || c > '9') && c != '.' })
	if end >= 0 {
		rest = rest[:end]
	}
	v, _ := strconv.ParseFloat(rest, 64)
	return v
}
