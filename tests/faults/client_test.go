package faults

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/operator"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// testFleet is a fleet of host processes with a client for callers and operators.
type testFleet struct {
	t       *testing.T
	cluster *cluster
	fleet   *fleet.Fleet
	client  *http.Client
}

func newTestFleet(t *testing.T, change func(*deployment.Shape)) *testFleet {
	t.Helper()
	shape := deployment.SeedOffice()
	shape.Engines, shape.Models, shape.Adapters = 6, 16, 8
	if change != nil {
		change(&shape)
	}
	c := newCluster(t)
	started, err := fleet.Start(context.Background(), fleet.Options{Shape: shape, Seed: *seed, StartHost: c.start})
	if err != nil {
		c.printLogs()
		t.Fatal(err)
	}
	t.Cleanup(started.Stop)
	t.Cleanup(func() {
		if t.Failed() {
			c.printLogs()
		}
	})
	return &testFleet{t: t, cluster: c, fleet: started, client: &http.Client{Timeout: time.Minute}}
}

// addresses returns the hosts' addresses, sorted by host name.
func (f *testFleet) addresses() []string { return f.fleet.Population().Hosts }

func (f *testFleet) key(workspace string) string { return f.fleet.Deployment.CallerKeys[workspace][0] }

// result is the response to one request, or the error of its connection.
type result struct {
	status     int
	header     http.Header
	body       []byte
	document   problem.Document // set when the response is a refusal
	err        error            // connection error
	lastByteAt time.Time
}

// complete reports whether a stream was received to its end marker.
func (res result) complete() bool { return strings.HasSuffix(string(res.body), "data: [DONE]\n\n") }

// do sends a request and reads the response to the end.
func (f *testFleet) do(method, url, key string, header map[string]string, body []byte) result {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	res := result{status: response.StatusCode, header: response.Header}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadBytes('\n')
		if len(line) > 0 {
			res.body = append(res.body, line...)
			res.lastByteAt = time.Now()
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			res.err = err
			break
		}
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), problem.ContentType) {
		if err := json.Unmarshal(res.body, &res.document); err != nil {
			res.err = err
		}
	}
	return res
}

// chat sends a streamed chat request.
func (f *testFleet) chat(address, key, model, prompt string, maxTokens int, header map[string]string) result {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, maxTokens, prompt)
	return f.do(http.MethodPost, "http://"+address+"/v1/chat/completions", key, header, body)
}

// operatorCall calls the administration API of a host.
func (f *testFleet) operatorCall(address, method, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	res := f.do(method, "http://"+address+"/admin/v1"+path, f.fleet.Deployment.OperatorKeys["operator-1"],
		map[string]string{"Content-Type": "application/json"}, data)
	return res.status, res.body, res.err
}

// patch submits a patch and returns the version in force at the host afterwards.
func (f *testFleet) patch(address string, base uint64, patch string) uint64 {
	f.t.Helper()
	status, body, err := f.operatorCall(address, http.MethodPost, "/patches", map[string]any{
		"base_version": base, "submission_id": fmt.Sprintf("test-%d-%d", base, time.Now().UnixNano()),
		"reason": "test", "patch": json.RawMessage(patch),
	})
	if err != nil || status/100 != 2 {
		f.t.Fatalf("patch: status %d, error %v, body %s", status, err, body)
	}
	return f.version(address)
}

// version returns the configuration version in force at a host.
func (f *testFleet) version(address string) uint64 {
	f.t.Helper()
	res := f.do(http.MethodGet, "http://"+address+"/readyz", "", nil, nil)
	var ready struct {
		Version uint64 `json:"config_version"`
	}
	if err := json.Unmarshal(res.body, &ready); err != nil {
		f.t.Fatalf("readyz of %s: %v: %s", address, err, res.body)
	}
	return ready.Version
}

// status returns the status of all hosts as one host reports it.
func (f *testFleet) status(address string) map[string]operator.HostStatus {
	f.t.Helper()
	status, body, err := f.operatorCall(address, http.MethodGet, "/status", nil)
	var decoded operator.Status
	if err == nil {
		err = json.Unmarshal(body, &decoded)
	}
	if err != nil || status != http.StatusOK {
		f.t.Fatalf("status: %d, error %v, body %s", status, err, body)
	}
	hosts := map[string]operator.HostStatus{}
	for _, host := range decoded.Hosts {
		hosts[host.Host] = host
	}
	return hosts
}

// waitFor polls a condition until it is true or the bound has passed. It returns
// the elapsed time and whether the condition became true.
func waitFor(bound time.Duration, condition func() bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < bound {
		if condition() {
			return time.Since(start), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start), false
}
