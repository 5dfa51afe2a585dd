package config_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

func pointersOf(fields []problem.FieldError) []string {
	pointers := []string{}
	for _, field := range fields {
		pointers = append(pointers, field.Pointer)
	}
	return pointers
}

func invalidPointers(t *testing.T, err error) []string {
	t.Helper()
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("error is %v, want *InvalidError", err)
	}
	return pointersOf(invalid.Fields)
}

func canonical(t *testing.T, doc *config.Document) []byte {
	t.Helper()
	data, err := doc.Canonical()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against mistakes in a document that are silently ignored, and against
// errors that report only the first of several problems.
func TestDecodeReportsEveryProblem(t *testing.T) {
	_, err := config.Decode([]byte(`{
		// a comment is fine
		"deployment": null, "Hosts": {}, "quota": {"slots": 1.5, "slots": 64},
		"workspaces": {"a/b": {"rate_tokens_per_s": "much", "key": {}}},
		"operators": [], "stopped_hosts": [1],
	}`))
	want := []string{"/quota/slots", "/Hosts", "/deployment", "/operators", "/stopped_hosts/0", "/workspaces/a~1b/key", "/workspaces/a~1b/rate_tokens_per_s"}
	if got := invalidPointers(t, err); !slices.Equal(got, want) {
		t.Errorf("pointers are %q, want %q", got, want)
	}
	for _, text := range []string{"", "{", "{} {}", "[]", strings.Repeat("[", 1000) + strings.Repeat("]", 1000)} {
		if _, err := config.Decode([]byte(text)); err == nil {
			t.Errorf("%.20q was accepted", text)
		}
	}
}

// Guards against hashes of one document that differ between a host that built it in
// Go and a host that decoded it.
func TestCanonicalRoundTrip(t *testing.T) {
	for _, doc := range []*config.Document{configtest.Document(), {}} {
		data := canonical(t, doc)
		decoded, err := config.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if again := canonical(t, decoded); !bytes.Equal(data, again) {
			t.Errorf("canonical form changed from %s to %s", data, again)
		}
	}
}

// Each case is a document that violates a limit or refers to something that does
// not exist.
func TestValidateReportsProblems(t *testing.T) {
	cases := map[string]string{
		`add /hosts/h1/slots/- 10`:                            "/hosts/h2/slots/0",
		`add /hosts/h1/slots/- 60`:                            "/hosts/h1/slots/10",
		`add /hosts/h1/slots/- -1`:                            "/hosts/h1/slots/10",
		`replace /hosts/h2/address "127.0.0.1:7001"`:          "/hosts/h2/address",
		`replace /hosts/h2/address "[::ffff:127.0.0.1]:7001"`: "/hosts/h2/address",
		`replace /hosts/h1/peer_address "127.0.0.1:7002"`:     "/hosts/h2/address",
		`replace /hosts/h1/address "localhost:7001"`:          "/hosts/h1/address",
		`add /stopped_hosts/- "127.0.0.1:7001"`:               "/stopped_hosts/0",
		`replace /adapters/a1/model "m2"`:                     "/adapters/a1/model",
		`replace /models/m1/service "ledger"`:                 "/models/m1/service",
		`replace /models/m1/service "none"`:                   "/models/m1/service",
		`replace /models/m1/max_replicas 0`:                   "/models/m1/max_replicas",
		`add /models/m1/min_replicas 3`:                       "/models/m1/min_replicas",
		`add /models/a:b {"service":"assistant","bytes":1,"version":"1","max_replicas":1,"load_ms":1}`: "/models/a:b",
		`add /workspaces/w1/models/- "m9"`:                                                           "/workspaces/w1/models/1",
		`add /workspaces/w1/services/- "*"`:                                                          "/workspaces/w1/services/1",
		`replace /workspaces/w1/rate_tokens_per_s -1`:                                                "/workspaces/w1/rate_tokens_per_s",
		`replace /workspaces/w1/priority "urgent"`:                                                   "/workspaces/w1/priority",
		`add /workspaces/w1/isolation {"mode":"maybe"}`:                                              "/workspaces/w1/isolation/mode",
		`add /workspaces/w1/keys/k2 {"sha256":"` + config.HashKey(configtest.CallerKey("w2")) + `"}`: "/workspaces/w2/keys/k1/sha256",
		`add /workspaces/w1/keys/k2 {"sha256":"` + config.HashKey(configtest.OperatorKey) + `"}`:     "/workspaces/w1/keys/k2/sha256",
		`add /workspaces/w1/keys/k2 {"sha256":"` + strings.ToUpper(config.HashKey("x")) + `"}`:       "/workspaces/w1/keys/k2/sha256",
		`remove /operators/alice`:                                                                    "/operators",
		`replace /services/ledger/routes/0/path "/a/*/b"`:                                            "/services/ledger/routes/0/path",
		`replace /services/ledger/routes/0/path "/a/../b"`:                                           "/services/ledger/routes/0/path",
		`add /services/ledger/routes/- {"method":"GET","path":"/drawers/1","idempotent":false}`:      "/services/ledger/routes/3",
		`add /services/ledger/routes/0/open true`:                                                    "/services/ledger/routes/0/open",
		`add /services/assistant/routes [{"method":"GET","path":"/x","idempotent":true}]`:            "/services/assistant/routes",
		`add /open_routes/- {"service":"ledger","method":"POST","path":"/withdrawals"}`:              "/open_routes/1",
		`add /open_routes/- {"service":"ledger","method":"GET","path":"/none"}`:                      "/open_routes/1",
		`add /open_routes/- {"service":"assistant","method":"GET","path":"/x"}`:                      "/open_routes/1/service",
		`replace /defaults/deadline_ms 120001`:                                                       "/defaults/deadline_ms",
		`replace /defaults/claim_retention_s 119`:                                                    "/defaults/claim_retention_s",
		`replace /weight_store/loads_per_s 0`:                                                        "/weight_store/loads_per_s",
		`replace /quota/slots_per_workspace 61`:                                                      "/quota/slots_per_workspace",
		`replace /deployment "other"`:                                                                "/deployment",
		`replace /quota/slots 61`:                                                                    "/quota/slots",
	}
	for change, want := range cases {
		next, err := config.ApplyPatch(configtest.Document(), patchOf(change))
		if next != nil || !slices.Contains(invalidPointers(t, err), want) {
			t.Errorf("%s: error is %v, want a problem at %s", change, err, want)
		}
	}
	if _, err := config.Parse(canonical(t, configtest.Document())); err != nil {
		t.Errorf("valid document has problems: %v", err)
	}
	if _, err := config.Parse([]byte(`{}`)); !slices.Contains(invalidPointers(t, err), "/operators") {
		t.Errorf("empty document gives %v", err)
	}
}

// patchOf converts "op pointer value" to a patch with one operation.
func patchOf(change string) []byte {
	parts := strings.SplitN(change+" ", " ", 3)
	value := strings.TrimSpace(parts[2])
	if value == "" {
		return fmt.Appendf(nil, `[{"op":%q,"path":%q}]`, parts[0], parts[1])
	}
	return fmt.Appendf(nil, `[{"op":%q,"path":%q,"value":%s}]`, parts[0], parts[1], value)
}

// Guards against two processes that spend the same quota slots, one at the old and
// one at the new address of a host.
func TestHostWithSlotsMovesOnlyWhenStopped(t *testing.T) {
	move := `{"op":"replace","path":"/hosts/h1/address","value":"127.0.0.1:7101"}`
	if _, err := config.ApplyPatch(configtest.Document(), []byte(`[`+move+`]`)); !slices.Equal(invalidPointers(t, err), []string{"/hosts/h1/address"}) {
		t.Errorf("moved with slots: %v", err)
	}
	for _, also := range []string{`{"op":"add","path":"/stopped_hosts/-","value":"127.0.0.1:7001"}`, `{"op":"replace","path":"/hosts/h1/slots","value":[]}`} {
		if _, err := config.ApplyPatch(configtest.Document(), []byte(`[`+move+`,`+also+`]`)); err != nil {
			t.Errorf("with %s: %v", also, err)
		}
	}
}

// Guards against a patch whose first operations take effect although a later one
// fails, and against errors that do not identify the failing operation.
func TestPatchIsAtomic(t *testing.T) {
	doc := configtest.Document()
	before := canonical(t, doc)
	patch := `[{"op":"replace","path":"/models/m1/max_replicas","value":5},
		{"op":"test","path":"/deployment","value":"test"},
		{"op":"replace","path":"/models/m7/max_replicas","value":5},
		{"op":"remove","path":"/models/m8"}]`
	_, err := config.ApplyPatch(doc, []byte(patch))
	if got := invalidPointers(t, err); !slices.Equal(got, []string{"/models/m7/max_replicas"}) || !strings.Contains(err.Error(), "operation 2 (replace)") {
		t.Errorf("error is %v", err)
	}
	if after := canonical(t, doc); !bytes.Equal(before, after) {
		t.Error("a rejected patch changed the document")
	}
	for _, patch := range []string{``, `{}`, `[]`, `[1]`, `[{"op":"add","value":1}]`, `[{"op":"add","path":"x","value":1}]`,
		`[{"op":"add","path":"/deployment"}]`, `[{"op":"move","path":"/a"}]`, `[{"op":"rename","path":"/a"}]`, `[{"op":"add","path":"","value":null}]`} {
		if _, err := config.ApplyPatch(doc, []byte(patch)); err == nil {
			t.Errorf("patch %s was accepted", patch)
		}
	}
}

// Guards against followers that apply another document than the accepted one.
func TestApplyAcceptedRequiresTheHash(t *testing.T) {
	base, err := config.NewSnapshot(4, configtest.Document())
	if err != nil {
		t.Fatal(err)
	}
	patch := patchOf(`replace /models/m1/max_replicas 7`)
	next, err := config.ApplyPatch(base.Document, patch)
	if err != nil {
		t.Fatal(err)
	}
	hash, _ := next.Hash()
	if applied, err := config.ApplyAccepted(base, 5, patch, hash); err != nil || applied.Version != 5 || applied.Document.Models["m1"].MaxReplicas != 7 {
		t.Errorf("applied %v, error %v", applied, err)
	}
	var mismatch *config.HashMismatchError
	if _, err := config.ApplyAccepted(base, 5, patch, base.Hash); !errors.As(err, &mismatch) {
		t.Errorf("error is %v, want *HashMismatchError", err)
	}
}

// Guards against a diff that, applied as a patch to the first document, does not
// result in the second.
func TestDiffIsAPatch(t *testing.T) {
	a := configtest.Document()
	b, err := config.ApplyPatch(a, []byte(`[{"op":"remove","path":"/adapters/a1"},
		{"op":"add","path":"/workspaces/w3","value":{"rate_tokens_per_s":1,"burst_tokens":1,"models":[],"services":[],"keys":{}}},
		{"op":"replace","path":"/hosts/h1/slots","value":[1]}]`))
	if err != nil {
		t.Fatal(err)
	}
	changes, err := config.Diff(a, b)
	if err != nil || len(changes) != 3 {
		t.Fatalf("changes %v, error %v", changes, err)
	}
	patch, _ := json.Marshal(changes)
	patched, err := config.ApplyPatch(a, patch)
	if err != nil || !bytes.Equal(canonical(t, patched), canonical(t, b)) {
		t.Errorf("patched to %v, error %v", patched, err)
	}
	if same, _ := config.Diff(a, a); len(same) != 0 {
		t.Errorf("a document differs from itself: %v", same)
	}
}

// Guards against attributing a value to a version that changed a neighbouring value,
// only tested the value or set it to the same value, and against missing a version
// that moved or removed it.
func TestBlame(t *testing.T) {
	patches := []string{
		`[{"op":"replace","path":"/models/m1/max_replicas","value":5}]`,                                                // 1
		`[{"op":"add","path":"/stopped_hosts/-","value":"10.0.0.1:1"}]`,                                                // 2
		`[{"op":"add","path":"/stopped_hosts/-","value":"10.0.0.2:1"}]`,                                                // 3
		`[{"op":"test","path":"/models/m1/max_replicas","value":5},{"op":"remove","path":"/adapters/a1"}]`,             // 4
		`[{"op":"replace","path":"/models/m1/max_replicas","value":5}]`,                                                // 5
		`[{"op":"add","path":"/stopped_hosts/0","value":"10.0.0.3:1"}]`,                                                // 6
		`[{"op":"add","path":"/workspaces/w1/weight","value":0},{"op":"replace","path":"/deployment","value":"test"}]`, // 7
		`[{"op":"copy","from":"/workspaces/w1/rate_tokens_per_s","path":"/workspaces/w2/weight"}]`,                     // 8
	}
	var versions []config.VersionPatch
	doc := configtest.Document()
	for i, patch := range patches {
		versions = append(versions, config.VersionPatch{Number: uint64(i + 1), Patch: json.RawMessage(patch)})
		next, err := config.ApplyPatch(doc, []byte(patch))
		if err != nil {
			t.Fatal(err)
		}
		doc = next
	}
	cases := []struct {
		pointer string
		found   bool
		number  uint64
		present bool
		value   string
	}{
		{"/models/m1/max_replicas", true, 1, true, "5"},
		{"/models/m1/load_ms", false, 0, true, "3000"},
		{"/models", true, 1, true, ""},
		{"/stopped_hosts/0", true, 6, true, `"10.0.0.3:1"`},
		{"/stopped_hosts/2", true, 6, true, `"10.0.0.2:1"`},
		{"/adapters/a1/model", true, 4, false, ""},
		{"/workspaces/w1/weight", true, 7, false, ""},
		{"/workspaces/w2/weight", true, 8, true, "2000"},
		{"/nothing", false, 0, false, ""},
		{"", true, 8, true, ""},
	}
	for _, c := range cases {
		got, err := config.Blame(configtest.Document(), versions, c.pointer)
		if err != nil || got.Found != c.found || got.Number != c.number || got.Present != c.present || (c.value != "" && string(got.Value) != c.value) {
			t.Errorf("%q: %+v, error %v", c.pointer, got, err)
		}
	}
	var malformed *config.PointerError
	if _, err := config.Blame(doc, nil, "models"); !errors.As(err, &malformed) {
		t.Errorf("error is %v, want *PointerError", err)
	}
}

// Guards against routes that are open unintentionally and keys that map to the wrong
// workspace.
func TestSnapshotLookups(t *testing.T) {
	snapshot, err := config.NewSnapshot(1, configtest.Document())
	if err != nil {
		t.Fatal(err)
	}
	if ref, ok := snapshot.LookupKey(configtest.CallerKey("w2")); !ok || ref.Workspace != "w2" || ref.KeyID != "k1" {
		t.Errorf("key found %+v, %v", ref, ok)
	}
	if ref, ok := snapshot.LookupKeyHash(config.HashKey(configtest.CallerKey("w1"))); !ok || ref.Workspace != "w1" {
		t.Errorf("hash found %+v, %v", ref, ok)
	}
	if _, ok := snapshot.LookupKey(configtest.OperatorKey); ok {
		t.Error("LookupKey accepted an operator's key")
	}
	if !snapshot.IsOpen("ledger", "GET", "/status") || snapshot.IsOpen("ledger", "GET", "/drawers/1") || snapshot.IsOpen("none", "GET", "/status") {
		t.Error("open routes are wrong")
	}
	if _, ok := snapshot.Document.Services["ledger"].Route("GET", "/drawersX"); ok {
		t.Error("a wildcard route matched a longer path segment")
	}
}
