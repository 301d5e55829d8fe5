package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/config/platform"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/discovery"
	"copperrock.example/copperrock/internal/fleet"
	"copperrock.example/copperrock/internal/harness/testutil"
	"copperrock.example/copperrock/internal/storage/requestlog"
)

const root = "../../../"

// docs/settings.md is what the declarations say. UPDATE=1 writes it anew.
func TestDocumentation(t *testing.T) {
	page := filepath.Join(root, "docs/settings.md")
	want := `# Settings

The operator's own file: JSON with comments and last commas, named by ` + "`--settings FILE`" + ` or the variable
` + "`COPPERROCK_SETTINGS`" + `. It is read strictly: what is not known, stands there twice, is of another type or out of range is
refused, all faults in one go. ` + "`copperrock check FILE`" + ` tells them without a start; ` + "`deploy/example.jsonc`" + ` is one that works.

Where a platform tells the program what to do (` + "`LB_CONFIG`" + `), that holds for all that this file leaves out; what stands in this
file goes first. A ` + "`deployment`" + ` given here replaces the platform's whole. This page is written from the declarations in
` + "`internal/config/operator`" + ` and ` + "`internal/discovery`" + `.
` + schema.Markdown(Describe(fleetSection, storeSection)) + `
# The list of engines

The file that ` + "`engines.file`" + ` names; ` + "`docs/operators/engines-file.md`" + ` tells how it is followed.
` + schema.Markdown(discovery.Describe())
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("docs/settings.md is not what the declarations say; UPDATE=1 writes it anew:\n%s", diff)
	}
}

// The files under deploy/ work.
func TestExamples(t *testing.T) {
	s, err := Read(filepath.Join(root, "deploy/example.jsonc"), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, s.EngineFile.File))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := discovery.Parse(s.EngineFile.File, text, s.EngineFile.Bounds()); err != nil {
		t.Fatal(err)
	}
	for file, more := range map[string]Section{"store.jsonc": storeSection, "fleet.jsonc": fleetSection} {
		if _, err := Read(filepath.Join(root, "deploy", file), nil, more); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

const least = `{"listen": "127.0.0.1:0", "engines": {"file": "e"}, "deployment": {"kinds": [{"name": "k", "cores": 4, "memory_mb": 100}],
"types": [{"name": "lookup", "repeat": "restartable", "sla": 1, "job_timeout": 2}]}}`

// What a slip of the hand is told.
func TestFaults(t *testing.T) {
	var lines []string
	for _, c := range [][2]string{
		{"", ""}, {`"listen"`, `"lisen"`}, {"restartable", "pura"}, {`"sla": 1`, `"sla": 1, "value": -1`}, {`"sla": 1`, `"sla": 3`},
		{"restartable", "keyed"}, {`"name": "lookup"`, `"name": "ping"`}, {`"name": "lookup"`, `"name": "a,b"`},
		{`"sla": 1`, `"sla": 1, "zones": ["north"]`}, {`"listen": "127.0.0.1:0"`, `"listen": "here"`},
		{`"engines": {"file": "e"}, `, ``}, {`"file": "e"`, `"file": "e", "copy": "e"`}, {`{"listen": "127.0.0.1:0", `, `{`},
		{`"deployment"`, `"deploymint"`}, {`"engines": {`, `"log": {"level": "loud", "burst": 0}, "machine": {"memory_mb": 8}, "engines": {`},
		{`"kinds"`, `"gateways": 2, "index": 2, "kinds"`}, {`"cores": 4`, `"cores": 0`},
		{`"types": [{"name": "lookup", "repeat": "restartable", "sla": 1, "job_timeout": 2}]`, `"types": []`},
		{`"job_timeout": 2}`, `"job_timeout": 2}, {"name": "lookup", "repeat": "run_once", "sla": 1, "job_timeout": 2}`},
	} {
		_, err := Parse("s.jsonc", []byte(strings.Replace(least, c[0], c[1], 1)), nil)
		lines = append(lines, c[0]+" -> "+c[1])
		if err == nil {
			lines = append(lines, "  good")
			continue
		}
		for _, line := range strings.Split(err.Error(), "\n") {
			lines = append(lines, "  "+line)
		}
	}
	testutil.CheckTrace(t, lines)
}

// Over the platform, the file's word goes first and all else is the platform's; without a file nothing changes.
func TestOverPlatform(t *testing.T) {
	set, err := deployment.ParseJSON([]byte(`{"classes":[{"name":"lookup","repeat":"pure","objective":1,"give-up":2}],"areas":["x"]}`))
	if err != nil {
		t.Fatal(err)
	}
	platform := platform.Config{Name: "n3", Listen: "127.0.0.1:9", ChannelAddress: "127.0.0.1:8", Seed: 7, MemoryMB: 64, MaxDescriptors: 256, Settings: set}
	alone := FromPlatform(platform)
	if diff := cmp.Diff(platform, alone.Config); diff != "" {
		t.Error(diff)
	}
	over, err := Parse("s", []byte(`{"name": "mine", "machine": {"sockets": 128}, "clients": {"first_message": 30}}`), &platform)
	if err != nil {
		t.Fatal(err)
	}
	want := platform
	want.Name, want.MaxDescriptors = "mine", 128
	if diff := cmp.Diff(want, over.Config); diff != "" {
		t.Error(diff)
	}
	if over.Limits.FirstMessageTimeout != 30 || over.Limits.ClientIdleTimeout != alone.Limits.ClientIdleTimeout || over.Limits.MaxClientConns >= alone.Limits.MaxClientConns {
		t.Errorf("limits %+v", over.Limits)
	}
	whole, err := Parse("s", []byte(least), &platform)
	if err != nil || whole.Settings.Classes[0] != "lookup" || len(whole.Settings.Zones) != 0 {
		t.Errorf("%v, %+v", err, whole)
	}
}

// storeSection is declared as the program does it.
var storeSection = Section{Name: "store", Text: requestlog.Description, Declare: func(_ *Settings, o *schema.Object) any {
	opts := &requestlog.Options{}
	opts.Declare(o)
	return opts
}}

// fleetSection is declared as the program does it.
var fleetSection = Section{Name: "fleet", Text: fleet.SectionText, Declare: func(_ *Settings, o *schema.Object) any {
	f := &fleet.Options{}
	f.Declare(o)
	return f
}}
