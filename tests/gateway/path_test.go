package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

const completeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"

func TestRequestsOfEachKind(t *testing.T) {
	f := newTestFleet(t, 2)
	for host := range f.hosts {
		if got := f.sendModelRequest(host, "/chat/x?y=1", "s1", "m1"); got.status != 200 || got.body != completeStream || got.header.Get("Response-Signature") == "" {
			t.Errorf("host %d: stream: %+v", host, got)
		}
		if got := f.send(host, http.MethodPost, "/withdraw/9", "u1", "lot 9"); got.status != 200 || !strings.Contains(got.body, "to u1") {
			t.Errorf("host %d: withdrawal: %+v", host, got)
		}
		if got := f.send(host, http.MethodGet, "/lookup/9", "l1", ""); got.status != 200 {
			t.Errorf("host %d: lookup: %+v", host, got)
		}
	}
}

// Reserved and hop-by-hop headers do not reach a worker; everything else arrives
// unchanged, byte for byte.
func TestHeadersAtWorker(t *testing.T) {
	f := newTestFleet(t, 1)
	got := f.sendModelRequest(0, "/chat/a%2Fb/?q=1&q=2", "h1", "m1",
		"Tenant", "forged", "Expect-Instance", "forged", "Hold", "h", "Pin-Ms", "9", "Kv-From", "x", "Kv-Backup", "x",
		"Request-Priority", "0", "X-Own", "kept", "Connection", "X-Hop, Model", "X-Hop", "gone")
	if got.status != 200 {
		t.Fatalf("response %+v", got)
	}
	received := f.engine.ReceivedRequests()[0]
	want := map[string]string{
		"Tenant": "curators", "Expect-Instance": "engine-1", "X-Own": "kept", "Model": "m1", "Token-Count": "100,20",
		"Prompt-Prefix": "a1:50,b2:50", "Request-Id": "h1", "Authorization": "", "Hold": "", "Pin-Ms": "", "Kv-From": "",
		"Kv-Backup": "", "X-Hop": "", "Request-Priority": "3",
	}
	for name, value := range want {
		if received.Header.Get(name) != value {
			t.Errorf("%s is %q, want %q", name, received.Header.Get(name), value)
		}
	}
	if received.Target != "/chat/a%2Fb/?q=1&q=2" || received.Method != http.MethodPost || received.Body != "prompt" {
		t.Errorf("target %s, method %s, body %q", received.Target, received.Method, received.Body)
	}
	if deadline := received.Header.Get("Deadline-Ms"); deadline == "" || deadline > "3000" {
		t.Errorf("deadline %q, want the rest of 3000 ms", deadline)
	}
}

func TestRejectedRequests(t *testing.T) {
	f := newTestFleet(t, 1)
	cases := []struct {
		name, path, key, body string
		status                int
	}{
		{"no route", "/else/1", testKey, "", http.StatusNotFound},
		{"unknown key", "/withdraw/1", "other", "", http.StatusUnauthorized},
		{"no key", "/withdraw/1", "", "", http.StatusUnauthorized},
		{"long body", "/withdraw/1", testKey, strings.Repeat("x", 5000), http.StatusRequestEntityTooLarge},
	}
	for _, c := range cases {
		got := f.send(0, http.MethodPost, c.path, "v-"+c.name, c.body, "Authorization", "Bearer "+c.key)
		if got.status != c.status || f.runCount("v-"+c.name) != 0 {
			t.Errorf("%s: status %d, %d runs; want %d and none", c.name, got.status, f.runCount("v-"+c.name), c.status)
		}
	}
	if got := f.send(0, http.MethodPost, "/withdraw/1", "", ""); got.status != http.StatusBadRequest {
		t.Errorf("request without an ID: status %d", got.status)
	}
}

// A request that must not be repeated runs once, and its error response does not
// promise that it has not run.
func TestLostResponseOfUnsafeRequest(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, w := range f.ledgers {
		w.SetFaults(platformtest.WorkerFaults{DropResponses: true})
	}
	got := f.send(0, http.MethodPost, "/withdraw/1", "lost", "")
	if got.status != http.StatusBadGateway || f.runCount("lost") != 1 {
		t.Errorf("status %d after %d runs, want 502 after one run", got.status, f.runCount("lost"))
	}
}

func TestLostResponseOfSafeRequestIsRetried(t *testing.T) {
	f := newTestFleet(t, 1)
	f.ledgers[0].SetFaults(platformtest.WorkerFaults{DropResponses: true})
	for i, id := range []string{"a", "b", "c"} {
		if got := f.send(0, http.MethodGet, "/lookup/1", id, ""); got.status != 200 {
			t.Errorf("lookup %d: %+v", i, got)
		}
	}
}

// A request that a worker did not run is sent to another one without an error for the
// caller.
func TestOverloadedWorkerIsSkipped(t *testing.T) {
	f := newTestFleet(t, 1)
	f.ledgers[0].SetFaults(platformtest.WorkerFaults{RejectRequests: true})
	for _, id := range []string{"a", "b", "c", "d"} {
		if got := f.send(0, http.MethodPost, "/withdraw/1", id, ""); got.status != 200 || f.runCount(id) != 1 {
			t.Errorf("%s: status %d, %d runs", id, got.status, f.runCount(id))
		}
	}
	f.ledgers[1].SetFaults(platformtest.WorkerFaults{RejectRequests: true})
	got := f.send(0, http.MethodPost, "/withdraw/1", "e", "")
	if got.status != http.StatusServiceUnavailable || f.runCount("e") != 0 || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, %d runs, Retry-After %q", got.status, f.runCount("e"), got.header.Get("Retry-After"))
	}
}

