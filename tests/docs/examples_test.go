package docs

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/experiment"
	"github.com/arbutusbank/arbutusbank/internal/host"
	"github.com/arbutusbank/arbutusbank/internal/loadgen"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/strictjson"
)

func example(name string) string { return filepath.Join(root, "examples", name) }

// decode decodes a sample file of JSON with comments and reports each problem.
func decode(t *testing.T, name string, into any) {
	t.Helper()
	data, err := os.ReadFile(example(name))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range strictjson.Decode(data, into) {
		t.Errorf("%s: %s: %s", name, p.Pointer, p.Reason)
	}
}

func sampleDocument(t *testing.T) *config.Document {
	t.Helper()
	data, err := os.ReadFile(example("config.json"))
	if err != nil {
		t.Fatal(err)
	}
	document, err := config.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return document
}

// Guards against a sample host that cannot start, or that is missing from the
// sample configuration.
func TestSampleSettings(t *testing.T) {
	options, err := host.LoadOptions(example("host.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	entry := sampleDocument(t).Hosts[options.Settings.Host]
	if entry.Address != options.Settings.Listen || entry.PeerAddress != options.Settings.PeerListen || entry.DataCenter != options.Settings.DataCenter {
		t.Errorf("the sample configuration has the entry %+v for the sample host, which differs from its settings", entry)
	}
	if options.Bootstrap == nil || options.Credential == "" {
		t.Error("the sample host lacks a bootstrap configuration or a credential")
	}
}

// Guards against pages with an operator key that the sample configuration does
// not accept.
func TestSampleOperatorKey(t *testing.T) {
	if got := sampleDocument(t).Operators["alice"].KeySHA256; got != config.HashKey("sample-operator-key") {
		t.Errorf("hash of the sample operator key is %s", got)
	}
}

// Guards against a sample patch that does not apply to the sample configuration.
func TestSamplePatch(t *testing.T) {
	var patch json.RawMessage
	decode(t, "patch.json", &patch)
	next, err := config.ApplyPatch(sampleDocument(t), patch)
	if err != nil {
		t.Fatal(err)
	}
	changes, err := config.Diff(sampleDocument(t), next)
	if err != nil || len(changes) != 2 {
		t.Errorf("the sample patch makes the changes %+v, want 2; error %v", changes, err)
	}
}

// Guards against a sample host list with upstreams of services that are missing
// from the sample configuration.
func TestSampleHostList(t *testing.T) {
	var entries []platform.HostEntry
	decode(t, "hosts.json", &entries)
	document := sampleDocument(t)
	for _, entry := range entries {
		if _, ok := document.Services[entry.Service]; !ok && entry.Kind != platform.KindEntry {
			t.Errorf("entry %+v names an unknown service", entry)
		}
	}
	if len(entries) == 0 {
		t.Error("the sample host list is empty")
	}
}

// Guards against a sample load that plans no requests, or that uses models or
// workspaces that are missing from the sample configuration.
func TestSampleLoad(t *testing.T) {
	file, err := loadgen.ReadFile(example("load.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	document := sampleDocument(t)
	for _, model := range file.Target.Models {
		if _, ok := document.Models[model]; !ok {
			t.Errorf("model %s does not exist", model)
		}
	}
	for workspace := range file.Target.Workspaces {
		if _, ok := document.Workspaces[workspace]; !ok {
			t.Errorf("workspace %s does not exist", workspace)
		}
	}
	arrivals, err := loadgen.Plan(&file.Load, file.Target.Population(), 1)
	if err != nil || len(arrivals) == 0 {
		t.Errorf("%d arrivals, error %v", len(arrivals), err)
	}
}

// Guards against scenario files that the experiment tool rejects.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(root, "scenarios", "*.jsonc"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scenarios, error %v", len(files), err)
	}
	for _, file := range append(files, example("scenario.jsonc")) {
		if _, err := experiment.ReadScenario(file); err != nil {
			t.Error(err)
		}
	}
}
