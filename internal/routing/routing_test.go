package routing

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func newTracker() *Tracker { return NewTracker(64, "h1-", prometheus.NewRegistry()) }

// localCandidate returns a candidate in the host's data centre.
func localCandidate(address string, load int) Candidate {
	return Candidate{Address: address, DataCenter: "dc1", InFlight: load, Slots: 4, ServiceTime: 100 * time.Millisecond}
}

// requireChoice checks that repeated choices always return the wanted candidate.
func requireChoice(t *testing.T, r Request, candidates []Candidate, want int) {
	t.Helper()
	r.DataCenter = "dc1"
	random := newRandom()
	for range 50 {
		if got, ok := Choose(r, candidates, random); !ok || got != want {
			t.Fatalf("chose candidate %d (%v), want %d", got, ok, want)
		}
	}
}

// Guards against new work for upstreams that are leaving, suspect or already tried.
func TestExcludedCandidates(t *testing.T) {
	candidates := []Candidate{localCandidate("a", 0), localCandidate("b", 0), localCandidate("c", 0), localCandidate("d", 9)}
	candidates[0].Leaving = true
	candidates[1].Suspect = true
	requireChoice(t, Request{Tried: []string{"c"}}, candidates, 3)
	if _, ok := Choose(Request{Tried: []string{"c", "d"}}, candidates, newRandom()); ok {
		t.Fatal("chose an excluded candidate")
	}
	random := Params{Policy: Random}
	if i, ok := random.Choose(Request{DataCenter: "dc1", Tried: []string{"c"}}, candidates, newRandom()); !ok || i != 3 {
		t.Fatalf("random policy chose candidate %d", i)
	}
}

// Guards against needless traffic between data centres, and against queueing in
// one data centre while another one is idle.
func TestSpillOver(t *testing.T) {
	far := localCandidate("far", 0)
	far.DataCenter, far.RoundTrip = "dc2", 3*time.Millisecond
	// Each request at an upstream adds 25 ms; round trip and margin are 13 ms.
	requireChoice(t, Request{}, []Candidate{localCandidate("a", 0), far}, 0)
	requireChoice(t, Request{}, []Candidate{localCandidate("a", 4), far}, 1)
	far.InFlight = 4
	requireChoice(t, Request{}, []Candidate{localCandidate("a", 4), far}, 0)
}

// Guards against requests sent to a full upstream for a short prefix, and against
// requests that give up a cached prefix for a small difference in load.
func TestPrefixAgainstLoad(t *testing.T) {
	cached := localCandidate("cached", 1)
	cached.PrefixBlocks = 60
	requireChoice(t, Request{PrefixHashes: make([]uint64, 60)}, []Candidate{localCandidate("empty", 0), cached}, 1)
	cached.InFlight = 12
	requireChoice(t, Request{PrefixHashes: make([]uint64, 60)}, []Candidate{localCandidate("empty", 0), cached}, 0)
}

// Guards against adapter loads when an equal replica has the adapter resident.
func TestAdapterResidency(t *testing.T) {
	params := DefaultParams
	params.LoadTolerance = 0
	resident := localCandidate("resident", 0)
	resident.AdapterLoaded = true
	for range 50 {
		got, _ := params.Choose(Request{DataCenter: "dc1", Adapter: true}, []Candidate{localCandidate("other", 0), resident}, newRandom())
		if got != 1 {
			t.Fatal("chose the replica without the adapter")
		}
	}
}

// Guards against hosts that all choose the same upstream from the same reports,
// and against a prefix that is spread over several upstreams.
func TestSpreadOfEqualCandidates(t *testing.T) {
	var candidates []Candidate
	for i := range 6 {
		candidates = append(candidates, localCandidate(fmt.Sprint("u", i), 0))
	}
	random := newRandom()
	plain, prefixed := map[int]int{}, map[int]int{}
	for i := range 600 {
		index, _ := Choose(Request{DataCenter: "dc1"}, candidates, random)
		plain[index]++
		index, _ = Choose(Request{DataCenter: "dc1", PrefixHashes: []uint64{uint64(i % 2)}}, candidates, random)
		prefixed[index]++
	}
	for i := range candidates {
		if plain[i] < 50 {
			t.Fatalf("upstream %d got %d of 600 requests", i, plain[i])
		}
	}
	if len(prefixed) > 2 {
		t.Fatalf("two uncached prefixes were sent to %d upstreams", len(prefixed))
	}
}

// Guards against counting this host's requests twice, once as in flight and once
// from a lagging report.
func TestOwnRequestsInReport(t *testing.T) {
	tracker := newTracker()
	for _, id := range []string{"h1-1", "h1-2", "h1-3"} {
		tracker.RecordStart("u", id, nil, start)
	}
	tracker.RecordStart("u", "h1-4", nil, start.Add(time.Second)) // after the report
	report := &engine.Report{
		Running: []engine.Running{
			{RequestID: "h1-1"}, {RequestID: "h1-0"}, // h1-0 has finished since the report
			{RequestID: "h2-1"}, {RequestID: "h2-2"},
		},
		QueueDepth: 5, // two of them are h1-2 and h1-3
		MaxBatch:   4,
	}
	tracker.ObserveReport("u", report, start)
	c := Candidate{Address: "u"}
	tracker.FillCandidate(&c, nil)
	if c.InFlight != 4 || c.OtherLoad != 2+3 || c.Slots != 4 {
		t.Fatalf("got %+v", c)
	}
}

