// Package integration runs entry hosts against the stand-ins and checks the
// responses to callers.
package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/host"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// newLogger returns a logger that writes to standard error if
// ARBUTUSBANK_TEST_LOG is set, and discards everything otherwise.
func newLogger() logr.Logger {
	if os.Getenv("ARBUTUSBANK_TEST_LOG") == "" {
		return logr.Discard()
	}
	return logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-1)}))
}

func startFleet(t *testing.T, change func(*fleet.Options)) *fleet.Fleet {
	t.Helper()
	options := fleet.Options{
		Shape: deployment.SeedOffice(), Seed: 1,
		StartHost: func(_ context.Context, spec fleet.HostSpec) (fleet.RunningHost, error) {
			return host.Launch(spec.Settings, newLogger())
		},
	}
	if change != nil {
		change(&options)
	}
	f, err := fleet.Start(context.Background(), options)
	if err != nil {
		t.Fatalf("fleet did not start: %v", err)
	}
	t.Cleanup(f.Stop)
	return f
}

// result is the response to one request.
type result struct {
	status   int
	header   http.Header
	body     []byte
	document problem.Document // set when the response is a refusal
}

func sendChat(t *testing.T, address, key, model, prompt string, stream bool, maxTokens int) result {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	return send(t, request)
}

func send(t *testing.T, request *http.Request) result {
	t.Helper()
	client := &http.Client{Timeout: time.Minute}
	response, err := client.Do(request)
	if err != nil {
		t.Fatalf("request failed: %v", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("response is incomplete: %v", err)
	}
	res := result{status: response.StatusCode, header: response.Header, body: data}
	if response.Header.Get("Content-Type") == problem.ContentType {
		if err := json.Unmarshal(data, &res.document); err != nil {
			t.Fatalf("decode problem document: %v", err)
		}
	}
	return res
}

// Guards against a failure anywhere between the key check and the streamed
// response of a model that is not loaded yet, and against a host in another data
// centre that does not find the replica because it reaches engines under
// translated addresses.
func TestColdModelIsServed(t *testing.T) {
	f := startFleet(t, nil)
	population := f.Population()
	var key string
	for _, workspace := range population.Workspaces {
		key = workspace.Key
		break
	}
	start := time.Now()
	res := sendChat(t, population.Hosts[0], key, population.Models[0], "Which drawer holds lot 17?", true, 8)
	if res.status != http.StatusOK || !strings.HasSuffix(string(res.body), "data: [DONE]\n\n") {
		t.Fatalf("status %d, body %s", res.status, res.body)
	}
	t.Logf("response of the cold model after %v", time.Since(start))
	start = time.Now()
	res = sendChat(t, population.Hosts[len(population.Hosts)-1], key, population.Models[0], "Which drawer holds lot 18?", false, 8)
	if res.status != http.StatusOK {
		t.Fatalf("status %d, body %s", res.status, res.body)
	}
	t.Logf("response of the warm model after %v", time.Since(start))
}
