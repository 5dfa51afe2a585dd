package quota

import (
	"slices"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
)

// Guards against stale home slots and lenders after a configuration change that moved
// slots or changed their number, and against deriving them anew at every change.
func TestSlotAssignmentFollowsConfiguration(t *testing.T) {
	m := startedManager(t, clock.NewFake(testStart), "a", testSnapshot(t, 1, nil))
	lenders := func() []hostShare { return m.table.Load().workspaces["w"].lenders }
	first := m.assignment
	m.Apply(testSnapshot(t, 2, func(doc *config.Document) {
		doc.Workspaces["w"] = config.Workspace{RateTokensPerS: 50, BurstTokens: 500}
	}))
	if m.assignment != first {
		t.Error("a change of a rate created a new slot assignment")
	}
	m.Apply(testSnapshot(t, 3, func(doc *config.Document) {
		doc.Hosts["b"] = config.Host{Address: "127.0.0.1:2", Slots: []int{2}}
		doc.Hosts["c"] = config.Host{Address: "127.0.0.1:3", Slots: []int{3}}
	}))
	if want := []hostShare{{"b", 0.25}, {"c", 0.25}}; !slices.Equal(lenders(), want) {
		t.Errorf("lenders %v after a slot moved, want %v", lenders(), want)
	}
	m.Apply(testSnapshot(t, 4, func(doc *config.Document) { doc.Quota = config.Quota{Slots: 4, SlotsPerWorkspace: 2} }))
	if home := m.table.Load().workspaces["w"].homeSlots; len(home) != 2 {
		t.Errorf("home slots %v, want 2", home)
	}
	for _, lender := range lenders() {
		if lender.share != 0.5 && lender.share != 1 {
			t.Errorf("lender %+v after the number of home slots changed", lender)
		}
	}
}
