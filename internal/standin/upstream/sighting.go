package upstream

import (
	"net/http"
	"strings"
	"sync"
)

// maxSightings bounds the distinct header, query and cookie values kept.
const maxSightings = 4096

// CapturedValue is a distinct value seen in a header, query parameter or cookie.
type CapturedValue struct {
	Where string `json:"where"` // "header", "query" or "cookie"
	Name  string `json:"name"`
	Value string `json:"value"`
}

// CapturedValues collects every distinct value that could be a credential. The zero
// value is ready to use; it is safe for concurrent use.
type CapturedValues struct {
	mu   sync.Mutex
	seen map[CapturedValue]bool
}

// uniqueHeaders carry a different value in each request and never a credential.
var uniqueHeaders = map[string]bool{
	"X-Request-Id": true, "X-Timeout-Ms": true, "Content-Length": true, "Traceparent": true, "Idempotency-Key": true,
}

// Record adds the values of a request.
func (s *CapturedValues) Record(request *http.Request) {
	found := headerSightings(request.Header)
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

func headerSightings(header http.Header) []CapturedValue {
	found := make([]CapturedValue, 0, len(header))
	for name, values := range header {
		if uniqueHeaders[name] {
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
	if s.seen == nil {
		s.seen = map[CapturedValue]bool{}
	}
	for _, sighting := range found {
		if len(s.seen) < maxSightings {
			s.seen[sighting] = true
		}
	}
}

// List returns the distinct values in no particular order.
func (s *CapturedValues) List() []CapturedValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]CapturedValue, 0, len(s.seen))
	for sighting := range s.seen {
		list = append(list, sighting)
	}
	return list
}

// FindContaining returns the first sighting whose value contains a secret.
func FindContaining(sightings []CapturedValue, secret string) (CapturedValue, bool) {
	for _, sighting := range sightings {
		if strings.Contains(sighting.Value, secret) {
			return sighting, true
		}
	}
	return CapturedValue{}, false
}
