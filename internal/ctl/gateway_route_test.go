package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/gateway"
)

// Guards against a key that is printed or put into a URL, flags that don't reach the host, and
// outcomes that share an exit code.
func TestRouteCommand(t *testing.T) {
	const key = "key-that-stays-secret"
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte(key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	answers := map[string]gateway.RouteAnswer{
		"sent":    {Host: "front-1", Outcome: gateway.RouteSent, Upstream: "e1", Candidates: []gateway.RouteCandidate{{Upstream: "e1", Chosen: true, Drawn: true}}},
		"waits":   {Host: "front-2", Outcome: gateway.RouteWaits, Reason: "no engine has the model ready", WaitMS: -1},
		"refused": {Host: "front-3", Outcome: gateway.RouteRefused, Status: 429, Reason: "allowance used up", RetryAfterMS: 1500},
	}
	var query gateway.RouteQuery
	address := map[string]string{}
	for name, answer := range answers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost || r.RequestURI != "/route" {
				t.Errorf("%s %s", r.Method, r.RequestURI)
			}
			_ = json.NewDecoder(r.Body).Decode(&query) // the test compares it
			_ = json.NewEncoder(w).Encode(answer)      // the command reads it
		}))
		defer server.Close()
		address[name] = strings.TrimPrefix(server.URL, "http://")
	}
	limited := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "too many queries", http.StatusTooManyRequests)
	}))
	defer limited.Close()
	address["limited"] = strings.TrimPrefix(limited.URL, "http://")
	for _, test := range []struct {
		arguments []string
		code      int
		printed   string
	}{
		{[]string{"--gateway", address["sent"]}, 0, "send to e1"},
		{[]string{"--gateway", address["waits"]}, 3, "wait (unknown time): no engine has the model ready"},
		{[]string{"--gateway", address["refused"]}, 4, "refuse: 429 allowance used up, Retry-After 1.50 s"},
		{[]string{"--gateway", address["refused"], "--json"}, 4, `"outcome": "refuse"`},
		{[]string{"--all-hosts", "--gateway", address["refused"], "--gateway", address["waits"]}, 4, "front-2"},
		{[]string{"--all-hosts", "--gateway", address["waits"], "--gateway", address["sent"]}, 3, "front-1"},
		{[]string{"--gateway", address["waits"], "--gateway", address["sent"]}, 1, "--all-hosts"},
		{[]string{"--gateway", address["limited"]}, 1, "too many queries"},
		{[]string{"--gateway", address["sent"], "--segment", "x"}, 1, "--segment"},
	} {
		var out strings.Builder
		arguments := append([]string{"route", "--host", "h", "--path", "/p?q=1", "--key-file", file, "--model", "m/a", "--segment", "s0:5"}, test.arguments...)
		code := Run(arguments, &out, &out)
		if code != test.code || !strings.Contains(out.String(), test.printed) || strings.Contains(out.String(), key) {
			t.Errorf("%v: code %d, printed:\n%s", test.arguments, code, out.String())
		}
	}
	if query.Key != key || query.Path != "/p?q=1" || query.Model != "m" || query.Adapter != "a" || len(query.Segments) != 1 || query.Segments[0].Tokens != 5 {
		t.Errorf("asked for host %q, path %q, model %q, adapter %q, segments %v", query.Host, query.Path, query.Model, query.Adapter, query.Segments)
	}
}
