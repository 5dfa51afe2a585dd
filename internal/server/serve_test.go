package server

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/cli"
)

func writeFile(t *testing.T, directory, name, text string) string {
	t.Helper()
	file := filepath.Join(directory, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against settings that "check" accepts although the bootstrap document is
// invalid, so that the host waits for a configuration forever.
func TestInvalidBootstrapIsRefused(t *testing.T) {
	directory := t.TempDir()
	writeFile(t, directory, "credential.txt", "c")
	writeFile(t, directory, "config.json", `{"deployment": "x", "operators": {}}`)
	file := writeFile(t, directory, "host.jsonc", `{
		"host": "h1", "data_center": "dc1", "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
		"platform": "127.0.0.1:1", "bootstrap_config": "config.json", "upstream_credential_file": "credential.txt",
	}`)
	for _, command := range []string{"check", "serve"} {
		var out bytes.Buffer
		if code := Run([]string{command, file}, &out, &out); code != cli.ExitError {
			t.Errorf("%s: exit code %d", command, code)
		}
		if !strings.Contains(out.String(), "config.json: operators: at least one operator") {
			t.Errorf("%s printed %q", command, out.String())
		}
	}
}
