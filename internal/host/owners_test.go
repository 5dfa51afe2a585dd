package host

import (
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

// Guards against a stale cached owner after the live hosts have changed.
func TestOwnersFollowLiveHosts(t *testing.T) {
	var o owners
	for _, live := range [][]string{{"a", "b", "c"}, {"a", "b", "c"}, {"a", "c"}, {"a", "b", "c", "d"}} {
		for _, model := range []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"} {
			if got, want := o.owner(model, live), rendezvous.Owner(model, live); got != want {
				t.Errorf("owner of %s among %v is %q, want %q", model, live, got, want)
			}
		}
	}
}
