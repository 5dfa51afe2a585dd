package service

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

func call(t *testing.T, s *Service, key, body string) (int, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+"/withdrawals", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(HeaderIdempotencyKey, key)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against runs missing in the record that checkers use, when the response
// was dropped or the service crashed after the call took effect.
func TestEveryRunIsRecorded(t *testing.T) {
	s, err := Start(Options{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	if code, err := call(t, s, "answered", "x"); err != nil || code != http.StatusOK {
		t.Fatalf("status %d, error %v", code, err)
	}
	s.SetFaults(Faults{DropResponses: true})
	if _, err := call(t, s, "lost", "x"); err == nil {
		t.Fatal("the dropped response arrived")
	}
	s.SetFaults(Faults{Draining: true})
	if code, err := call(t, s, "refused", "x"); err != nil || code != http.StatusServiceUnavailable {
		t.Fatalf("status %d, error %v", code, err)
	}
	s.SetFaults(Faults{})
	if _, err := call(t, s, "crashed", CrashMarker); err == nil {
		t.Fatal("the call with the crash marker got a response")
	}
	record := s.Record()
	counts := record.RunsByKey()
	if len(record.Runs) != 3 || counts["POST /withdrawals lost"] != 1 || counts["POST /withdrawals crashed"] != 1 {
		t.Fatalf("runs %v", counts)
	}
}