func TestUnsignedResponseIsRejected(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, w := range f.ledgers {
		w.SetFaults(platformtest.WorkerFaults{Unsigned: true})
	}
	if got := f.send(0, http.MethodPost, "/withdraw/1", "u", ""); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
}

// A stream that breaks off is not ended as if it were complete. A resumable one
// continues without a gap or a repetition.
func TestBrokenStreams(t *testing.T) {
	f := newTestFleet(t, 1)
	f.engine.SetFaults(platformtest.WorkerFaults{CutStreamAfter: 2})
	got := f.sendModelRequest(0, "/chat/1", "cut", "m1")
	if !got.truncated || !strings.HasPrefix(completeStream, got.body) {
		t.Errorf("stream: truncated %v, body %q", got.truncated, got.body)
	}
	second := platformtest.NewWorker("engine-2", "llm", "m1")
	t.Cleanup(second.Close)
	f.store.Set("servers", second.ID, second.Entry("ready"))
	f.waitFor("second engine known", func() bool { return f.hosts[0].State().Upstreams == 4 })
	for _, id := range []string{"r1", "r2", "r3"} {
		if got := f.sendModelRequest(0, "/review/1", id, "m1"); got.truncated || got.body != completeStream {
			t.Errorf("%s: truncated %v, body %q", id, got.truncated, got.body)
		}
	}
}

// Guards against ending a stream as if it were complete when the run that should
// resume it fails with an error response (check ORDER, tuulgan grown scale-1, seed
// 27043282022).
func TestResumedRunFails(t *testing.T) {
	f := newTestFleet(t, 1)
	f.engine.SetFaults(platformtest.WorkerFaults{CutStreamAfter: 2})
	second := platformtest.NewWorker("engine-2", "llm", "m1")
	t.Cleanup(second.Close)
	second.SetFaults(platformtest.WorkerFaults{ErrorStatus: 500})
	f.store.Set("servers", second.ID, second.Entry("ready"))
	f.waitFor("second engine known", func() bool { return f.hosts[0].State().Upstreams == 4 })
	started := 0
	for i := range 8 {
		got := f.sendModelRequest(0, "/review/1", fmt.Sprintf("r%d", i), "m1")
		if got.status != http.StatusOK {
			continue // the second engine was selected first
		}
		started++
		if !got.truncated || !strings.HasPrefix(completeStream, got.body) {
			t.Errorf("stream: truncated %v, body %q", got.truncated, got.body)
		}
	}
	if started == 0 {
		t.Error("no stream was started")
	}
}

func TestColdModelIsLoaded(t *testing.T) {
	f := newTestFleet(t, 2)
	for i, model := range []string{"m2", "m3", "m4", "m5"} {
		if got := f.sendModelRequest(i%2, "/review/1", "cold-"+model, model); got.status != 200 || got.body != completeStream {
			t.Errorf("%s: %+v", model, got)
		}
	}
}

func TestAdapterIsLoaded(t *testing.T) {
	f := newTestFleet(t, 2)
	for i, adapter := range []string{"a1", "a2", "a1", "a3"} {
		if got := f.sendModelRequest(i%2, "/chat/1", "adapter"+adapter, "m1/"+adapter); got.status != 200 {
			t.Errorf("%s: %+v", adapter, got)
		}
	}
}

// Guards against a workspace that runs more than its allowance. The requests come at once: one
// after the other they would wait for the refill, and none would exceed the allowance.
func TestAllowanceOfWorkspace(t *testing.T) {
	f := newTestFleet(t, 2)
	var limited, unhinted atomic.Int32
	var group conc.WaitGroup
	for i := range 12 {
		group.Go(func() {
			got := f.sendModelRequest(i%2, "/chat/1", fmt.Sprintf("big%d", i), "m1", "Token-Count", "9000,1000")
			if got.status == http.StatusTooManyRequests {
				limited.Add(1)
				if got.header.Get("Retry-After") == "" {
					unhinted.Add(1)
				}
			}
		})
	}
	group.Wait()
	// The bucket holds four requests, one second of the rate, and refills while some wait.
	if n := limited.Load(); n < 3 || n > 9 {
		t.Errorf("%d of 12 requests limited", n)
	}
	if n := unhinted.Load(); n > 0 {
		t.Errorf("%d refusals without Retry-After", n)
	}
}

func TestDisconnectedCallerCancelsRun(t *testing.T) {
	f := newTestFleet(t, 1)
	f.engine.Events, f.engine.EventInterval = 200, 20*time.Millisecond
	client := &http.Client{Timeout: 150 * time.Millisecond}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.hosts[0].settings.Listen+"/chat/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "seed.example"
	request.Header.Set("Request-Id", "gone")
	request.Header.Set("Model", "m1")
	request.Header.Set("Authorization", "Bearer "+testKey)
	if response, err := client.Do(request); err == nil {
		defer response.Body.Close()
		time.Sleep(200 * time.Millisecond)
	}
	f.waitFor("run cancelled", func() bool { return f.hosts[0].State().InFlight == 0 })
}
