package loadgen

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

func testTarget(hosts ...string) *Target {
	return &Target{
		Hosts:      hosts,
		Models:     []string{"m1", "m2", "m3"},
		Workspaces: map[string]Workspace{"w1": {Key: "key-w1", RateTokensPerS: 5000}},
	}
}

func testSpec() *Spec {
	return &Spec{
		DurationMS: 1000,
		Interactive: Class{
			MinPromptTokens: 20, MaxPromptTokens: 80, MinMaxTokens: 10, MaxMaxTokens: 20,
			MinCompletionShare: 0.5, StreamShare: 0.5, DeadlineMS: 2000,
		},
		Workspaces: []WorkspaceLoad{{Workspace: "w1", RateFactor: 1}},
		Popularity: Popularity{ZipfExponent: 1.1, MeanOnMS: 300, MeanOffMS: 300},
		Bursts:     []Burst{{AtMS: 500, Workspace: "w1", Models: 1, RequestsPerHost: 4}},
		Prefixes:   Prefixes{PerWorkspace: 2, Tokens: 40, Share: 0.5},
		Calls: []CallLoad{{
			Workspace: "w1", Service: "s", Method: http.MethodPost, Path: "/p", PerS: 20, RepeatShare: 1, DeadlineMS: 1000,
		}},
	}
}

// Guards against plans that a seed does not reproduce, bursts that do not reach
// all hosts at the same time, and repeats without the same idempotency key.
func TestPlanFollowsSpec(t *testing.T) {
	plan, err := Plan(testSpec(), testTarget("a", "b"), 7)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Plan(testSpec(), testTarget("a", "b"), 7)
	if err != nil || !reflect.DeepEqual(plan, again) {
		t.Fatalf("the same seed gave another plan, error %v", err)
	}
	burst, keys := map[int]int{}, map[string]int{}
	for i := range plan {
		a := &plan[i]
		if a.At == 500*time.Millisecond {
			burst[a.Host]++
		}
		if a.Class == ClassCall {
			keys[a.IdempotencyKey+a.Body]++
		}
	}
	if burst[0] != 4 || burst[1] != 4 {
		t.Fatalf("burst by host: %v", burst)
	}
	for key, times := range keys {
		if times != 2 {
			t.Fatalf("call %q planned %d times, want 2", key, times)
		}
	}
}

// Guards against response checks that accept responses of other requests,
// responses with missing text, or truncated streams.
func TestCheckRejectsWrongResponses(t *testing.T) {
	request := &engine.InferenceRequest{Model: "m1", Prompt: "p", MaxTokens: 3, Stream: true}
	words := strings.Fields(standin.ExpectedCompletion("r", request))
	event := func(text string) string {
		chunk := engine.Chunk{Choices: []engine.Choice{{Text: text}}}
		body, err := json.Marshal(chunk)
		if err != nil {
			t.Fatal(err)
		}
		return "data: " + string(body) + "\n\n"
	}
	usage := `data: {"choices":[],"usage":{"completion_tokens":3}}` + "\n\n"
	whole := event(words[0]+" ") + event(words[1]+" ") + event(words[2]+" ") + usage
	var wrong *WrongResponseError
	var truncated *TruncatedStreamError
	if _, tokens, err := checkStream(strings.NewReader(whole+"data: [DONE]\n\n"), "r", request); err != nil || tokens != 3 {
		t.Fatalf("whole stream: %d tokens, %v", tokens, err)
	}
	if _, _, err := checkStream(strings.NewReader(whole+"data: [DONE]\n\n"), "other", request); !errors.As(err, &wrong) {
		t.Fatalf("another request's stream: %v", err)
	}
	if _, _, err := checkStream(strings.NewReader(event(words[0]+" ")+usage+"data: [DONE]\n\n"), "r", request); !errors.As(err, &wrong) {
		t.Fatalf("stream with lost text: %v", err)
	}
	if _, _, err := checkStream(strings.NewReader(whole), "r", request); !errors.As(err, &truncated) || truncated.ErrorEvent != "" {
		t.Fatalf("stream without an end: %v", err)
	}
	if _, _, err := checkStream(strings.NewReader(whole+"event: error\ndata: {}\n\n"), "r", request); !errors.As(err, &truncated) || truncated.ErrorEvent == "" {
		t.Fatalf("stream with an error event: %v", err)
	}
}

// Guards against a generator that waits for slow responses before sending
// further requests, which hides queueing delay from the latencies.
func TestOpenLoop(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write([]byte(`{"type":"urn:arbutusbank:problem:rate-limited","not_run":true}`))
	}))
	defer server.Close()
	target := testTarget(strings.TrimPrefix(server.URL, "http://"))
	plan, err := Plan(testSpec(), target, 1)
	if err != nil {
		t.Fatal(err)
	}
	runner := &Runner{Target: target}
	_, outcomes := runner.Run(t.Context(), plan)
	result := Summarize(outcomes, time.Second)
	if refused := result.CountKind(KindRefused); refused != len(plan) {
		t.Fatalf("%d of %d refused", refused, len(plan))
	}
	if result.SendLag.P50 > 100 {
		t.Fatalf("median send lag %.1f ms", result.SendLag.P50)
	}
	var text bytes.Buffer
	if err := result.WriteText(&text); err != nil || !strings.Contains(text.String(), "rate-limited") {
		t.Fatalf("text %q, error %v", text.String(), err)
	}
}
