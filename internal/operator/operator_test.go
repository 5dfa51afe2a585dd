package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/operator"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// api is the administration API of one host that uses a platform stand-in.
type api struct {
	t        *testing.T
	url      string
	platform *standin.Server
	follower *configstore.Follower
}

// noPeers is the peer client of a fleet with one host.
type noPeers struct{}

func (noPeers) PushDeltas(context.Context, string, []configstore.Version) error { return nil }
func (noPeers) PullDeltas(context.Context, string, uint64) (configstore.PullResponse, error) {
	return configstore.PullResponse{}, nil
}

func newAPI(t *testing.T) *api {
	t.Helper()
	a := &api{t: t, platform: standin.New(1)}
	platformServer := httptest.NewServer(a.platform)
	t.Cleanup(platformServer.Close)
	client := platform.NewClient(strings.TrimPrefix(platformServer.URL, "http://"))
	registry := prometheus.NewRegistry()
	store := configstore.NewStore(configstore.StoreOptions{Table: client, Objects: client, Registerer: registry})
	a.follower = configstore.NewFollower(configstore.FollowerOptions{Store: store, Peers: noPeers{}, Host: "h1", DataCenter: "dc1", Registerer: registry})
	handler := operator.New(operator.Options{
		Store: store, Current: a.follower.Current, PublishAccepted: a.follower.PublishAccepted,
		Status: func(context.Context) []operator.HostStatus {
			return []operator.HostStatus{{Host: "h1", DataCenter: "dc1", Reachable: true, Version: a.follower.Current().Version, Confirmed: true}}
		},
		Dump:     func(context.Context) any { return map[string]int{"queues": 0} },
		Explain:  func(_ context.Context, id string) (any, bool) { return map[string]string{"request": id}, id == "known" },
		Gatherer: registry, Registerer: registry,
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	a.url = server.URL
	if err := store.Bootstrap(t.Context(), configtest.Document()); err != nil {
		t.Fatal(err)
	}
	return a
}

// newStartedAPI returns an API whose host has applied version 0.
func newStartedAPI(t *testing.T) *api {
	t.Helper()
	a := newAPI(t)
	if err := a.follower.Start(t.Context(), func() []string { return nil }); err != nil {
		t.Fatal(err)
	}
	return a
}

// send returns the status and body of a request with a key.
func (a *api) send(method, path, key, body string) (int, []byte) {
	a.t.Helper()
	request, err := http.NewRequestWithContext(a.t.Context(), method, a.url+path, strings.NewReader(body))
	if err != nil {
		a.t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		a.t.Error(err)
		return 0, nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, data
}

// expect sends a request as an operator, checks the status and decodes the response.
func (a *api) expect(status int, method, path, body string, into any) {
	a.t.Helper()
	got, data := a.send(method, path, configtest.OperatorKey, body)
	if got != status {
		a.t.Errorf("%s %s: status %d, want %d: %s", method, path, got, status, data)
		return
	}
	if into != nil {
		if err := json.Unmarshal(data, into); err != nil {
			a.t.Errorf("%s %s: %v in %s", method, path, err, data)
		}
	}
}

func patchBody(base uint64, id string, value int) string {
	return fmt.Sprintf(`{"base_version":%d,"submission_id":%q,"reason":"test","patch":[{"op":"replace","path":"/models/m1/max_replicas","value":%d}]}`, base, id, value)
}

// Guards against endpoints that accept requests without an operator key, and
// against health probes and metrics that require one.
func TestAuthentication(t *testing.T) {
	a := newStartedAPI(t)
	for _, path := range []string{"/admin/v1/versions", "/admin/v1/versions/0", "/admin/v1/diff", "/admin/v1/blame", "/admin/v1/status", "/admin/v1/dump", "/admin/v1/explain/known", "/debug/pprof/", "/debug/pprof/cmdline"} {
		for _, key := range []string{"", "wrong", configtest.CallerKey("w1"), config.HashKey(configtest.OperatorKey)} {
			if status, body := a.send("GET", path, key, ""); status != http.StatusUnauthorized {
				t.Errorf("GET %s with key %q: status %d: %.80s", path, key, status, body)
			}
		}
	}
	for _, call := range []string{"POST /admin/v1/patches", "POST /admin/v1/workspaces/w1/keys", "DELETE /admin/v1/workspaces/w1/keys/k1"} {
		method, path, _ := strings.Cut(call, " ")
		if status, _ := a.send(method, path, configtest.CallerKey("w1"), patchBody(0, "a", 5)); status != http.StatusUnauthorized {
			t.Errorf("%s: status %d", call, status)
		}
	}
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		if status, _ := a.send("GET", path, "", ""); status != http.StatusOK {
			t.Errorf("GET %s: status %d", path, status)
		}
	}
	a.expect(http.StatusOK, "GET", "/debug/pprof/cmdline", "", nil)
	a.expect(http.StatusOK, "GET", "/admin/v1/dump", "", nil)
	a.expect(http.StatusOK, "GET", "/admin/v1/explain/known", "", nil)
	a.expect(http.StatusNotFound, "GET", "/admin/v1/explain/unknown", "", nil)
	a.expect(http.StatusNotFound, "GET", "/nothing", "", nil)
	a.expect(http.StatusMethodNotAllowed, "PUT", "/admin/v1/patches", "", nil)
}

// Guards against a host that reports itself ready before it has applied a
// configuration version.
func TestHostWithoutConfiguration(t *testing.T) {
	a := newAPI(t)
	var document problem.Document
	for _, path := range []string{"/readyz", "/admin/v1/versions"} {
		a.expect(http.StatusServiceUnavailable, "GET", path, "", &document)
		if !strings.HasSuffix(document.Type, string(problem.NoConfiguration)) {
			t.Errorf("%s: %+v", path, document)
		}
	}
	if status, _ := a.send("GET", "/healthz", "", ""); status != http.StatusOK {
		t.Errorf("healthz: status %d", status)
	}
}

// Guards against an accepted patch that is not applied, and against history, diff
// and blame responses that do not match it. The number of versions exceeds one
// snapshot interval, so that blame searches more than one.
func TestPatchAndHistory(t *testing.T) {
	a := newStartedAPI(t)
	const versions = configstore.SnapshotInterval + 6
	for i := range versions {
		var version configstore.Version
		a.expect(http.StatusOK, "POST", "/admin/v1/patches", patchBody(uint64(i), fmt.Sprint("p", i), i+3), &version)
		if version.Number != uint64(i+1) || version.Author != "alice" || a.follower.Current().Version != version.Number {
			t.Fatalf("version %+v, applied version %d", version, a.follower.Current().Version)
		}
	}
	var history operator.History
	a.expect(http.StatusOK, "GET", "/admin/v1/versions?limit=2", "", &history)
	if len(history.Versions) != 2 || history.Versions[1].Number != versions || history.Head.Version != versions {
		t.Errorf("history %+v", history)
	}
	a.expect(http.StatusOK, "GET", "/admin/v1/versions?limit=100", "", &history)
	if len(history.Versions) != versions+1 || history.Versions[0].Author != "bootstrap" {
		t.Errorf("history has %d versions", len(history.Versions))
	}
	var shown operator.VersionDocument
	a.expect(http.StatusOK, "GET", "/admin/v1/versions/2", "", &shown)
	if shown.Number != 2 || shown.Document.Models["m1"].MaxReplicas != 4 {
		t.Errorf("version 2 is %+v", shown)
	}
	var diff operator.Diff
	a.expect(http.StatusOK, "GET", "/admin/v1/diff?from=2&to=current", "", &diff)
	if len(diff.Changes) != 1 || diff.Changes[0].Path != "/models/m1/max_replicas" || string(diff.Changes[0].Old) != "4" {
		t.Errorf("diff %+v", diff)
	}
	checkBlame(t, a, "/models/m1/max_replicas", versions)
	checkBlame(t, a, "/models/m1/load_ms", 0)
	a.expect(http.StatusNotFound, "GET", "/admin/v1/blame?pointer=/models/none", "", nil)
	a.expect(http.StatusBadRequest, "GET", "/admin/v1/blame?pointer=models", "", nil)
	a.expect(http.StatusNotFound, "GET", "/admin/v1/versions/1000", "", nil)
	a.expect(http.StatusBadRequest, "GET", "/admin/v1/versions/-1", "", nil)
}

func checkBlame(t *testing.T, a *api, pointer string, version uint64) {
	t.Helper()
	var blame operator.Blame
	a.expect(http.StatusOK, "GET", "/admin/v1/blame?pointer="+pointer, "", &blame)
	if blame.Version.Number != version || !blame.Present {
		t.Errorf("%s: %+v", pointer, blame)
	}
}

// Guards against problem documents of rejected patches that lack the reason, the
// JSON pointer of an invalid value or the current version.
func TestRejectedPatches(t *testing.T) {
	a := newStartedAPI(t)
	var document problem.Document
	a.expect(http.StatusOK, "POST", "/admin/v1/patches", patchBody(0, "a", 5), nil)
	a.expect(http.StatusConflict, "POST", "/admin/v1/patches", patchBody(0, "b", 6), &document)
	if document.CurrentVersion != 1 || !document.NotRun {
		t.Errorf("conflict: %+v", document)
	}
	a.expect(http.StatusUnprocessableEntity, "POST", "/admin/v1/patches", patchBody(0, "a", 6), nil)
	a.expect(http.StatusUnprocessableEntity, "POST", "/admin/v1/patches", patchBody(1, "c", -1), &document)
	if len(document.Errors) != 1 || document.Errors[0].Pointer != "/models/m1/max_replicas" {
		t.Errorf("invalid: %+v", document)
	}
	a.expect(http.StatusBadRequest, "POST", "/admin/v1/patches", `{"patch":[]}`, nil)
	a.expect(http.StatusBadRequest, "POST", "/admin/v1/patches", `{"base":1}`, nil)
	a.expect(http.StatusRequestEntityTooLarge, "POST", "/admin/v1/patches", `{"reason":"`+strings.Repeat("x", operator.MaxBodyBytes)+`"}`, nil)
	a.platform.SetFaults(standin.Faults{Down: true})
	a.expect(http.StatusServiceUnavailable, "POST", "/admin/v1/patches", patchBody(1, "d", 6), &document)
	if !document.NotRun {
		t.Errorf("outage: %+v", document)
	}
}

// Guards against keys that are lost, issued twice under one ID, stored in plaintext
// or still valid after withdrawal, when operators issue keys concurrently and
// responses of the platform are lost.
func TestKeysAreIssuedAndWithdrawn(t *testing.T) {
	const issuers = 6
	a := newStartedAPI(t)
	a.platform.SetFaults(standin.Faults{DropResponseRatio: 0.2})
	issued := make([]operator.IssuedKey, issuers)
	var group sync.WaitGroup
	for i := range issuers {
		group.Go(func() {
			a.expect(http.StatusOK, "POST", "/admin/v1/workspaces/w1/keys", `{"reason":"new drawer"}`, &issued[i])
		})
	}
	group.Wait()
	a.platform.SetFaults(standin.Faults{})
	a.expect(http.StatusOK, "POST", "/admin/v1/workspaces/w1/keys", `{"key_id":"last"}`, nil)
	for _, key := range issued {
		ref, ok := a.follower.Current().LookupKey(key.Key)
		if !ok || ref.Workspace != "w1" || ref.KeyID != key.KeyID {
			t.Errorf("key %+v is found as %+v, %v", key, ref, ok)
		}
		for _, row := range a.platform.Rows("") {
			if bytes.Contains(row.Value, []byte(key.Key)) {
				t.Errorf("row %s contains the plaintext key", row.Key)
			}
		}
	}
	var withdrawn operator.WithdrawnKey
	path := "/admin/v1/workspaces/w1/keys/" + issued[0].KeyID
	a.expect(http.StatusOK, "DELETE", path, "", &withdrawn)
	if ref, ok := a.follower.Current().LookupKey(issued[0].Key); !ok || !ref.Withdrawn || withdrawn.AlreadyWithdrawn {
		t.Errorf("withdrawn key is found as %+v, %v", ref, ok)
	}
	a.expect(http.StatusOK, "DELETE", path, "", &withdrawn)
	if !withdrawn.AlreadyWithdrawn || withdrawn.Version != issuers+2 {
		t.Errorf("second withdrawal: %+v", withdrawn)
	}
	a.expect(http.StatusNotFound, "DELETE", "/admin/v1/workspaces/w1/keys/none", "", nil)
	a.expect(http.StatusNotFound, "POST", "/admin/v1/workspaces/none/keys", "", nil)
	a.expect(http.StatusUnprocessableEntity, "POST", "/admin/v1/workspaces/w1/keys", `{"key_id":"last"}`, nil)
}
