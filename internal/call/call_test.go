package call

import (
	"slices"
	"testing"
)

// Guards against taking the segment that belongs to one request alone for a shared one.
func TestSharedSegmentsLeaveOutTheLast(t *testing.T) {
	for _, c := range []struct {
		segments []PromptSegment
		shared   []string
	}{
		{nil, nil},
		{[]PromptSegment{{ID: "own"}}, nil},
		{[]PromptSegment{{ID: "a"}, {ID: "b"}, {ID: "own"}}, []string{"a", "b"}},
	} {
		request := Request{PromptSegments: c.segments}
		if shared := request.SharedSegments(); !slices.Equal(shared, c.shared) {
			t.Errorf("segments %v: shared %v, want %v", c.segments, shared, c.shared)
		}
	}
}
