package deployment

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

func addresses(n int) []HostAddress {
	list := make([]HostAddress, n)
	for i := range list {
		list[i] = HostAddress{Address: fmt.Sprintf("127.0.0.1:%d", 7001+i), PeerAddress: fmt.Sprintf("127.0.0.1:%d", 8001+i)}
	}
	return list
}

// Guards against generated deployments that differ in size from their shape, have an
// invalid document or are not reproducible from the seed.
func TestGenerateDeploymentSizes(t *testing.T) {
	for _, shape := range []Shape{SeedOffice(), Tuulgan()} {
		d := Generate(shape, 1, addresses(shape.Hosts))
		if len(d.Document.Models) != shape.Models || len(d.Document.Adapters) != shape.Adapters || len(d.Engines) != shape.Engines {
			t.Fatalf("%s: %d models, %d adapters, %d engines", shape.Name, len(d.Document.Models), len(d.Document.Adapters), len(d.Engines))
		}
		if problems := config.Validate(d.Document); problems != nil {
			t.Fatalf("%s: %+v", shape.Name, problems)
		}
		if again := Generate(shape, 1, addresses(shape.Hosts)); !reflect.DeepEqual(again, d) {
			t.Fatalf("%s: the same seed gave a different deployment", shape.Name)
		}
	}
}

// Guards against slots that are assigned to no host or to several, and against
// keys that do not authenticate their workspace.
func TestGenerateSlotsAndKeys(t *testing.T) {
	shape := SeedOffice()
	d := Generate(shape, 2, addresses(shape.Hosts))
	owners := map[int]int{}
	for _, host := range d.Document.Hosts {
		for _, slot := range host.Slots {
			owners[slot]++
		}
	}
	for slot := range shape.Slots {
		if owners[slot] != 1 {
			t.Fatalf("slot %d has %d owners", slot, owners[slot])
		}
	}
	snapshot, err := config.NewSnapshot(0, d.Document)
	if err != nil {
		t.Fatal(err)
	}
	for workspace, keys := range d.CallerKeys {
		for _, key := range keys {
			if ref, ok := snapshot.LookupKey(key); !ok || ref.Workspace != workspace {
				t.Fatalf("key of workspace %s resolves to %+v", workspace, ref)
			}
		}
	}
}
