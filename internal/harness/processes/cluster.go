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

// Cluster owns a set of processes and the proxies between named parties. A party is a process or anything else that dials through
// a proxy; each proxy carries the connections that one party opens to another.
type Cluster struct {
	Folder string // for log files and settings
	Seed   uint64 // of the proxies

	mu        sync.Mutex                      // guards the fields below
	processes map[string]*Process             // by name
	proxies   map[[2]string]*faultproxy.Proxy // by the names of the dialing and the dialed party
	closed    bool
}

// New returns a cluster without processes and proxies.
func New(folder string, seed uint64) *Cluster {
	return &Cluster{Folder: folder, Seed: seed, processes: map[string]*Process{}, proxies: map[[2]string]*faultproxy.Proxy{}}
}

// Add adds a process without starting it. Its log file is in the cluster's folder.
func (c *Cluster) Add(name, path string, args, env []string) *Process {
	p := &Process{Name: name, Path: path, Args: args, Env: env, LogFile: filepath.Join(c.Folder, name+".log")}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
	return p
}

// Process returns the process with the given name, or nil.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// Names returns the names of all processes, sorted.
func (c *Cluster) Names() (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.processes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ProxyTo returns the proxy through which one party reaches another at the given address. It creates the proxy if there is none,
// and otherwise changes its target to the address.
func (c *Cluster) ProxyTo(from, to, address string) (*faultproxy.Proxy, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	key := [2]string{from, to}
	if p := c.proxies[key]; p != nil {
		p.SetTarget(address)
		return p, nil
	}
	p, err := faultproxy.New(from+">"+to, address, c.Seed+uint64(len(c.proxies)))
	if err == nil {
		c.proxies[key] = p
	}
	return p, err
}

// Proxy returns the proxy for connections from one party to another, or nil.
func (c *Cluster) Proxy(from, to string) *faultproxy.Proxy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proxies[[2]string{from, to}]
}

// SetLinks sets the links of all proxies between two groups of parties, whichever group dials. Forward is the direction from the
// first group to the second. "*" stands for all parties.
func (c *Cluster) SetLinks(group, peers []string, l faultproxy.Link) {
	contains := func(group []string, name string) bool {
		return slices.Contains(group, "*") || slices.Contains(group, name)
	}
	reversed := l
	reversed.BlockForward, reversed.BlockBackward = l.BlockBackward, l.BlockForward
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.proxies {
		switch from, to := key[0], key[1]; {
		case contains(group, from) && contains(peers, to):
			p.SetLink(l)
		case contains(peers, from) && contains(group, to):
			p.SetLink(reversed)
		}
	}
}

// Isolate sets the links of all proxies from and to a party.
func (c *Cluster) Isolate(name string, l faultproxy.Link) {
	c.SetLinks([]string{name}, []string{"*"}, l)
}

// Start starts the named processes concurrently.
func (c *Cluster) Start(names ...string) error {
	var group errgroup.Group
	for _, name := range names {
		p := c.Process(name)
		if p == nil {
			return fmt.Errorf("no process %q", name)
		}
		group.Go(p.Start)
	}
	return group.Wait()
}

// Terminate asks all running processes to exit and waits for them. When ctx ends, it kills those that are still running.
func (c *Cluster) Terminate(ctx context.Context) error {
	var group errgroup.Group
	for _, name := range c.Names() {
		if p := c.Process(name); p.Running() {
			group.Go(func() error { return p.Terminate(ctx) })
		}
	}
	return group.Wait()
}

// Close kills all running processes and closes all proxies.
func (c *Cluster) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	var all sync.WaitGroup
	for _, name := range c.Names() {
		all.Go(c.Process(name).Kill)
	}
	all.Wait()
	c.mu.Lock()
	proxies := c.proxies
	c.proxies = map[[2]string]*faultproxy.Proxy{}
	c.mu.Unlock()
	for _, p := range proxies {
		all.Go(p.Close)
	}
	all.Wait()
}

// Tail returns up to maxBytes from the end of a process's log, for failure messages of tests.
func (c *Cluster) Tail(name string, maxBytes int) string {
	text, err := os.ReadFile(filepath.Join(c.Folder, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-maxBytes, 0):])
}
