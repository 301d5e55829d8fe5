package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// A request that is bound to a zone does not go to the process of another zone's engine that has taken over the address of one
// that has gone, while the list still has both. Guards against a new process that is taken for the old one.
func TestPlacementAfterAddressTakenOver(t *testing.T) {
	x := testutil.NewTrace(t)
	settings := strings.NewReplacer(`"areas":["east"]`, `"areas":["east","west"]`, `"name":"lookup",`, `"name":"lookup","stays-in":["east"],`).Replace(deploymentText)
	e := x.StartEngine("engine", ":0")
	c := startControllerWithSettings(x, settings, nil, e.Addr().String())
	c.sendUntilDispatched(e, 1, "lookup")
	e.SendAnswer(1, testutil.RequestID(1), "data", "chunks=1", "a\tb\tc\n")
	c.client.ReadAnswer()
	c.events++
	c.channel.SendLine(fmt.Sprintf(`{"cursor":%d,"nodes":{"whole":false,"hosts":[{"host":"t-0","dial":"%s","site":"west","class":"std","block":0,`+
		`"health":"in_service","share":1,"born_ms":1000}]}}`, c.events, e.Addr().String()))
	c.waitFor("the new engine", func() bool { return slices.Contains(c.gateway.ReadyEndpoints(), "t-0") })
	c.client.SendRequest(2, "lookup", 600, "select * from sales_2.t")
	e.ExpectCommands(1) // the connection to the old engine ends, and nothing else arrives
	c.client.ReadAnswer()
	if n := e.UnreadCommands(); n > 0 {
		t.Errorf("the engine of another zone got %d commands", n)
	}
	x.Check()
}
