package upstream

import (
	"net/http"
	"strings"
	"sync"
)

// maxCapturedValues bounds the distinct header, query and cookie values kept.
const maxCapturedValues = 4096

// CapturedValue is a distinct value received in a header, query parameter or cookie.
type CapturedValue struct {
	Where string `json:"where"` // "header", "query" or "cookie"
	Name  string `json:"name"`
	Value string `json:"value"`
}

// CapturedValues collects every distinct value that could be a credential, up
// to maxCapturedValues. The zero value is ready to use. It is safe for
// concurrent use.
type CapturedValues struct {
	mu     sync.Mutex
	values map[CapturedValue]bool
}

// perRequestHeaders have a different value in each request and never carry a
// credential.
var perRequestHeaders = map[string]bool{
	"X-Request-Id": true, "X-Timeout-Ms": true, "Content-Length": true, "Traceparent": true, "Idempotency-Key": true,
}

// Record adds the header, query and cookie values of a request.
func (s *CapturedValues) Record(request *http.Request) {
	found := headerValues(request.Header)
	for _, cookie := range request.Cookies() {
		found = append(found, CapturedValue{Where: "cookie", Name: cookie.Name, Value: cookie.Value})
	}
	if request.URL.RawQuery != "" {
		for name, values := range request.URL.Query() {
			for _, value := range values {
				found = append(found, CapturedValue{Where: "query", Name: name, Value: value})
			}
		}
	}
	s.add(found)
}

func headerValues(header http.Header) []CapturedValue {
	found := make([]CapturedValue, 0, len(header))
	for name, values := range header {
		if perRequestHeaders[name] {
			continue
		}
		for _, value := range values {
			found = append(found, CapturedValue{Where: "header", Name: name, Value: value})
		}
	}
	return found
}

func (s *CapturedValues) add(found []CapturedValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = map[CapturedValue]bool{}
	}
	for _, value := range found {
		if len(s.values) < maxCapturedValues {
			s.values[value] = true
		}
	}
}

// List returns the distinct values in no particular order.
func (s *CapturedValues) List() []CapturedValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]CapturedValue, 0, len(s.values))
	for value := range s.values {
		list = append(list, value)
	}
	return list
}

// FindContaining returns the first value that contains a secret.
func FindContaining(values []CapturedValue, secret string) (CapturedValue, bool) {
	for _, value := range values {
		if strings.Contains(value.Value, secret) {
			return value, true
		}
	}
	return CapturedValue{}, false
}