// Guards against hosts that all react at once to a single report.
func TestReportsAreSmoothed(t *testing.T) {
	tracker := newTracker()
	tracker.ObserveReport("u", &engine.Report{QueueDepth: 10}, start)
	tracker.ObserveReport("u", &engine.Report{QueueDepth: 0}, start)
	c := Candidate{Address: "u"}
	if tracker.FillCandidate(&c, nil); c.OtherLoad != 9 {
		t.Fatalf("load %d, want 9", c.OtherLoad)
	}
}

func cachedBlocks(tracker *Tracker, chain []uint64) int {
	c := Candidate{Address: "u"}
	tracker.FillCandidate(&c, chain)
	return c.PrefixBlocks
}

// Guards against stale index entries after cache events, a gap or a restart.
func TestCacheEventsCorrectTheIndex(t *testing.T) {
	tracker := newTracker()
	running, ended := []uint64{1, 2, 3}, []uint64{11, 12}
	tracker.RecordStart("u", "h1-1", running, start)
	tracker.RecordStart("u", "h1-2", ended, start)
	tracker.RecordFinish("u", "h1-2", true, start)
	event := func(seq uint64, kind string, hash uint64) {
		tracker.ObserveEvents("u", []engine.CacheEvent{{Seq: seq, Kind: kind, PrefixHash: hash}})
	}
	want := func(step string, ofRunning, ofEnded int) {
		t.Helper()
		if a, b := cachedBlocks(tracker, running), cachedBlocks(tracker, ended); a != ofRunning || b != ofEnded {
			t.Fatalf("after %s: %d and %d blocks, want %d and %d", step, a, b, ofRunning, ofEnded)
		}
	}
	event(5, engine.CacheRemoved, 2)
	want("removal", 1, 2)
	event(6, engine.CacheStored, 2)
	event(6, engine.CacheRemoved, 2) // repeated sequence number
	want("store", 3, 2)
	event(9, engine.CacheStored, 13) // two events are missing: up to two removals
	want("gap", 3, 0)
	event(10, engine.CacheStored, 11)
	want("store after gap", 3, 1)
	event(11, engine.CacheReset, 0)
	want("reset", 0, 0)
	tracker.ObserveReport("u", &engine.Report{BootID: "b1"}, start)
	event(12, engine.CacheStored, 11)
	tracker.ObserveReport("u", &engine.Report{BootID: "b2"}, start)
	want("restart", 0, 0)
	event(1, engine.CacheStored, 11)
	want("first event after restart", 0, 1)
}

// Guards against memory use that grows with the number of prompts.
func TestIndexIsBounded(t *testing.T) {
	index := newPrefixIndex(100)
	for hash := range uint64(10000) {
		index.touch(hash)
		if index.len() > 100 {
			t.Fatalf("got %d hashes", index.len())
		}
	}
	if index.matchLength([]uint64{9999, 9950, 9901}) != 3 || index.matchLength([]uint64{9899}) != 0 {
		t.Fatal("the index does not hold the most recently used hashes")
	}
	index.evictOldest(40)
	index.touch(1)
	if index.len() != 61 || index.matchLength([]uint64{1, 9940}) != 2 || index.matchLength([]uint64{9939}) != 0 {
		t.Fatal("the least recently used hashes were not evicted")
	}
}

// Guards against equal hashes of prompts that do not share the prefix.
func TestPrefixHashes(t *testing.T) {
	prompt := bytes.Repeat([]byte("0123456789abcdef"), 16)
	chain := PrefixHashes("m", prompt)
	if len(chain) != len(prompt)/BlockBytes {
		t.Fatalf("got %d hashes", len(chain))
	}
	changed := bytes.Clone(prompt)
	changed[BlockBytes] ^= 1
	other := PrefixHashes("m", changed)
	if other[0] != chain[0] || other[1] == chain[1] || other[2] == chain[2] {
		t.Fatal("a changed block must change its hash and all later ones only")
	}
	if PrefixHashes("m:adapter", prompt)[0] == chain[0] {
		t.Fatal("two models have the same hash")
	}
	if len(PrefixHashes("m", prompt[:BlockBytes-1])) != 0 {
		t.Fatal("an incomplete block was hashed")
	}
}

func BenchmarkRouteOneRequest(b *testing.B) {
	tracker := NewTracker(DefaultIndexBlocks, "h1-", prometheus.NewRegistry())
	prefixes := PrefixHashes("m", make([]byte, 16*BlockBytes))
	candidates := make([]Candidate, 3)
	random := newRandom()
	b.ReportAllocs()
	for b.Loop() {
		for i := range candidates {
			candidates[i] = localCandidate([]string{"a", "b", "c"}[i], 0)
			tracker.FillCandidate(&candidates[i], prefixes)
		}
		chosen, _ := Choose(Request{DataCenter: "dc1", PrefixHashes: prefixes}, candidates, random)
		tracker.RecordStart(candidates[chosen].Address, "h1-1", prefixes, start)
		tracker.RecordFinish(candidates[chosen].Address, "h1-1", true, start.Add(time.Millisecond))
	}
}
