package config_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
)

// FuzzDecode guards against input that makes Decode panic, and against a canonical
// form that does not decode to the same document.
func FuzzDecode(f *testing.F) {
	seed, err := configtest.Document().Canonical()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"quota":{"slots":1e3}, /* */ "hosts":{"":{"slots":[-0]}},}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := config.Decode(data)
		if err != nil {
			return
		}
		config.Validate(doc)
		first, err := doc.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		again, err := config.Decode(first)
		if err != nil {
			t.Fatalf("canonical form %s is rejected: %v", first, err)
		}
		if second, _ := again.Canonical(); !bytes.Equal(first, second) {
			t.Fatalf("canonical form changed from %s to %s", first, second)
		}
	})
}

// FuzzApplyPatch guards against patches that cause a panic, modify the base
// document, result in an invalid document, or give another result at a follower.
func FuzzApplyPatch(f *testing.F) {
	for _, seed := range []string{
		`[{"op":"replace","path":"/models/m1/max_replicas","value":5}]`,
		`[{"op":"add","path":"/hosts/h1/slots/-","value":1},{"op":"remove","path":"/hosts/h1/slots/0"}]`,
		`[{"op":"move","from":"/adapters/a1","path":"/adapters/a2"},{"op":"copy","from":"/models","path":"/models/x"}]`,
		`[{"op":"add","path":"","value":{"a":1}},{"op":"test","path":"/a~1b~0","value":null}]`,
		`[{"op":"test","path":"/stopped_hosts","value":[]},{"op":"replace","path":"/stopped_hosts","value":null},{"op":"add","path":"/stopped_hosts/0","value":1}]`,
	} {
		f.Add([]byte(seed))
	}
	base, err := config.NewSnapshot(1, configtest.Document())
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, patch []byte) {
		next, err := config.ApplyPatch(base.Document, patch)
		if hash, _ := base.Document.Hash(); hash != base.Hash {
			t.Fatal("the base document changed")
		}
		whole, wholeErr := config.ApplyUnscoped(base.Document, patch)
		if err != nil {
			return
		}
		if wholeErr != nil || !bytes.Equal(canonical(t, whole), canonical(t, next)) {
			t.Fatalf("the patch gives another result when applied to the whole document, error %v", wholeErr)
		}
		if problems := config.Validate(next); len(problems) > 0 {
			t.Fatalf("accepted an invalid document: %v", problems)
		}
		hash, _ := next.Hash()
		if _, err := config.ApplyAccepted(base, 2, patch, hash); err != nil {
			t.Fatalf("ApplyAccepted rejected the patch: %v", err)
		}
		versions := []config.VersionPatch{{Number: 2, Patch: json.RawMessage(patch)}}
		if _, err := config.Blame(base.Document, versions, "/hosts/h1/slots/0"); err != nil {
			t.Fatalf("Blame cannot replay the patch: %v", err)
		}
	})
}
