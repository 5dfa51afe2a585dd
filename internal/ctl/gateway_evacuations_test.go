package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/gateway"
)

// Guards against evacuations, or requests still running there, that the command leaves out.
func TestEvacuationsCommand(t *testing.T) {
	state := gateway.State{Host: "front-1", Evacuations: []gateway.EvacuationDump{
		{DataCenter: "z0", KnownForMS: 1500, LastUseMS: 500, Running: map[string]int{"e2": 1, "e1": 3}}, {DataCenter: "z1", KnownForMS: 9000},
	}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(state) // the test reads it
	}))
	defer server.Close()
	var out, errors strings.Builder
	if code := Run([]string{"evacuations", strings.TrimPrefix(server.URL, "http://")}, &out, &errors); code != 0 {
		t.Fatalf("code %d: %s", code, errors.String())
	}
	var lines []string
	for line := range strings.Lines(out.String()) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	want := []string{
		"HOST DATA CENTRE KNOWN FOR LAST USE UPSTREAM REQUESTS",
		"front-1 z0 1.5 s 0.5 s e1 3", "front-1 z0 1.5 s 0.5 s e2 1", "front-1 z1 9.0 s 0.0 s - 0",
	}
	if strings.Join(lines, "\n") != strings.Join(want, "\n") {
		t.Errorf("printed:\n%s", out.String())
	}
}
