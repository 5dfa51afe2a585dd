package gateway

import "testing"

// Guards against forwarding what does not continue a stream (check ORDER): text that looks
// like an event, and events that the caller has.
func TestCheckResumed(t *testing.T) {
	for _, c := range []struct {
		name, events, after string
		continues           bool
	}{
		{"next events", "id: 3\ndata: a\n\nid: 4\ndata: b\n\n", "2", true},
		{"stride", "id: 5\ndata: a\n\n", "2", true},
		{"line feeds of both kinds", "id: 3\r\ndata: a\r\n\r\nid: 4\ndata: b\n\n", "2", true},
		{"comments", ": wait\n\nid: 3\ndata: a\n\n", "2", true},
		{"IDs that are no numbers", "id: b\ndata: a\n\n", "a", true},
		{"nothing yet", "", "2", true},
		{"without an ID", "error: out of memory\n\n", "2", false},
		{"from the start", "id: 1\ndata: a\n\n", "2", false},
		{"repeated", "id: 3\ndata: a\n\nid: 3\ndata: a\n\n", "2", false},
		{"the last one again", "id: b\ndata: a\n\n", "b", false},
	} {
		if err := checkResumed([]byte(c.events), c.after); (err == nil) != c.continues {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
