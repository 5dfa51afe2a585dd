package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

// Guards against loads and paces that get lost on the way to the choice, and against relying
// on fields that a coordinator or host of an earlier version leaves out.
func TestExchangeCarriesLoadsAndPaces(t *testing.T) {
	r := newTestRegistry()
	now := time.Hour
	r.now = func() time.Duration { return now }
	candidate := func() Candidate {
		for _, c := range r.Candidates("ledger", "", "") {
			if c.Upstream.ID == "s1" {
				return c
			}
		}
		t.Fatal("no candidate s1")
		return Candidate{}
	}
	release := r.TrackRequest("s1", "", "", 1630)
	if counts := r.RunningCounts(); len(counts) != 1 || counts[0].Tokens != 1630 {
		t.Errorf("running %+v", counts)
	}
	const current = `{"running": [{"upstream": "s1", "count": 3, "tokens": 5000}], "pace_version": 7, "paces_full": true,
		"paces": [{"upstream": "s1", "born": 0, "ratio": 3, "weight": 4}]}`
	const earlier = `{"running": [{"upstream": "s1", "count": 2}]}`
	apply := func(message string) {
		var reply coordinator.ExchangeReply
		if err := json.Unmarshal([]byte(message), &reply); err != nil {
			t.Fatal(err)
		}
		r.ApplyExchange(&reply)
	}
	apply(current)
	if c := candidate(); c.Load != 4 || c.Own != 1 || c.Tokens != 6630 || c.Pace < 2 || c.OthersAge != exchangeInterval {
		t.Errorf("candidate %+v", c)
	}
	if dump := r.paceDump(); len(dump) != 1 || dump[0].ID != "s1" || dump[0].Factor < 2 || dump[0].SampleMS != -1 {
		t.Errorf("dump %+v", dump)
	}
	if _, version := r.takePaces(); version != 7 {
		t.Errorf("version %d", version)
	}
	release()
	now += 40 * time.Second
	apply(earlier)
	if c := candidate(); c.Load != 2 || c.Own != 0 || c.Tokens != 0 || c.Pace > 1.1 {
		t.Errorf("candidate by a coordinator of an earlier version %+v", c)
	}
	if _, version := r.takePaces(); version != -1 {
		t.Errorf("version %d of a coordinator that shares none", version)
	}
}

// Guards against a run that keeps being measured after its end, or whose upstream's pace is
// not reported.
func TestRunsAreMeasured(t *testing.T) {
	r := newTestRegistry()
	now := time.Hour
	r.now = func() time.Duration { return now }
	answer := func(id string, took time.Duration) {
		to := &Candidate{Upstream: &catalog.Upstream{ID: id, Service: "ledger"}}
		run := r.BeginRun(to, 0)
		r.takePaces()
		now += took
		r.EndRun(run, true)
		r.EndRun(run, true)
	}
	for range 20 {
		answer("s2", 50*time.Millisecond)
	}
	answer("s1", 200*time.Millisecond)
	samples, _ := r.takePaces()
	if len(samples) != 1 || samples[0].Upstream != "s1" || samples[0].Ratio < 3.5 || samples[0].Ratio > 4.5 {
		t.Errorf("samples %+v", samples)
	}
	r.EndRun(nil, false)
	r.RecordEvents(nil, 1)
	if c := r.Candidates("ledger", "", ""); c[0].Usual.Duration < 40*time.Millisecond || c[0].Usual.Duration > 70*time.Millisecond {
		t.Errorf("usual duration %v", c[0].Usual.Duration)
	}
}
