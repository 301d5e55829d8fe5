package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["8"] = longKey }

// longKey kills a controller with a store while an engine runs a run-once load, and starts it again. The client's next try has
// the same key of the store, which is longer than 128 bytes. The load must not be dispatched again.
func longKey(t *trial) {
	e := t.startEngine("e-1")
	listen := t.address()
	file := t.write("g-1.jsonc", settings("g-1", listen, t.write("engines.jsonc", engineList(1, e)), 1,
		`"requests": {"retry": "job", "first": "first"}`, fmt.Sprintf(`"store": {"folder": %q}`, filepath.Join(t.folder, "store"))))
	p := t.startController("g-1", file)
	t.require(t.ready(listen, 10*time.Second), "g-1 is not ready")
	// The shop, the press and the batch, and a checksum of the batch, as a client may build it.
	const key = "carolinas/shop-0417/finishing-line-3/batch-2026-12-05T22:30:00Z-000184/sha256-9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	const load = "insert into sales_7.orders values (1) /* ms=3000 */"
	t.log("the key has %d bytes", len(key))
	client := t.dial("client", listen)
	first := client.send("load", load, 20*time.Second, "job", key, "first", "1")
	t.require(t.wait(2*time.Second, func() bool { return e.inFlight() == 1 }), "the load was not sent")
	time.Sleep(time.Second)
	if !t.trouble {
		t.log("first try: %s", first.wait(20*time.Second).word)
		return
	}
	t.signal(p, syscall.SIGKILL)
	t.require(p.hasEnded(6*time.Second), "g-1 has not ended")
	t.log("first try: %s", first.wait(time.Second).word)
	t.startController("g-1", file)
	t.require(t.ready(listen, 10*time.Second), "g-1 is not ready")
	time.Sleep(time.Second) // the client tries again after a wait
	again := t.dial("client", listen).send("load", load, 20*time.Second, "job", key)
	t.log("next try: %s", again.wait(20*time.Second).word)
	if asks := with("sales_7", e); len(asks) > 1 {
		t.breaks("the run-once load, which had been dispatched, was dispatched again %.1f s later under the same key", asks[1].at.Sub(asks[0].at).Seconds())
	}
}
