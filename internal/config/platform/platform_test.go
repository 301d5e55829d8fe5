package platform

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"copperrock.example/copperrock/internal/config/deployment"
)

// Each field of the platform's configuration is read from its key.
func TestReadEveryField(t *testing.T) {
	file := filepath.Join("testdata", "Config.json")
	got, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := deployment.ParseJSON([]byte(`{"group-size": 3, "areas": ["east"], "classes": [{"name": "lookup", "repeat": "pure", "give-up": 2}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := Config{
		File: file, Name: "n1", Listen: "127.0.0.1:7000", ChannelAddress: "127.0.0.1:7001", Seed: 0x1f, MemoryMB: 64, MaxDescriptors: 384, LastEvent: 7,
		Events: []json.RawMessage{
			json.RawMessage(`{"cursor": 6, "other": {}}`),
			json.RawMessage(`{"cursor": 7, "nodes": {"whole": true, "hosts": []}}`),
		},
		Settings: settings,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
	if len(got.Settings.Classes) != 1 || got.Settings.Classes[0] != "lookup" {
		t.Errorf("got classes %v, want [lookup]", got.Settings.Classes)
	}
}
