package capacity

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// countingTable is an in-memory table service that counts calls. Keys are kept
// sorted, so that range reads add little to the measured CPU time.
type countingTable struct {
	mu             sync.Mutex
	rows           map[string]platform.Row
	keys           []string
	revision       uint64
	reads, commits int
}

func newCountingTable() *countingTable { return &countingTable{rows: map[string]platform.Row{}} }

// Read implements platform.Table.
func (t *countingTable) Read(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row := t.rows[key]
	row.Key = key
	return row, nil
}

// Range implements platform.Table.
func (t *countingTable) Range(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	var rows []platform.Row
	for _, key := range t.keys[start:] {
		if !strings.HasPrefix(key, prefix) || len(rows) == limit {
			break
		}
		if key > after {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Commit implements platform.Table.
func (t *countingTable) Commit(_ context.Context, conditions []platform.Condition, writes []platform.Write) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	for _, condition := range conditions {
		if t.rows[condition.Key].Revision != condition.Revision {
			return 0, &platform.ConflictError{Keys: []string{condition.Key}}
		}
	}
	t.revision++
	for _, write := range writes {
		t.write(write)
	}
	return t.revision, nil
}

func (t *countingTable) write(write platform.Write) {
	at, found := slices.BinarySearchFunc(t.keys, write.Key, cmp.Compare[string])
	if write.Delete {
		delete(t.rows, write.Key)
		if found {
			t.keys = slices.Delete(t.keys, at, at+1)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, at, write.Key)
	}
	t.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: t.revision}
}
