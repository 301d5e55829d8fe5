package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// process is a controller, started with the run command of the deploy file.
type process struct {
	name, logFile string
	command       *exec.Cmd
	ended         chan struct{}
}

// runCommand returns the run command of the deploy file.
func (t *trial) runCommand() string {
	text, err := os.ReadFile(filepath.Join(t.root, "deploy", "balancer.toml"))
	t.require(err == nil, "deploy file: %v", err)
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "run = \""); found {
			command, _, _ := strings.Cut(rest, "\"")
			return command
		}
	}
	panic(unable("the deploy file has no run command"))
}

// startController starts a controller with the settings in a file. It does not wait until it is ready.
func (t *trial) startController(name, settings string) *process {
	return t.startProcess(name, "COPPERROCK_SETTINGS="+settings)
}

// startPlatformController starts a controller with a configuration of the platform.
func (t *trial) startPlatformController(name, config string) *process {
	return t.startProcess(name, "LB_CONFIG="+config)
}

// startProcess starts a controller with a variable in its environment.
func (t *trial) startProcess(name, variable string) *process {
	p := &process{name: name, logFile: filepath.Join(t.folder, name+"-"+time.Now().Format("150405.000")+".log"), ended: make(chan struct{})}
	out, err := os.Create(p.logFile)
	t.require(err == nil, "log: %v", err)
	p.command = exec.Command("/bin/sh", "-c", t.runCommand())
	p.command.Dir, p.command.Stdout, p.command.Stderr = t.root, out, out
	for _, inherited := range os.Environ() {
		if !strings.HasPrefix(inherited, "LB_") && !strings.HasPrefix(inherited, "COPPERROCK_") {
			p.command.Env = append(p.command.Env, inherited)
		}
	}
	p.command.Env = append(p.command.Env, variable)
	t.mu.Lock()
	if t.stopped {
		t.mu.Unlock()
		panic(unable("stopped"))
	}
	err = p.command.Start()
	t.processes = append(t.processes, p)
	t.mu.Unlock()
	t.require(err == nil, "start %s: %v", name, err)
	go func() {
		_ = p.command.Wait()
		_ = out.Close()
		close(p.ended)
	}()
	t.log("started %s", name)
	return p
}

// signal sends a signal to a controller.
func (t *trial) signal(p *process, s syscall.Signal) {
	t.log("%s gets %v", p.name, s)
	_ = p.command.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.command.Process == nil {
		return
	}
	select {
	case <-p.ended:
		return
	default:
	}
	_ = p.command.Process.Kill()
	<-p.ended
}

// hasEnded reports whether the process has ended within a time.
func (p *process) hasEnded(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// hasLogged reports whether the log of the process contains a text.
func (p *process) hasLogged(text string) bool {
	content, _ := os.ReadFile(p.logFile)
	return strings.Contains(string(content), text)
}

// tool runs one of the operator's commands of the program and returns what it printed.
func (t *trial) tool(args ...string) (string, error) {
	command := exec.Command(filepath.Join(t.root, "bin", "copperrock"), args...)
	command.Dir = t.root
	out, err := command.CombinedOutput()
	t.log("copperrock %s: %s (%v)", strings.Join(args, " "), strings.TrimSpace(string(out)), err)
	return string(out), err
}

// ready waits until the controller at an address answers a ping with true, and reports whether it did.
func (t *trial) ready(address string, within time.Duration) bool {
	return t.wait(within, func() bool {
		c, err := dialClient(t, "front", address)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			return false
		}
		defer c.close()
		return c.ping()
	})
}
