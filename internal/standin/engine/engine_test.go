package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

const (
	waitTimeout  = 5 * time.Second
	pollInterval = 2 * time.Millisecond
)

func start(t *testing.T, options Options) *Engine {
	t.Helper()
	options.Address = "127.0.0.1:0"
	e, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

func waitFor(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if check() {
			return
		}
	}
	t.Fatalf("no %s within %v", condition, waitTimeout)
}

func post(t *testing.T, e *Engine, path string, header map[string]string, body any) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+path, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return http.DefaultClient.Do(request)
}

func status(t *testing.T, e *Engine, path string, header map[string]string, body any) int {
	t.Helper()
	response, err := post(t, e, path, header, body)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func report(t *testing.T, e *Engine) engine.Report {
	t.Helper()
	response, err := http.Get("http://" + e.Address() + "/control/report")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var r engine.Report
	if err := json.NewDecoder(response.Body).Decode(&r); err != nil {
		t.Fatal(err)
	}
	return r
}

func load(t *testing.T, e *Engine, model string, bytes int64, fence uint64) {
	t.Helper()
	order := engine.Order{Kind: engine.OrderLoad, Model: model, Version: "1", Bytes: bytes, Fence: fence}
	if got := status(t, e, "/control/orders", nil, order); got != http.StatusAccepted {
		t.Fatalf("load order: status %d", got)
	}
	waitFor(t, "loaded model", func() bool {
		for _, resident := range report(t, e).Resident {
			if resident.Model == model && resident.State == engine.ResidentLoaded {
				return true
			}
		}
		return false
	})
}

func readStream(t *testing.T, response *http.Response) (text string, done bool) {
	t.Helper()
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			done = done || ok
			continue
		}
		var chunk engine.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	return text, done
}

// Guards against responses that a client could not verify: truncated, with the
// content of another request, or without the final [DONE] event.
func TestStreamIsComplete(t *testing.T) {
	e := start(t, Options{MemoryBytes: 100, TokenInterval: time.Millisecond})
	load(t, e, "m1", 60, 1)
	request := engine.InferenceRequest{
		Model: "m1", MaxTokens: 50, Stream: true,
		Messages: []engine.Message{{Role: "user", Content: "drawer 7 " + LengthMarker(9)}},
	}
	response, err := post(t, e, chatPath, map[string]string{headerRequestID: "r1", "Authorization": "Bearer sys"}, request)
	if err != nil {
		t.Fatal(err)
	}
	text, done := readStream(t, response)
	if want := ExpectedCompletion("r1", &request); text != want || !done || len(strings.Fields(text)) != 9 {
		t.Fatalf("completion %q, want %q, done %v", text, want, done)
	}
	record := e.Record()
	runs := record.RunsOf("r1")
	if len(runs) != 1 || runs[0].Tokens != 9 {
		t.Fatalf("runs %+v", runs)
	}
	for _, captured := range record.CapturedValues {
		if captured.Value == "Bearer sys" {
			return
		}
	}
	t.Fatal("the Authorization header was not recorded")
}

// Guards against a stand-in that accepts loads beyond its memory or orders with
// an outdated fence, which would hide faults of the hosts.
func TestMemoryAndFences(t *testing.T) {
	e := start(t, Options{MemoryBytes: 100, ChecksFence: true})
	load(t, e, "m1", 60, 5)
	tooBig := engine.Order{Kind: engine.OrderLoad, Model: "m2", Version: "1", Bytes: 41, Fence: 6}
	if got := status(t, e, "/control/orders", nil, tooBig); got != http.StatusConflict {
		t.Fatalf("load beyond memory: status %d", got)
	}
	stale := engine.Order{Kind: engine.OrderUnload, Model: "m1", Version: "1", Fence: 4}
	if got := status(t, e, "/control/orders", nil, stale); got != http.StatusConflict {
		t.Fatalf("stale unload: status %d", got)
	}
	stale.Fence = 7
	if got := status(t, e, "/control/orders", nil, stale); got != http.StatusAccepted {
		t.Fatalf("unload: status %d", got)
	}
	waitFor(t, "freed memory", func() bool { return report(t, e).MemoryUsedBytes == 0 })
	if got := status(t, e, chatPath, nil, engine.InferenceRequest{Model: "m1"}); got != http.StatusConflict {
		t.Fatalf("request for an unloaded model: status %d", got)
	}
	if record := e.Record(); record.MemoryHighWaterBytes != 60 || len(record.Orders) != 4 {
		t.Fatalf("high water %d, orders %d", record.MemoryHighWaterBytes, len(record.Orders))
	}
}

