package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// startChannel starts a command channel on which nothing changes after the event with number 1, as PROTOCOL.md describes it.
func (t *trial) startChannel() (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	t.require(err == nil, "channel: %v", err)
	t.mu.Lock()
	t.stops = append(t.stops, func() { _ = l.Close() })
	t.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				line, err := bufio.NewReader(c).ReadString('\n')
				t.log("channel: %q", line)
				for err == nil {
					_, err = c.Write([]byte("1\n"))
					time.Sleep(time.Second)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// platformConfig returns a configuration as the platform writes it, for one controller: the classes, kinds and permissions of
// slpa-benchmark, where a controller can't cancel a dispatch.
func (t *trial) platformConfig(name, listen string, sockets int, engines ...*engine) string {
	var hosts []string
	for _, e := range engines {
		hosts = append(hosts, fmt.Sprintf(`{"host": %q, "dial": %q, "site": "room-a", "class": "std-12", "block": 0, "health": "in_service", "share": 1, "born_ms": 0}`, e.name, e.address))
	}
	return fmt.Sprintf(`{"name": %q, "listen": %q, "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": %d},
 "channel": %q,
 "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"seq": 1, "whole": true, "hosts": [%s]}}]},
 "settings": {"group-size": 1, "index": 0, "areas": ["room-a"], "zone": 0, "host-types": ["std-12"],
  "allowed": {"cancel": false, "may-duplicate": true, "probing": true, "retry-after": true, "max-retry-after": 2, "conn-idle": 15,
   "connect-timeout": 0.25, "streams-per-conn": 32, "try-limit": 6, "max-open": 20000},
  "contract": {"stop-sending-within": 0.25},
  "classes": [{"name": "lookup", "repeat": "pure", "objective": 0.3, "aim-stretch": 1.5, "give-up": 1.5, "worth": 1},
   {"name": "report", "repeat": "pure", "objective": 1.5, "aim-stretch": 2.5, "give-up": 20, "worth": 20}],
  "family-info": {"dop": [1, 2], "grants": true, "takes-priority": true, "kind-cores": [12], "ram-of-kind-mb": [32768]}}}
`, name, listen, sockets, t.startChannel(), strings.Join(hosts, ", "))
}
