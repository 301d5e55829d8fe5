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

// docs/settings.md must match the declarations; UPDATE=1 rewrites it.
func TestDocumentation(t *testing.T) {
	page := filepath.Join(root, "docs/settings.md")
	want := `# Settings

The operator's settings are a file of JSON with comments and trailing commas, named by ` + "`--settings FILE`" + ` or the environment
variable ` + "`COPPERROCK_SETTINGS`" + `. Unknown and duplicate settings, wrong types and values out of range are errors, which are all
reported at once. ` + "`copperrock check FILE`" + ` reports them without starting the program; ` + "`deploy/example.jsonc`" + ` is a working example.

If a platform starts the program (` + "`LB_CONFIG`" + `), its configuration supplies the settings that this file does not have. A
` + "`deployment`" + ` in this file replaces that of the platform as a whole. This page is generated from the declarations in
` + "`internal/config/operator`" + ` and ` + "`internal/discovery`" + `.
` + schema.Markdown(Describe(fleetSection, storeSection)) + `
# The list of engines

The file that ` + "`engines.file`" + ` names; ` + "`docs/operators/engines-file.md`" + ` describes how its changes are applied.
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
		t.Errorf("docs/settings.md does not match the declarations (-want +got); UPDATE=1 rewrites it:\n%s", diff)
	}
}

// The examples under deploy/ are valid.
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

// minimalSettings has only the required settings.
const minimalSettings = `{"listen": "127.0.0.1:0", "engines": {"file": "e"}, "deployment": {"kinds": [{"name": "k", "cores": 4, "memory_mb": 100}],
"types": [{"name": "lookup", "repeat": "restartable", "sla": 1, "job_timeout": 2}]}}`

// Typical mistakes are reported with their position and reason.
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
		_, err := Parse("s.jsonc", []byte(strings.Replace(minimalSettings, c[0], c[1], 1)), nil)
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

// The operator's file overrides the platform's configuration, which supplies the other settings. Without a file, the platform's
// configuration is used unchanged.
func TestFileOverridesPlatform(t *testing.T) {
	settings, err := deployment.ParseJSON([]byte(`{"classes":[{"name":"lookup","repeat":"pure","objective":1,"give-up":2}],"areas":["x"]}`))
	if err != nil {
		t.Fatal(err)
	}
	platform := platform.Config{Name: "n3", Listen: "127.0.0.1:9", ChannelAddress: "127.0.0.1:8", Seed: 7, MemoryMB: 64, MaxDescriptors: 256, Settings: settings}
	withoutFile := FromPlatform(platform)
	if diff := cmp.Diff(platform, withoutFile.Config); diff != "" {
		t.Errorf("without a file (-want +got):\n%s", diff)
	}
	overridden, err := Parse("s", []byte(`{"name": "mine", "machine": {"sockets": 128}, "clients": {"first_message": 30}}`), &platform)
	if err != nil {
		t.Fatal(err)
	}
	want := platform
	want.Name, want.MaxDescriptors = "mine", 128
	if diff := cmp.Diff(want, overridden.Config); diff != "" {
		t.Errorf("with a file (-want +got):\n%s", diff)
	}
	if overridden.Limits.FirstMessageTimeout != 30 || overridden.Limits.ClientIdleTimeout != withoutFile.Limits.ClientIdleTimeout || overridden.Limits.MaxClientConns >= withoutFile.Limits.MaxClientConns {
		t.Errorf("got limits %+v, want FirstMessageTimeout 30, ClientIdleTimeout as in %+v, and fewer MaxClientConns", overridden.Limits, withoutFile.Limits)
	}
	replaced, err := Parse("s", []byte(minimalSettings), &platform)
	if err != nil || replaced.Settings.Classes[0] != "lookup" || len(replaced.Settings.Zones) != 0 {
		t.Errorf("got error %v and settings %+v, want class lookup and no zones", err, replaced)
	}
}

// storeSection is the section that the program declares for the store.
var storeSection = Section{Name: "store", Text: requestlog.Description, Declare: func(_ *Settings, o *schema.Object) any {
	options := &requestlog.Options{}
	options.Declare(o)
	return options
}}

// fleetSection is the section that the program declares for the fleet.
var fleetSection = Section{Name: "fleet", Text: fleet.SectionText, Declare: func(_ *Settings, o *schema.Object) any {
	options := &fleet.Options{}
	options.Declare(o)
	return options
}}
