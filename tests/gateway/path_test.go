package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

const wholeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"

func TestRequestsOfEachKind(t *testing.T) {
	r := newRig(t, 2)
	for host := range r.hosts {
		if got := r.chat(host, "/chat/x?y=1", "s1", "m1"); got.status != 200 || got.body != wholeStream || got.header.Get("Response-Signature") == "" {
			t.Errorf("host %d: stream: %+v", host, got)
		}
		if got := r.call(host, http.MethodPost, "/withdraw/9", "u1", "lot 9"); got.status != 200 || !strings.Contains(got.body, "to u1") {
			t.Errorf("host %d: withdrawal: %+v", host, got)
		}
		if got := r.call(host, http.MethodGet, "/lookup/9", "l1", ""); got.status != 200 {
			t.Errorf("host %d: lookup: %+v", host, got)
		}
	}
}

// What a caller may not set, and what concerns one connection, does not reach a
// worker; the rest does, byte for byte.
func TestHeadersAtTheWorker(t *testing.T) {
	r := newRig(t, 1)
	got := r.chat(0, "/chat/a%2Fb/?q=1&q=2", "h1", "m1",
		"Tenant", "forged", "Expect-Instance", "forged", "Hold", "h", "Pin-Ms", "9", "Kv-From", "x", "Kv-Backup", "x",
		"Request-Priority", "0", "X-Own", "kept", "Connection", "X-Hop, Model", "X-Hop", "gone")
	if got.status != 200 {
		t.Fatalf("answer %+v", got)
	}
	seen := r.engine.ReceivedRequests()[0]
	want := map[string]string{
		"Tenant": "curators", "Expect-Instance": "engine-1", "X-Own": "kept", "Model": "m1", "Token-Count": "100,20",
		"Prompt-Prefix": "a1:50,b2:50", "Request-Id": "h1", "Authorization": "", "Hold": "", "Pin-Ms": "", "Kv-From": "",
		"Kv-Backup": "", "X-Hop": "", "Request-Priority": "3",
	}
	for name, value := range want {
		if seen.Header.Get(name) != value {
			t.Errorf("%s is %q, want %q", name, seen.Header.Get(name), value)
		}
	}
	if seen.Target != "/chat/a%2Fb/?q=1&q=2" || seen.Method != http.MethodPost || seen.Body != "prompt" {
		t.Errorf("target %s, method %s, body %q", seen.Target, seen.Method, seen.Body)
	}
	if deadline := seen.Header.Get("Deadline-Ms"); deadline == "" || deadline > "3000" {
		t.Errorf("deadline %q, want what is left of 3000", deadline)
	}
}

func TestVerdictsOfTheConfiguration(t *testing.T) {
	r := newRig(t, 1)
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
		got := r.call(0, http.MethodPost, c.path, "v-"+c.name, c.body, "Authorization", "Bearer "+c.key)
		if got.status != c.status || r.runs("v-"+c.name) != 0 {
			t.Errorf("%s: status %d, %d runs; want %d and none", c.name, got.status, r.runs("v-"+c.name), c.status)
		}
	}
	if got := r.call(0, http.MethodPost, "/withdraw/1", "", ""); got.status != http.StatusBadRequest {
		t.Errorf("without an identifier: %d", got.status)
	}
}

// A request that may not be repeated runs once, and its failure promises nothing.
func TestLostAnswerOfWithdrawal(t *testing.T) {
	r := newRig(t, 1)
	for _, w := range r.ledgers {
		w.SetFaults(platformtest.WorkerFaults{DropResponses: true})
	}
	got := r.call(0, http.MethodPost, "/withdraw/1", "lost", "")
	if got.status != http.StatusBadGateway || r.runs("lost") != 1 {
		t.Errorf("status %d after %d runs, want 502 after one", got.status, r.runs("lost"))
	}
}

func TestLostAnswerOfLookupIsRepeated(t *testing.T) {
	r := newRig(t, 1)
	r.ledgers[0].SetFaults(platformtest.WorkerFaults{DropResponses: true})
	for i, id := range []string{"a", "b", "c"} {
		if got := r.call(0, http.MethodGet, "/lookup/1", id, ""); got.status != 200 {
			t.Errorf("lookup %d: %+v", i, got)
		}
	}
}

// A worker that says that it did not run the request costs the caller nothing
// while another one can.
func TestFullWorkerIsPassedOver(t *testing.T) {
	r := newRig(t, 1)
	r.ledgers[0].SetFaults(platformtest.WorkerFaults{RejectRequests: true})
	for _, id := range []string{"a", "b", "c", "d"} {
		if got := r.call(0, http.MethodPost, "/withdraw/1", id, ""); got.status != 200 || r.runs(id) != 1 {
			t.Errorf("%s: status %d, %d runs", id, got.status, r.runs(id))
		}
	}
	r.ledgers[1].SetFaults(platformtest.WorkerFaults{RejectRequests: true})
	got := r.call(0, http.MethodPost, "/withdraw/1", "e", "")
	if got.status != http.StatusServiceUnavailable || r.runs("e") != 0 || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, %d runs, Retry-After %q", got.status, r.runs("e"), got.header.Get("Retry-After"))
	}
}

