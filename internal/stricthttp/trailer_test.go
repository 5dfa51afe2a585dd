package stricthttp

import (
	"errors"
	"net/http"
	"testing"
)

// Guards against a malformed trailer that passes, and against a sound one that does not.
func TestCheckTrailer(t *testing.T) {
	for name, sound := range map[string]bool{"X-Even": true, "X Odd": false, "X-Odd ": false, "": false, "X\x01Odd": false} {
		err := CheckTrailer(http.Header{name: {"1"}})
		var malformed *MalformedError
		if errors.As(err, &malformed) == sound {
			t.Errorf("field %q: %v", name, err)
		}
	}
}
