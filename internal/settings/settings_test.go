package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against error messages that report only the first problem or omit the
// file or the field.
func TestLoadReportsEveryProblem(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.jsonc")
	content := `{
		// comments are allowed
		"host": "", "data_center": "obihiro", "listen": "localhost:7001", "peer_listen": "127.0.0.1:7101",
		"platform": "127.0.0.1:7000", "limits": {"max_connections": 0, "queue_total": 10, "queue_per_workspace": 5},
		"policies": {"quota": "free"},
	}`
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(file)
	if err == nil {
		t.Fatal("Load accepted invalid settings")
	}
	for _, want := range []string{"host: must be set", "listen: must be IP:port", "limits.max_connections: must be greater than 0", "policies.quota: must be one of"} {
		if !strings.Contains(err.Error(), file+": "+want) {
			t.Errorf("missing %q in:\n%v", want, err)
		}
	}
}

// Guards against unknown fields and values of the wrong type that are silently
// ignored.
func TestParseIsStrict(t *testing.T) {
	_, problems := Parse([]byte(`{"hosst": "h1", "log_level": "high", "limits": {"max": 1}, "bootstrap_peers": [7]}`))
	found := map[string]bool{}
	for _, p := range problems {
		found[p.Pointer] = true
	}
	for _, pointer := range []string{"/hosst", "/log_level", "/limits/max", "/bootstrap_peers/0", "/host", "/listen"} {
		if !found[pointer] {
			t.Errorf("no problem reported at %s: %v", pointer, problems)
		}
	}
}

// FuzzParse guards against input that makes the parser panic, and against
// settings that Parse accepts but Validate rejects.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host": "h1", "listen": "127.0.0.1:1"}`))
	f.Add([]byte(`{"limits": null, "address_map": {"a": "b"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := Parse(data)
		if len(problems) == 0 && len(s.Validate()) > 0 {
			t.Errorf("accepted settings have problems: %v", s.Validate())
		}
	})
}
