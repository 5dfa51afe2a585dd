package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/pace"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// Guards against windows for upstreams that only this host did not know, and against none for one
// that starts or whose connection is lost.
func TestSlowStartBegins(t *testing.T) {
	r := newTestRegistry()
	now := clock.SinceBoot()
	r.now = func() time.Duration { return now }
	add := func(id string, revision int64) {
		row := table.Row{Key: id, Value: []byte("{}"), Revision: revision}
		r.Replica.ApplyPage(table.Page{Rows: []table.Row{row}, Position: table.Position{Revision: revision}}, false, now)
	}
	expect := func(want ...string) {
		t.Helper()
		dump := r.slowStartDump()
		for i, w := range want {
			if len(dump) != len(want) || dump[i].Upstream+" "+string(dump[i].Reason) != w {
				t.Fatalf("windows %+v, want %v", dump, want)
			}
		}
	}
	add("s3", 3)
	expect()
	now += settledTime + time.Second
	add("s4", 4)
	r.RecordOutcome("s1", OutcomeConnectionLost)
	expect("s1 recovered", "s4 started")
	for _, c := range r.Candidates("ledger", "", "") {
		if id := c.Upstream.ID; c.Limited != (id == "s1" || id == "s4") {
			t.Errorf("%s limited: %v", id, c.Limited)
		}
	}
	for _, weight := range []float64{0.1, 1} {
		r.paceSample(now+minBackoff, pace.Incarnation{ID: "s4"}, 3, weight)
	}
	if closes := r.slow.Closes(); closes != 1 {
		t.Errorf("closed %d times; a time to the first event says little", closes)
	}
	now += time.Minute
	r.takePaces()
	expect()
	if r.slow.Len() != 0 {
		t.Error("windows outlive their time")
	}
}

// Guards against a window that makes a request wait or be refused, and one that does not shape the
// choice.
func TestChoiceBySlowStart(t *testing.T) {
	limited := func(room float32) Candidate { return Candidate{Limited: true, Room: room} }
	for name, test := range map[string]struct {
		candidates []Candidate
		want       int
	}{
		"only one":               {[]Candidate{limited(-5)}, 0},
		"largest room":           {[]Candidate{limited(-3), limited(0), limited(-1)}, 1},
		"room before load":       {[]Candidate{limited(0), {Limited: true, Room: 1, Load: 5}}, 1},
		"no room":                {[]Candidate{limited(0), {Load: 7}}, 1},
		"room":                   {[]Candidate{limited(1), {Load: 3}}, 0},
		"others full":            {[]Candidate{limited(0), {Load: 20}}, 0},
		"others in backoff":      {[]Candidate{limited(-1), {InBackoff: true}}, 0},
		"limited one in backoff": {[]Candidate{{Limited: true, Room: 3, InBackoff: true}, limited(0)}, 1},
	} {
		for i := range test.candidates {
			c := &test.candidates[i]
			c.Upstream, c.HasAdapter, c.Pace, c.Situation = &catalog.Upstream{ID: string(rune('a' + i)), Slots: 8}, true, 1, &Situation{}
		}
		chosen := selection{request: &call.Request{}, random: rand.New(rand.NewPCG(1, 2))}.choose(test.candidates)
		if chosen != &test.candidates[test.want] {
			t.Errorf("%s: chose %+v", name, chosen)
		}
	}
}

// Guards against a window that lets a whole queue through at once: the requests of one pass share
// the candidates.
func TestQueueUsesUpRoom(t *testing.T) {
	candidates := []Candidate{{Upstream: &catalog.Upstream{ID: "a"}, Limited: true, Room: 1}}
	p := slotPass{candidates: map[candidatesKey][]Candidate{{}: candidates}}
	p.addLoad("a", 10)
	if candidates[0].Room != 0 {
		t.Errorf("room %v", candidates[0].Room)
	}
}
