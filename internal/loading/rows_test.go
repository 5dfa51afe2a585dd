package loading

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// rowTable is a fake table service with rows set by the test.
type rowTable struct{ rows map[string]platform.Row }

func (t rowTable) Read(_ context.Context, key string) (platform.Row, error) {
	row := t.rows[key]
	row.Key = key
	return row, nil
}

func (t rowTable) Range(_ context.Context, prefix, after string, _ int) ([]platform.Row, error) {
	if row, ok := t.rows[UpstreamKey("u1")]; ok && prefix == UpstreamPrefix && after == "" {
		return []platform.Row{row}, nil
	}
	return nil, nil
}

func (t rowTable) Commit(context.Context, []platform.Condition, []platform.Write) (uint64, error) {
	return 0, &platform.ConflictError{}
}

// TestRefreshStoresChangedRows guards against missing the change of a row, and
// against copying all rows when none has changed, which costs time in proportion to
// the number of upstreams.
func TestRefreshStoresChangedRows(t *testing.T) {
	table := rowTable{rows: map[string]platform.Row{}}
	put := func(revision uint64, state State) {
		value, err := json.Marshal(UpstreamRow{Writer: "w", Reservations: []Reservation{{Weights: Weights{Model: "m"}, State: state}}})
		if err != nil {
			t.Fatal(err)
		}
		table.rows[UpstreamKey("u1")] = platform.Row{Key: UpstreamKey("u1"), Value: value, Revision: revision}
	}
	m := New(Options{
		Table: table, Config: func() *config.Snapshot { return nil }, IsOwner: func(string) bool { return false },
		View: func() *engine.View { return engine.NewView(nil) },
	})
	put(5, StateLoading)
	m.refresh(context.Background())
	first := m.rows
	m.refresh(context.Background())
	if m.rows != first {
		t.Error("the copy was replaced although no row changed")
	}
	put(6, StateLoaded)
	m.refresh(context.Background())
	r, ok := m.rows.Upstreams["u1"].Find(Weights{Model: "m"})
	if !ok || r.State != StateLoaded || r.LoadFence != 6 {
		t.Errorf("reservation %+v after the row changed", r)
	}
	if first.Upstreams["u1"].Reservations[0].State != StateLoading {
		t.Error("an earlier copy was changed")
	}
}
