package main

import (
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Another customer's settings: an idempotent class whose repeats engines drop by key, requests ordered by key, tenants
// with quotas, progress notes, and load reports inside answers. Fields sent by clients are passed on to engines unchanged.
func TestAnotherCustomer(t *testing.T) {
	x := testutil.NewTrace(t)
	e := x.StartEngine("engine", ":0")
	settings := strings.NewReplacer(`"name":"load"`, `"name":"post","group":"all","window":30,"fifo-by-key":true`, `"repeat":"side_effect"`, `"repeat":"token"`,
		`"group-size":1`, `"group-size":1,"over-share-worth":0.1,"tenants":[{"name":"acme","quota-rps":10},{"name":"initech","quota-rps":5}],`+
			`"report":{"fields":["x0"],"how":"inline"}`).Replace(deploymentText)
	c := startControllerWithSettings(x, settings, nil, e.Addr().String())
	send := func(id int, more map[string]string) {
		fields := map[string]string{"ref": testutil.RequestID(id), "allow": "60000", "effort": "820.0", "need_mb": "96", "project": "initech"}
		for name, value := range more {
			fields[name] = value
		}
		x.Recordf("client: job %d %v", id, more)
		c.client.Send(0, id, "post", []any{fields, []byte("insert into sales_7.t values (1)")})
	}
	key := "65bd2afa0a9f91585d509c3ea1e4a08a"
	send(1, map[string]string{"replay": key, "lookup": "0003b48559dfc319"})
	e.ExpectCommands(1)
	send(2, map[string]string{"replay": key[1:], "lookup": "0003b48559dfc319"}) // queued behind request 1: same ordered key
	send(3, map[string]string{"replay": key[2:], "lookup": "0009bfb836cc5f1f"})
	e.ExpectCommands(1)
	e.SendAnswer(1, testutil.RequestID(1), "news", "note=pct,amount=0.5", "")
	e.SendAnswer(1, testutil.RequestID(1), "failed", "load=x0:0.5") // may have run: sent again under the same idempotency key
	e.ExpectCommands(1)
	e.SendAnswer(2, testutil.RequestID(1), "data", "chunks=1,spent=820,wanted=96,load=x0:0.25", "a\tb\tc\n")
	c.client.ReadAnswer()
	e.ExpectCommands(1) // request 2, the next with that ordered key
	for _, bad := range []string{"a,reserve=1", "a b", "a\r\nb", strings.Repeat("x", 200), "\xff"} {
		send(4, map[string]string{"replay": bad})
		c.client.ReadAnswer()
	}
	c.Check()
}
