//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// channel is the platform's command channel.
type channel struct {
	run     *run
	address string

	mu     sync.Mutex
	events []string // the n-th has the number n+1
	peers  map[net.Conn]bool
}

func (r *run) startChannel() (*channel, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &channel{run: r, address: l.Addr().String(), peers: map[net.Conn]bool{}}
	go func() {
		for {
			peer, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(peer)
		}
	}()
	return c, nil
}

// host is an entry of a list of engines.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// publish adds an event.
func (c *channel) publish(whole bool, hosts ...host) {
	list, _ := json.Marshal(hosts)
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.events) + 1
	event := fmt.Sprintf(`{"cursor":%d,"nodes":{"seq":%d,"whole":%v,"hosts":%s}}`, n, n, whole, list)
	c.events = append(c.events, event)
	c.run.note("channel", "event %s", event)
	for peer := range c.peers {
		fmt.Fprintf(peer, "%s\n", event)
	}
}

func (c *channel) serve(peer net.Conn) {
	defer peer.Close()
	line, err := bufio.NewReader(peer).ReadString('\n')
	last := 0
	if _, scanErr := fmt.Sscanf(line, "resume %d", &last); err != nil || scanErr != nil {
		return
	}
	c.mu.Lock()
	for _, event := range c.events[min(last, len(c.events)):] {
		fmt.Fprintf(peer, "%s\n", event)
	}
	c.peers[peer] = true
	c.mu.Unlock()
	for {
		time.Sleep(time.Second)
		c.mu.Lock()
		_, err := fmt.Fprintf(peer, "%d\n", len(c.events))
		if err != nil {
			delete(c.peers, peer)
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// known returns the events so far as the configuration names them.
func (c *channel) known() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(c.events), strings.Join(c.events, ","))
}

// platformController returns a controller with a configuration of the platform. settings is the object "settings".
func (r *run) platformController(name, listen string, c *channel, memoryMB, sockets int, settings string) (*process, error) {
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
"channel":%q,"known":%s,"settings":%s}`, name, listen, memoryMB, sockets, c.address, c.known(), settings)
	file := filepath.Join(r.folder, name+".json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	return r.program(name, "LB_NAME="+name, "LB_LISTEN="+listen, "LB_CONFIG="+file), nil
}
