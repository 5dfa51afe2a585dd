package caller

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

var testDefaults = config.Defaults{DeadlineMS: 30000, MaxDeadlineMS: 120000, MaxTokens: 64}

// Guards against reserving fewer tokens than the engine may generate, and against
// forwarding malformed requests.
func TestParseInference(t *testing.T) {
	tests := []struct {
		name, body string
		chat       bool
		tokens     int // 0: refused
		bodyHas    string
	}{
		{"limit added", `{"model":"m","messages":[{"role":"user","content":"x"}]}`, true, 64, `,"max_tokens":64}`},
		{"null limit overridden", `{"model":"m","messages":[],"max_tokens":null}`, true, 64, `"max_tokens":null,"max_tokens":64}`},
		{"larger of two limits", `{"model":"m","prompt":"x","max_tokens":5,"max_completion_tokens":9}`, false, 9, ""},
		{"choices multiply", `{"model":"m","prompt":"x","max_tokens":5,"n":3}`, false, 15, ""},
		{"negative limit", `{"model":"m","prompt":"x","max_tokens":-1}`, false, 0, ""},
		{"no prompt", `{"model":"m"}`, false, 0, ""},
		{"no model", `{"prompt":"x"}`, false, 0, ""},
		{"not JSON", `{"model":`, false, 0, ""},
		{"structured content", `{"model":"m:a","messages":[{"role":"user","content":[{"type":"text"}]}],"max_tokens":2}`, true, 2, ""},
	}
	for _, test := range tests {
		parsed, refusal := parseInference([]byte(test.body), test.chat, testDefaults)
		if (refusal != nil) != (test.tokens == 0) {
			t.Errorf("%s: refusal %v", test.name, refusal)
			continue
		}
		if refusal != nil {
			if !refusal.NotRun || refusal.Kind != problem.BadRequest {
				t.Errorf("%s: %+v", test.name, refusal)
			}
			continue
		}
		if parsed.maxTokens != test.tokens || !strings.Contains(string(parsed.body), test.bodyHas) {
			t.Errorf("%s: %d tokens, body %s", test.name, parsed.maxTokens, parsed.body)
		}
	}
}

// Guards against accepting deadlines beyond the configured maximum.
// Guards against messages that two requests share but that have different keys, because of
// white space, and against taking the last message, which belongs to its request.
func TestSharedMessages(t *testing.T) {
	compact := sharedMessages([]byte(`[{"role":"system","content":"a b"},{"role":"user","content":"1"}]`))
	spaced := sharedMessages([]byte(`[ {"role": "system", "content": "a b"} , {"role":"user","content":"2"}]`))
	if len(compact) != 1 || len(spaced) != 1 || string(compact[0]) != string(spaced[0]) {
		t.Errorf("shared %q and %q, want one equal message", compact, spaced)
	}
	for _, other := range []string{`[]`, `"text"`, `[{"role":"user"}]`, `{`} {
		if shared := sharedMessages([]byte(other)); len(shared) != 0 {
			t.Errorf("%s: shared %q, want none", other, shared)
		}
	}
}

func TestDeadline(t *testing.T) {
	now := time.Now()
	for header, want := range map[string]time.Duration{"": 30 * time.Second, "1500": 1500 * time.Millisecond, "99999999999999": 120 * time.Second} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set(HeaderDeadlineMS, header)
		got, refusal := deadlineOf(r, now, testDefaults)
		if refusal != nil || got.Sub(now) != want {
			t.Errorf("header %q: %v, %v", header, got.Sub(now), refusal)
		}
	}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header.Set(HeaderDeadlineMS, "-5")
	if _, refusal := deadlineOf(r, now, testDefaults); refusal == nil {
		t.Error("a negative deadline was accepted")
	}
}

func snapshotWith(t *testing.T, keys map[string]config.Key) *config.Snapshot {
	t.Helper()
	snapshot, err := config.NewSnapshot(1, &config.Document{Workspaces: map[string]config.Workspace{"w": {Keys: keys}}})
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// Guards against requests that keep running after their key was withdrawn, removed
// or replaced.
func TestCancelWithdrawn(t *testing.T) {
	hash := config.HashKey("secret-key")
	valid := map[string]config.Key{"k": {SHA256: hash}}
	for name, keys := range map[string]map[string]config.Key{
		"withdrawn": {"k": {SHA256: hash, Withdrawn: true}},
		"removed":   {},
		"replaced":  {"k": {SHA256: config.HashKey("another-key")}},
	} {
		active := NewActiveRequests()
		ctx, cancel := context.WithCancelCause(context.Background())
		remove := active.add(Identity{Workspace: "w", KeyID: "k", KeyHash: hash}, cancel)
		if n := active.CancelWithdrawn(snapshotWith(t, valid)); n != 0 {
			t.Errorf("%s: a request with a valid key was cancelled", name)
		}
		if n := active.CancelWithdrawn(snapshotWith(t, keys)); n != 1 {
			t.Errorf("%s: %d requests cancelled", name, n)
		}
		var refusal *problem.Error
		if !errors.As(context.Cause(ctx), &refusal) || refusal.Kind != problem.KeyWithdrawn {
			t.Errorf("%s: cause %v", name, context.Cause(ctx))
		}
		remove()
		if active.Count() != 0 {
			t.Errorf("%s: the request is still registered", name)
		}
	}
}

// Guards against sending keys to an upstream in headers, cookies or query
// parameters, including keys of other workspaces and on open routes.
func TestKeyFilter(t *testing.T) {
	snapshot := snapshotWith(t, map[string]config.Key{"k": {SHA256: config.HashKey("issued-key-1")}})
	r := httptest.NewRequest(http.MethodGet, "/?a=1&token=issued-key-1", nil)
	for name, value := range map[string]string{
		"Authorization": "Bearer x", "Cookie": "a=b; s=issued-key-1", "X-Note": "plain", "X-Auth": "Token issued-key-1", "Connection": "X-Hop", "X-Hop": "1",
	} {
		r.Header.Set(name, value)
	}
	filter := newKeyFilter(snapshot, "")
	header := filter.header(r)
	if header.Get("X-Note") != "plain" || len(header) != 1 {
		t.Errorf("headers sent to the upstream: %v", header)
	}
	query := filter.query(r.URL.Query())
	if len(query) != 1 || query["a"][0] != "1" {
		t.Errorf("query sent to the upstream: %v", query)
	}
}
