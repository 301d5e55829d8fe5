// Command casework plays one case of the review: it starts controllers as the deploy file says, and engines and clients that
// follow the operators' pages. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseRun is one run of a case.
type caseRun struct {
	trouble bool
	folder  string // temporary
	start   time.Time
	engines []*engine

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

type process struct {
	c        *caseRun
	name     string
	settings string // file
	log      string // file
	cmd      *exec.Cmd
	ended    chan struct{}
}

var cases = map[string]func(*caseRun) (broken bool){}

// The processes end with the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "casework CASE RECORD")
		os.Exit(2)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", folder: folder, start: time.Now(), record: record}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		c.unable("stopped from outside")
	}()
	time.AfterFunc(115*time.Second, func() { c.unable("takes over 115 s") })
	c.note("case %s, disruption: %v", os.Args[1], c.trouble)
	if cases[os.Args[1]](c) {
		c.note("BROKEN")
		c.exit(1)
	}
	c.note("held")
	c.exit(0)
}

// note writes a line to the record.
func (c *caseRun) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// unable ends the case because it couldn't run.
func (c *caseRun) unable(format string, args ...any) {
	c.note("COULDN'T RUN: "+format, args...)
	c.exit(2)
}

func (c *caseRun) must(err error) {
	if err != nil {
		c.unable("%v", err)
	}
}

func (c *caseRun) exit(code int) {
	c.mu.Lock()
	for _, p := range c.procs {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range c.procs {
		if text, err := os.ReadFile(p.log); err == nil {
			fmt.Fprintf(c.record, "--- log of %s\n%s", p.name, text)
		}
	}
	c.record.Close()
	os.RemoveAll(c.folder)
	os.Exit(code)
}

// freeAddress returns a loopback address on which nobody listens.
func (c *caseRun) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.must(err)
	defer l.Close()
	return l.Addr().String()
}

// controller prepares a controller with the given settings.
func (c *caseRun) controller(name, settings string) *process {
	p := &process{c: c, name: name, settings: filepath.Join(c.folder, name+".jsonc"), log: filepath.Join(c.folder, name+".log")}
	c.write(p.settings, settings)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.procs = append(c.procs, p)
	return p
}

// write replaces a file at once.
func (c *caseRun) write(file, text string) {
	c.must(os.WriteFile(file+".new", []byte(text), 0o600))
	c.must(os.Rename(file+".new", file))
}

// run starts the process with the command of the deploy file.
func (p *process) run() {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.c.must(err)
	cmd := exec.Command("/bin/sh", "-c", "exec bin/copperrock")
	cmd.Env = append(os.Environ(), "COPPERROCK_SETTINGS="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.c.must(cmd.Start())
	log.Close()
	ended := make(chan struct{})
	p.c.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.c.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	p.c.note("%s starts", p.name)
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.c.note("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// terminate sends SIGTERM and waits for the end.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	<-p.ended
	p.c.note("%s has ended", p.name)
}

// kill kills the process.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// says reports whether the log of the process has a line with all the texts.
func (p *process) says(texts ...string) bool {
	log, _ := os.ReadFile(p.log)
	for line := range strings.Lines(string(log)) {
		all := true
		for _, t := range texts {
			all = all && strings.Contains(line, t)
		}
		if all {
			return true
		}
	}
	return false
}

// command runs a command of the program and returns what it prints.
func (c *caseRun) command(args ...string) string {
	out, err := exec.Command("bin/copperrock", args...).CombinedOutput()
	if err != nil {
		c.note("copperrock %s: %v %s", strings.Join(args, " "), err, out)
	}
	return string(out)
}

// wait waits until the condition holds.
func (c *caseRun) wait(what string, timeout time.Duration, holds func() bool) {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.unable("not within %v: %s", timeout, what)
		}
	}
	c.note("now: %s", what)
}
