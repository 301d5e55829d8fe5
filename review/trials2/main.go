// Command trials2 plays the cases and trials of the second review. Its arguments are the number of a case or the name of a trial, and the file for its record. It starts the project's own
// controllers as separate processes, with the run command of deploy/balancer.toml; engines and clients are small stand-ins
// in this process that follow the pages. All addresses are loopback addresses on free ports, all files but record.txt lie in
// a temporary folder.
//
// Exit code 1 means that the rule was broken, 0 that it held, 2 that the case could not run. With TROUBLE=0 the case does the
// same without the disruption.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// trial is one play of a case.
type trial struct {
	trouble bool   // whether to play the disruption
	root    string // of the repository
	folder  string // temporary folder

	start time.Time

	mu        sync.Mutex
	lines     []string // the record
	broken    []string // breaks of the rule that were seen
	processes []*process
	stops     []func()
	stopped   bool
}

var cases = map[string]func(*trial){}

// unable ends the play because the case could not run.
type unable string

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: trials2 CASE FILE, from the root of the repository: the number of a case or the name of a trial, and the file for the record")
		os.Exit(2)
	}
	number, record := os.Args[1], os.Args[2]
	root, err := os.Getwd()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "trials2-")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	t := &trial{trouble: os.Getenv("TROUBLE") != "0", root: root, folder: folder, start: time.Now()}
	ended := make(chan int, 1)
	go func() { ended <- t.play(cases[number]) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	code := 2
	select {
	case code = <-ended:
	case <-time.After(115 * time.Second):
		t.log("the case took too long")
	case s := <-signals:
		t.log("ended by %v", s)
	}
	t.stop()
	t.logs()
	t.log("exit code %d", code)
	t.mu.Lock()
	text := strings.Join(t.lines, "\n") + "\n"
	t.mu.Unlock()
	if err := os.WriteFile(record, []byte(text), 0o644); err != nil {
		fmt.Println(err)
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// play runs a case and returns the exit code.
func (t *trial) play(run func(*trial)) (code int) {
	defer func() {
		if p := recover(); p != nil {
			reason, ok := p.(unable)
			if !ok {
				panic(p)
			}
			t.log("the case could not run: %s", reason)
			fmt.Println("could not run:", reason)
			code = 2
		}
	}()
	t.log("disruption: %v", t.trouble)
	run(t)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.broken) > 0 {
		fmt.Println("broken:", strings.Join(t.broken, "; "))
		return 1
	}
	fmt.Println("held")
	return 0
}

// now returns the seconds since the start of the play.
func (t *trial) now() float64 { return time.Since(t.start).Seconds() }

// log adds a line to the record.
func (t *trial) log(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, fmt.Sprintf("%8.3f %s", t.now(), fmt.Sprintf(format, args...)))
}

// breaks records that the rule was broken.
func (t *trial) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	t.log("BROKEN: %s", text)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, text)
}

// require ends the play as unable to run unless ok is true.
func (t *trial) require(ok bool, format string, args ...any) {
	if !ok {
		panic(unable(fmt.Sprintf(format, args...)))
	}
}

// wait waits until the condition holds, and reports whether it did within the time.
func (t *trial) wait(within time.Duration, holds func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// stop ends everything that the play has started.
func (t *trial) stop() {
	t.mu.Lock()
	t.stopped = true
	processes, stops := t.processes, t.stops
	t.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, stop := range stops {
		stop()
	}
}

// logs adds the logs of the controllers to the record.
func (t *trial) logs() {
	for _, p := range t.processes {
		text, _ := os.ReadFile(p.logFile)
		t.mu.Lock()
		t.lines = append(t.lines, "", "log of "+p.name+":")
		lines := strings.Split(strings.TrimRight(string(text), "\n"), "\n")
		if len(lines) > 200 {
			lines = append(lines[:100:100], append([]string{"..."}, lines[len(lines)-100:]...)...)
		}
		t.lines = append(t.lines, lines...)
		t.mu.Unlock()
	}
}

var (
	portsMu sync.Mutex
	ports   = map[string]bool{}
)

// address returns a free loopback address that was not returned before.
func (t *trial) address() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		t.require(err == nil, "no free port: %v", err)
		a := l.Addr().String()
		_ = l.Close()
		if !ports[a] {
			ports[a] = true
			return a
		}
	}
	panic(unable("no free port"))
}

// write writes a file in the temporary folder, by a rename, and returns its path.
func (t *trial) write(name, text string) string {
	path := filepath.Join(t.folder, name)
	t.require(os.MkdirAll(filepath.Dir(path), 0o755) == nil, "folder of %s", path)
	t.require(os.WriteFile(path+".new", []byte(text), 0o644) == nil, "write %s", path)
	t.require(os.Rename(path+".new", path) == nil, "rename %s", path)
	return path
}