func TestAnswerWithoutMarkIsNoSuccess(t *testing.T) {
	r := newRig(t, 1)
	for _, w := range r.ledgers {
		w.SetFaults(platformtest.WorkerFaults{Unsigned: true})
	}
	if got := r.call(0, http.MethodPost, "/withdraw/1", "u", ""); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
}

// A stream that breaks off is not ended as if it were whole; one that may be
// resumed goes on without a gap or a repetition.
func TestBrokenStreams(t *testing.T) {
	r := newRig(t, 1)
	r.engine.SetFaults(platformtest.WorkerFaults{CutStreamAfter: 2})
	got := r.chat(0, "/chat/1", "cut", "m1")
	if !got.broken || !strings.HasPrefix(wholeStream, got.body) {
		t.Errorf("stream: broken %v, body %q", got.broken, got.body)
	}
	second := platformtest.NewWorker("engine-2", "llm", "m1")
	t.Cleanup(second.Close)
	r.store.Set("servers", second.ID, second.Entry("ready"))
	r.await("second engine known", func() bool { return r.hosts[0].State().Upstreams == 4 })
	for _, id := range []string{"r1", "r2", "r3"} {
		if got := r.chat(0, "/review/1", id, "m1"); got.broken || got.body != wholeStream {
			t.Errorf("%s: broken %v, body %q", id, got.broken, got.body)
		}
	}
}

// The run that was to go on with a stream failed with an answer of its own, and
// the stream was ended as if it were whole (ORDER, tuulgan grown scale-1, seed
// 27043282022).
func TestResumedRunFails(t *testing.T) {
	r := newRig(t, 1)
	r.engine.SetFaults(platformtest.WorkerFaults{CutStreamAfter: 2})
	second := platformtest.NewWorker("engine-2", "llm", "m1")
	t.Cleanup(second.Close)
	second.SetFaults(platformtest.WorkerFaults{ErrorStatus: 500})
	r.store.Set("servers", second.ID, second.Entry("ready"))
	r.await("second engine known", func() bool { return r.hosts[0].State().Upstreams == 4 })
	begun := 0
	for i := range 8 {
		got := r.chat(0, "/review/1", fmt.Sprintf("r%d", i), "m1")
		if got.status != http.StatusOK {
			continue // it came to the second engine first
		}
		begun++
		if !got.broken || !strings.HasPrefix(wholeStream, got.body) {
			t.Errorf("stream: broken %v, body %q", got.broken, got.body)
		}
	}
	if begun == 0 {
		t.Error("no stream began")
	}
}

func TestColdModelIsLoaded(t *testing.T) {
	r := newRig(t, 2)
	for i, model := range []string{"m2", "m3", "m4", "m5"} {
		if got := r.chat(i%2, "/review/1", "cold-"+model, model); got.status != 200 || got.body != wholeStream {
			t.Errorf("%s: %+v", model, got)
		}
	}
}

func TestAdapterIsLoaded(t *testing.T) {
	r := newRig(t, 2)
	for i, adapter := range []string{"a1", "a2", "a1", "a3"} {
		if got := r.chat(i%2, "/chat/1", "adapter"+adapter, "m1/"+adapter); got.status != 200 {
			t.Errorf("%s: %+v", adapter, got)
		}
	}
}

func TestAllowanceOfWorkspace(t *testing.T) {
	r := newRig(t, 2)
	limited := 0
	for i := range 12 {
		got := r.chat(i%2, "/chat/1", "big", "m1", "Token-Count", "9000,1000")
		if got.status == http.StatusTooManyRequests {
			limited++
			if got.header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		}
	}
	// The bucket holds one second of the rate, four requests, and refills while
	// the requests run.
	if limited < 3 || limited > 9 {
		t.Errorf("%d of 12 requests limited", limited)
	}
}

func TestCallerThatLeavesCancelsTheRun(t *testing.T) {
	r := newRig(t, 1)
	r.engine.Events, r.engine.EventInterval = 200, 20*time.Millisecond
	client := &http.Client{Timeout: 150 * time.Millisecond}
	request, err := http.NewRequest(http.MethodPost, "http://"+r.hosts[0].settings.Listen+"/chat/1", strings.NewReader("x"))
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
	r.await("run cancelled", func() bool { return r.hosts[0].State().InFlight == 0 })
}
