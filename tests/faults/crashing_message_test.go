package faults

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

const (
	// contactTime is how long after the fifth crash requests may still be on their way.
	contactTime = 3 * time.Second
	// maxLateCrashes bounds the crashes after that.
	maxLateCrashes = 3
)

// Guards against engines that crash one after the other because requests, no two alike,
// share one message that crashes them (check BUDGET, entry hosts).
func TestMessageThatCrashesEnginesIsQuarantined(t *testing.T) {
	f := newTestFleet(t, func(s *deployment.Shape) { s.Models = 2; s.Engines = 4; s.Adapters = 0 })
	key, model := f.key("curators"), f.fleet.Population().Models[0]
	f.chat(f.addresses()[0], key, model, "warm up", 4, nil)
	crashes := func() int {
		count := 0
		for _, e := range f.fleet.Engines {
			count += len(e.Record().Boots) - 1
		}
		return count
	}
	var counted time.Time // after the fifth crash
	before, late := 0, 0
	for attempt := range 24 {
		body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":8,"messages":[{"role":"system","content":%q},{"role":"user","content":"question %d"}]}`,
			model, standin.DefaultCrashMarker, attempt)
		f.do(http.MethodPost, "http://"+f.addresses()[attempt%8]+"/v1/chat/completions", key, map[string]string{"X-Deadline-Ms": "4000"}, body)
		now := crashes()
		if !counted.IsZero() && time.Since(counted) > contactTime {
			late += now - before
		}
		if before = now; counted.IsZero() && now >= 5 {
			counted = time.Now()
		}
	}
	t.Logf("%d crashes for 24 requests, %d of them too late", before, late)
	if late > maxLateCrashes {
		t.Errorf("%d engines crashed later than %v after the fifth crash", late, contactTime)
	}
}
