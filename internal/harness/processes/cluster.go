package processes

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"copperrock.example/copperrock/internal/harness/faultproxy"
	"golang.org/x/sync/errgroup"
)

// Cluster owns processes and the relays between parties, and ends them all. Parties are named; a relay carries what
// one party sends to another.
type Cluster struct {
	Folder string // for logs and settings
	Seed   uint64

	mu        sync.Mutex
	processes map[string]*Process
	proxies   map[[2]string]*faultproxy.Proxy
	closed    bool
}

// New makes a fleet without any party.
func New(folder string, seed uint64) *Cluster {
	return &Cluster{Folder: folder, Seed: seed, processes: map[string]*Process{}, proxies: map[[2]string]*faultproxy.Proxy{}}
}

// Add takes in a process, not yet started; its log is in the fleet's folder.
func (f *Cluster) Add(name, path string, args, env []string) *Process {
	p := &Process{Name: name, Path: path, Args: args, Env: env, LogFile: filepath.Join(f.Folder, name+".log")}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return p
}

// Process finds one by name, nil for none.
func (f *Cluster) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// Names lists the processes.
func (f *Cluster) Names() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.processes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ProxyTo makes the relay over which one party reaches another at its address, or finds it and turns it there.
func (f *Cluster) ProxyTo(from, to, address string) (*faultproxy.Proxy, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, errClosed
	}
	key := [2]string{from, to}
	if r := f.proxies[key]; r != nil {
		r.SetTarget(address)
		return r, nil
	}
	r, err := faultproxy.New(from+">"+to, address, f.Seed+uint64(len(f.proxies)))
	if err == nil {
		f.proxies[key] = r
	}
	return r, err
}

// Proxy finds the relay from one party to another, nil for none.
func (f *Cluster) Proxy(from, to string) *faultproxy.Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proxies[[2]string{from, to}]
}

// SetLinks sets all links between two groups of parties, in both directions of dialling; "*" is everyone.
func (f *Cluster) SetLinks(some, others []string, l faultproxy.Link) {
	in := func(name string, of []string) bool { return slices.Contains(of, "*") || slices.Contains(of, name) }
	back := l
	back.BlockForward, back.BlockBackward = l.BlockBackward, l.BlockForward
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, r := range f.proxies {
		switch from, to := key[0], key[1]; {
		case in(from, some) && in(to, others):
			r.SetLink(l)
		case in(from, others) && in(to, some):
			r.SetLink(back)
		}
	}
}

// Isolate sets all links of a party.
func (f *Cluster) Isolate(name string, l faultproxy.Link) {
	f.SetLinks([]string{name}, []string{"*"}, l)
}

// Start starts the named processes side by side.
func (f *Cluster) Start(names ...string) error {
	var group errgroup.Group
	for _, name := range names {
		p := f.Process(name)
		if p == nil {
			return fmt.Errorf("no process %q", name)
		}
		group.Go(p.Start)
	}
	return group.Wait()
}

// Terminate asks all processes to end, and kills those that have not once ctx ends.
func (f *Cluster) Terminate(ctx context.Context) error {
	var group errgroup.Group
	for _, name := range f.Names() {
		if p := f.Process(name); p.Running() {
			group.Go(func() error { return p.Terminate(ctx) })
		}
	}
	return group.Wait()
}

// Close kills what runs and ends the relays.
func (f *Cluster) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	var all sync.WaitGroup
	for _, name := range f.Names() {
		all.Go(f.Process(name).Kill)
	}
	all.Wait()
	f.mu.Lock()
	relays := f.proxies
	f.proxies = map[[2]string]*faultproxy.Proxy{}
	f.mu.Unlock()
	for _, r := range relays {
		all.Go(r.Close)
	}
	all.Wait()
}

// Tail is the end of a process's log, for what a test says when it fails.
func (f *Cluster) Tail(name string, most int) string {
	text, err := os.ReadFile(filepath.Join(f.Folder, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-most, 0):])
}
