package lease

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/table"
)

// The table service may come back from an older copy of its content, in a new generation. The
// lease row is then an older one, and its revisions are assigned again: a write that was sent
// in the generation before may find the revision that it expects. So the first holder of each
// generation also creates a marker row for it and rewrites the markers of the generations
// before. All writes expect the marker of their generation unchanged, so that none of an earlier
// generation succeeds after the first one of a later generation.

const (
	// markerPrefix begins the keys of the markers.
	markerPrefix = "generation-"
	// maxRewrittenMarkers bounds the markers of earlier generations that are rewritten. Writes
	// are late by seconds, not by generations.
	maxRewrittenMarkers = 8
)

// MarkerKey returns the key of the row that shows that the lease was written in a generation.
func MarkerKey(generation int64) string { return markerPrefix + strconv.FormatInt(generation, 10) }

// snapshot is the content of the lease table at one position.
type snapshot struct {
	table.Position
	row     table.Row   // the lease row; revision 0: missing
	markers []table.Row // newest generation last
}

func newSnapshot(page table.Page) snapshot {
	s := snapshot{Position: page.Position, row: table.Row{Key: Key}}
	for _, row := range page.Rows {
		switch {
		case row.Key == Key:
			s.row = row
		case strings.HasPrefix(row.Key, markerPrefix):
			s.markers = append(s.markers, row)
		}
	}
	slices.SortFunc(s.markers, func(a, b table.Row) int {
		return cmp.Or(cmp.Compare(len(a.Key), len(b.Key)), cmp.Compare(a.Key, b.Key))
	})
	return s
}

// restored reports whether no holder has written the lease in this generation, so that the row,
// or its absence, stems from the copy from which the table service came back.
func (s snapshot) restored() bool {
	return s.Generation != 0 && !slices.ContainsFunc(s.markers, s.isCurrent)
}

func (s snapshot) isCurrent(marker table.Row) bool { return marker.Key == MarkerKey(s.Generation) }

// writes returns a write of the lease row that succeeds if the snapshot is still current.
func (s snapshot) writes(value []byte) []table.Write {
	writes := []table.Write{{Key: Key, Expected: s.row.Revision, Value: value}}
	if s.Generation == 0 {
		return writes
	}
	if at := slices.IndexFunc(s.markers, s.isCurrent); at >= 0 {
		return append(writes, table.Write{Key: s.markers[at].Key, Expected: s.markers[at].Revision})
	}
	writes = append(writes, table.Write{Key: MarkerKey(s.Generation), Value: []byte("{}")})
	for _, marker := range s.markers[max(0, len(s.markers)-maxRewrittenMarkers):] {
		writes = append(writes, table.Write{Key: marker.Key, Expected: marker.Revision, Value: []byte("{}")})
	}
	return writes
}

// after returns the snapshot after its writes have been applied at a position.
func (s snapshot) after(writes []table.Write, at table.Position) snapshot {
	page := table.Page{Position: at}
	rows := map[string]table.Row{}
	for _, row := range append(slices.Clone(s.markers), s.row) {
		rows[row.Key] = row
	}
	for _, write := range writes {
		if write.Value != nil {
			rows[write.Key] = table.Row{Key: write.Key, Value: write.Value, Revision: at.Revision}
		}
	}
	for _, row := range rows {
		page.Rows = append(page.Rows, row)
	}
	return newSnapshot(page)
}
