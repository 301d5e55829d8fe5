package main

import (
	"fmt"
	"time"
)

func init() { cases["10"] = ordersOfOneWrite }

// ordersOfOneWrite has a client send two keyed loads with one order key in one write, for each of some keys. They have to run in
// the order in which they were written.
func ordersOfOneWrite(t *trial) {
	const keys = 12
	e := t.startEngine("e-1")
	listen := t.address()
	file := t.write("g-1.jsonc", settings("g-1", listen, t.write("engines.jsonc", engineList(1, e)), 1, `"requests": {"key": "lookup"}`))
	t.startController("g-1", file)
	t.require(t.ready(listen, 10*time.Second), "g-1 is not ready")
	client := t.dial("client", listen)
	var all []*request
	for key := range keys {
		load := func(n int) *request {
			return client.prepare("press-load", fmt.Sprintf("insert into sales_%d.orders values (%d) /* key %d load %d, ms=100 */", key+1, n, key, n), 20*time.Second,
				"lookup", fmt.Sprintf("%016x", 0xa000+key), "replay", fmt.Sprintf("mark-%d-%d", key, n))
		}
		first, second := load(1), load(2)
		if t.trouble {
			client.flush(first, second)
		} else { // the second one is sent when the first has been taken for certain
			client.flush(first)
			t.require(client.ping(), "no answer to a ping")
			time.Sleep(20 * time.Millisecond)
			client.flush(second)
		}
		all = append(all, first, second)
		time.Sleep(50 * time.Millisecond)
	}
	for _, r := range all {
		r.wait(20 * time.Second)
	}
	reversed := 0
	for key := range keys {
		one, two := with(fmt.Sprintf("key %d load 1,", key), e), with(fmt.Sprintf("key %d load 2,", key), e)
		if len(one) > 0 && len(two) > 0 && two[0].at.Before(one[len(one)-1].over) {
			reversed++
		}
	}
	if reversed > 0 {
		t.breaks("of %d pairs of loads with one key, %d ran with the second before the first", keys, reversed)
	}
}
