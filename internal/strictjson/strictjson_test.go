package strictjson

import "testing"

type limits struct {
	Most int `json:"most"`
}

type sample struct {
	Name   string            `json:"name"`
	Limits limits            `json:"limits"`
	Labels map[string]string `json:"labels"`
}

func decodeProblems(t *testing.T, text string) map[string]string {
	t.Helper()
	var into sample
	found := map[string]string{}
	for _, p := range Decode([]byte(text), &into) {
		found[p.Pointer] = p.Reason
	}
	return found
}

// Guards against duplicate fields that are accepted with the last value, as
// encoding/json does.
func TestDuplicateFieldsAreRejected(t *testing.T) {
	found := decodeProblems(t, `{"name": "a", "name": "b", "limits": {"most": 1, "most": 2}, "labels": {"x": "1", "x": "2"}}`)
	for _, pointer := range []string{"/name", "/limits/most", "/labels/x"} {
		if found[pointer] != "given more than once" {
			t.Errorf("%s: reason is %q, want \"given more than once\"", pointer, found[pointer])
		}
	}
}

func TestDecodeValidDocument(t *testing.T) {
	found := decodeProblems(t, `{"name": "a", /* comment */ "limits": {"most": 1}, "labels": {"x": "1", "y": "1"},}`)
	if len(found) > 0 {
		t.Errorf("problems %v, want none", found)
	}
}
