package ctl

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sampleLog = `   1.2 host-1 {"time":"2026-12-04T09:00:01Z","level":"INFO","msg":"Coordinator contact changed.","host":"host-1","reached":false}
{"time":"2026-12-04T09:00:01.1Z","msg":"Placement decided.","host":"host-2","upstream":"e1","load":"m1"}
{"time":"2026-12-04T09:00:01.2Z","msg":"Placement decided.","host":"host-2","upstream":"e2","load":"m9"}
{"time":"2026-12-04T09:00:01.3Z","msg":"Coordinator contact changed.","host":"host-3","reached":false}
not a line of a host
{"time":"2026-12-04T09:00:02Z","msg":"Request ended.","host":"host-1","request":"r1","model":"m1","upstream":"e1","took_ms":500}
{"time":"2026-12-04T09:00:02Z","msg":"Request ended.","host":"host-1","request":"r2","model":"m1","upstream":"e1","took_ms":500}
{"time":"2026-12-04T09:00:09Z","msg":"Table lost.","host":"host-1","table":"op"}
`

func writeLog(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(file, []byte(sampleLog), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against an explanation that omits the events on the request's host and
// model, or includes those of other hosts, models and requests.
func TestExplainFromLogs(t *testing.T) {
	var output strings.Builder
	if err := explainLogs(&output, "r1", []string{writeLog(t)}); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("printed %q, want the request, its host's event and its model's placement", lines)
	}
	for i, want := range []string{`"reached":false`, `"load":"m1"`, `"request":"r1"`} {
		if !strings.Contains(lines[i], want) {
			t.Errorf("line %d is %q, want %s", i, lines[i], want)
		}
	}
	if !strings.HasPrefix(lines[2], "> ") {
		t.Errorf("the request's line is not marked: %q", lines[2])
	}
}

// Guards against an unknown request or an unreadable log that is not reported.
func TestExplainFromLogsFailures(t *testing.T) {
	var unknown *RequestNotLoggedError
	if err := explainLogs(&strings.Builder{}, "r9", []string{writeLog(t)}); !errors.As(err, &unknown) {
		t.Errorf("unknown request: %v", err)
	}
	var file *LogFileError
	if err := explainLogs(&strings.Builder{}, "r1", []string{"absent"}); !errors.As(err, &file) {
		t.Errorf("absent file: %v", err)
	}
}
