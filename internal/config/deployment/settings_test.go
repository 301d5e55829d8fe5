package deployment

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"copperrock.example/copperrock/internal/harness/testutil"
)

// Lines of text and JSON decode to the same settings.
func TestLinesAndJSONDecodeEqually(t *testing.T) {
	lines := `allowed.cancel=true
allowed.conn-idle=15.0
allowed.connect-timeout=0.25
allowed.max-open=20000
allowed.max-retry-after=2.0
allowed.may-duplicate=true
allowed.probing=true
allowed.retry-after=true
allowed.streams-per-conn=32
allowed.try-limit=3
areas=north_room,south-room
classes.count=2
classes.0.aim-stretch=1.5
classes.0.give-up=2.5
classes.0.name=lookup
classes.0.objective=0.5
classes.0.repeat=pure
classes.0.stays-in=north_room
classes.0.worth=1.0
classes.1.give-up=25.0
classes.1.fifo-by-key=true
classes.1.group=cell
classes.1.host-types-open=
classes.1.name=load
classes.1.repeat=token
contract.stop-sending-within=1.0
family-info.dop=1,2
family-info.grants=true
family-info.kind-cores=16,8
family-info.ram-of-kind-mb=32768.0,16384.0
family-info.writes-tables=false,true
group-size=3
host-types=std-16,std-8
index=2
report.fields=busy_reqs,x0
tenants.count=1
tenants.0.name=acme
tenants.0.quota-rps=107.5
unknown.key=9
zone=1
`
	nested := `{"allowed":{"cancel":true,"conn-idle":15.0,"connect-timeout":0.25,"max-open":20000,"max-retry-after":2.0,
"may-duplicate":true,"probing":true,"retry-after":true,"streams-per-conn":32,"try-limit":3},
"areas":["north room","south-room"],"classes":[{"aim-stretch":1.5,"give-up":2.5,"name":"lookup","objective":0.5,
"repeat":"pure","stays-in":["north room"],"worth":1.0,"window":null},{"give-up":25.0,"fifo-by-key":true,
"group":"cell","host-types-open":[],"name":"load","repeat":"token"}],"contract":{"stop-sending-within":1.0},
"family-info":{"dop":[1,2],"grants":true,"kind-cores":[16,8],"ram-of-kind-mb":[32768.0,16384.0],
"writes-tables":[false,true]},"group-size":3,"host-types":["std-16","std-8"],"index":2,
"report":{"fields":["busy_reqs","x0"]},"tenants":[{"name":"acme","quota-rps":107.5}],"unknown":{"key":9},"zone":1}`
	got, err := ParseJSON([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	want := ParseLines(lines)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("JSON instead of lines (-want +got):\n%s", diff)
	}
	if len(want.Admission.Classes) != 2 || want.Admission.TenantQuotas[0] != 107.5 || want.ClassTimeouts[1] != 25 {
		t.Errorf("got %+v, want 2 classes, a timeout of 25 for the second, and a quota of 107.5 for the first tenant", want)
	}
}

// An invalid setting is reported with its path. Unknown, missing and null settings are ignored.
func TestFaults(t *testing.T) {
	const valid = `{"areas":["east"],"host-types":["std"],"allowed":{"cancel":true,"try-limit":3},"contract":{"fall":2},` +
		`"classes":[{"name":"lookup","give-up":2,"repeat":"pure","group":"all","host-types-open":["std"],"stays-in":["east"]}],` +
		`"family-info":{"dop":[1],"ram-of-kind-mb":[32768]},"tenants":[{"name":"acme","quota-rps":5}]}`
	var lines []string
	for _, c := range [][2]string{{"", ""}, {`"try-limit":3`, `"try-limit":"three"`}, {`"cancel":true`, `"cancel":"yes"`}, {`"cancel":true`, `"cancel":null`},
		{`"fall":2`, `"fall":-2`}, {`"fall":2`, `"fall":2,"odd":-1`}, {`"give-up":2`, `"give-up":"NaN"`}, {`"pure"`, `"maybe"`}, {`"group":"all"`, `"group":"rack"`},
		{`["std"],"stays-in"`, `["huge"],"stays-in"`}, {`["std"],"stays-in"`, `["huge","std"],"stays-in"`}, {`"stays-in":["east"]`, `"stays-in":["west"]`},
		{`"dop":[1]`, `"dop":["one"]`}, {`[32768]`, `[32768,"much"]`}, {`"quota-rps":5`, `"quota-rps":{}`}, {`"allowed"`, `"unheard_of":7,"allowed"`}} {
		_, err := ParseJSON([]byte(strings.Replace(valid, c[0], c[1], 1)))
		lines = append(lines, fmt.Sprintf("%s: %v", c[1], err))
	}
	testutil.CheckTrace(t, lines)
}

func FuzzJSON(f *testing.F) {
	f.Add([]byte(`{"classes":[{"name":"a"},3],"areas":[],"index":1e99,"family-info":{"dop":["x",null]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if settings, err := ParseJSON(text); err != nil && settings.Admission.GatewayCount != 0 {
			t.Fatalf("got settings in addition to the error %v", err)
		}
	})
}
