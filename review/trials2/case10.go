package main

import (
	"fmt"
	"path/filepath"
	"time"
)

func init() { cases["10"] = retryAndOrder }

// retryAndOrder has a client give up a keyed load and try it again later, while a later load with the same order key runs.
// The second try is a request taken later: it has to wait until that load is over.
func retryAndOrder(t *trial) {
	e := t.startEngine("e-1")
	listen := t.address()
	file := t.write("g-1.jsonc", settings("g-1", listen, t.write("engines.jsonc", engineList(1, e)), 1,
		`"requests": {"key": "lookup", "retry": "job"}`,
		fmt.Sprintf(`"store": {"folder": %q}`, filepath.Join(t.folder, "store"))))
	t.startController("g-1", file)
	t.require(t.ready(listen, 10*time.Second), "g-1 is not ready")
	client := t.dial("client", listen)
	key := []string{"lookup", "000000000000a007"}
	send := func(what string) *request {
		return client.send("press-load", "insert into sales_7.orders values (1) /* "+what+" */", 20*time.Second,
			append([]string{"job", "job-" + what[:1], "replay", "mark-" + what[:1]}, key...)...)
	}
	if t.trouble {
		a := send("A, ms=4000")
		t.require(t.wait(2*time.Second, func() bool { return len(with("A,", e)) == 1 }), "A was not sent")
		client.abort(a) // the client stops waiting
		time.Sleep(100 * time.Millisecond)
	}
	b := send("B, ms=4000")
	t.require(t.wait(6*time.Second, func() bool { return len(with("B,", e)) == 1 }), "B was not sent")
	time.Sleep(300 * time.Millisecond)
	again := send("A, ms=500") // its next try, after a wait
	again.wait(20 * time.Second)
	b.wait(20 * time.Second)
	as, bs := with("A,", e), with("B,", e)
	last := as[len(as)-1]
	if last.at.After(bs[0].at) && last.at.Before(bs[0].over) {
		t.breaks("the next try of A, taken after B, came to the engine %.2f s before B was over", bs[0].over.Sub(last.at).Seconds())
	}
}
