package main

import (
	"time"
)

func init() { cases["order-across-teams"] = teamsAndOrder }

// teamsAndOrder sends two keyed loads with one order key while the team of the first one has filled its budget. The first
// load that the controller took has to go first.
func teamsAndOrder(t *trial) {
	e := t.startEngine("e-1")
	listen := t.address()
	file := t.write("g-1.jsonc", settings("g-1", listen, t.write("engines.jsonc", engineList(1, e)), 1,
		`"requests": {"team": "team", "key": "lookup"}`,
		`"teams": {"default": "rest", "budgets": [{"name": "rest"}, {"name": "members", "running": 4}, {"name": "analysts", "running": 4}]}`))
	t.startController("g-1", file)
	t.require(t.ready(listen, 10*time.Second), "g-1 is not ready")
	members, analysts := t.dial("members", listen), t.dial("analysts", listen)
	var all []*request
	if t.trouble { // the team floods
		for range 8 {
			all = append(all, members.send("report", "select * from sales_3.orders /* ms=3000 */", 30*time.Second, "team", "members"))
		}
		t.require(t.wait(2*time.Second, func() bool { return e.inFlight() == 4 }), "the team's reports do not run")
	}
	// Each load waits for the one before it to be taken: the controller has answered a ping that came after it.
	first := members.send("press-load", "insert into sales_7.orders values (1) /* first, ms=500 */", 30*time.Second,
		"team", "members", "lookup", "000000000000a007", "replay", "mark-first")
	t.require(members.ping(), "no answer to a ping")
	time.Sleep(200 * time.Millisecond)
	second := analysts.send("press-load", "insert into sales_7.orders values (2) /* second, ms=500 */", 30*time.Second,
		"team", "analysts", "lookup", "000000000000a007", "replay", "mark-second")
	all = append(all, first, second)
	for _, r := range all {
		r.wait(30 * time.Second)
	}
	one, two := with("first,", e), with("second,", e)
	if len(one) > 0 && len(two) > 0 && two[0].at.Before(one[len(one)-1].over) {
		t.breaks("the second load of the key came to the engine %.2f s before the first one, which was taken before it, was over",
			one[len(one)-1].over.Sub(two[0].at).Seconds())
	}
	t.require(len(one) > 0 && len(two) > 0, "a load was not sent")
}