// Guards against a crash after which runs continue, weights stay in memory or
// the engine does not restart.
func TestCrashResetsConnectionsAndRestarts(t *testing.T) {
	e := start(t, Options{MemoryBytes: 100, TokenInterval: 10 * time.Millisecond, RestartTime: 20 * time.Millisecond})
	load(t, e, "m1", 60, 1)
	before := report(t, e).BootID
	long, err := post(t, e, chatPath, map[string]string{headerRequestID: "long"}, engine.InferenceRequest{
		Model: "m1", MaxTokens: 10000, Stream: true, Messages: []engine.Message{{Content: "x"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := post(t, e, "/v1/completions", nil, engine.InferenceRequest{Model: "m1", Prompt: DefaultCrashMarker}); err == nil {
		t.Fatal("the request with the crash marker got a response")
	}
	if _, done := readStream(t, long); done {
		t.Fatal("the stream ended with [DONE] after a crash")
	}
	waitFor(t, "restart", func() bool {
		response, err := http.Get("http://" + e.Address() + "/control/report")
		if err == nil {
			_ = response.Body.Close()
		}
		return err == nil
	})
	after := report(t, e)
	if after.BootID == before || after.MemoryUsedBytes != 0 {
		t.Fatalf("boot %q after %q, %d bytes used", after.BootID, before, after.MemoryUsedBytes)
	}
	record := e.Record()
	if runs := record.RunsOf("long"); len(runs) != 1 || runs[0].Outcome != OutcomeCrashed {
		t.Fatalf("runs %+v", runs)
	}
}

// Guards against a freeze that closes connections or affects new ones, and
// against time-outs and cancellations that the engine does not enforce.
func TestFreezeTimeoutAndCancel(t *testing.T) {
	e := start(t, Options{MemoryBytes: 100, TokenInterval: 5 * time.Millisecond})
	load(t, e, "m1", 60, 1)
	endless := engine.InferenceRequest{Model: "m1", MaxTokens: 100000, Stream: true, Messages: []engine.Message{{Content: "x"}}}
	frozen, err := post(t, e, chatPath, map[string]string{headerRequestID: "frozen", engine.HeaderTimeoutMS: "300"}, endless)
	if err != nil {
		t.Fatal(err)
	}
	e.SetFaults(Faults{FreezeConnections: true})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = readStream(t, frozen)
	}()
	waitFor(t, "enforced time-out", func() bool {
		record := e.Record()
		runs := record.RunsOf("frozen")
		return len(runs) == 1 && runs[0].Outcome == OutcomeTimeout
	})
	select {
	case <-ended:
		t.Fatal("the stream on the frozen connection ended")
	default:
	}
	http.DefaultClient.CloseIdleConnections()
	cancelled, err := post(t, e, chatPath, map[string]string{headerRequestID: "c"}, endless)
	if err != nil {
		t.Fatal(err)
	}
	if got := status(t, e, "/control/cancel", nil, engine.CancelRequest{RequestID: "c"}); got != http.StatusOK {
		t.Fatalf("cancel: status %d", got)
	}
	if _, done := readStream(t, cancelled); done {
		t.Fatal("the cancelled stream ended with [DONE]")
	}
}

// Guards against a weight store that serves loads beyond its limits at full
// speed, which would hide hosts that ignore the limits.
func TestWeightStoreSlowsDown(t *testing.T) {
	store := NewWeightStore(WeightStoreOptions{BytesPerS: 1000, ConcurrentLoads: 1})
	started := time.Now()
	results := make(chan error)
	for range 3 {
		go func() { results <- store.LoadModel(t.Context(), 50) }()
	}
	for range 3 {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took < 140*time.Millisecond {
		t.Fatalf("three loads of 50 ms at concurrency 1 took %v", took)
	}
	if record := store.Record(); record.MaxConcurrent != 3 || record.OverConcurrency != 2 {
		t.Fatalf("record %+v", record)
	}
}

// Guards against cache events that become visible before their delay, and
// checks hits and sequence numbers.
func TestCacheEvents(t *testing.T) {
	options := Options{CacheBlocks: 2, CacheEventDelay: time.Hour}
	c := newPrefixCache(options, 1)
	hashes := routing.PrefixHashes("m1", make([]byte, 2*routing.BlockBytes))
	if hits := c.lookupAndStore("m1", hashes); hits != 0 {
		t.Fatalf("%d hits in an empty cache", hits)
	}
	if hits := c.lookupAndStore("m1", hashes); hits != 2 {
		t.Fatalf("%d hits, want 2", hits)
	}
	if page := c.after(0); len(page.Events) != 0 {
		t.Fatalf("events visible before their delay: %+v", page)
	}
	c.delay = 0
	if page := c.after(0); len(page.Events) != 3 || page.Next != 3 {
		t.Fatalf("page %+v", page)
	}
}
