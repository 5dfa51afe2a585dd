package ctl

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a host list decoder that ignores misspelt field names: the stand-in
// would serve upstreams of an unknown kind, which hosts ignore.
func TestHostListIsStrict(t *testing.T) {
	file := filepath.Join(t.TempDir(), "hosts.json")
	if err := os.WriteFile(file, []byte(`[{"address": "127.0.0.1:1", "kinds": "engine"}]`), 0o600); err != nil {
		t.Fatal(err)
	}
	var invalid *HostListError
	if _, err := readHostList(file); !errors.As(err, &invalid) {
		t.Errorf("error is %v, want *HostListError", err)
	}
	var missing *FileError
	if _, err := readHostList(file + "x"); !errors.As(err, &missing) {
		t.Errorf("error is %v, want *FileError", err)
	}
}
