package retry

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(name string) Fingerprint {
	return NewFingerprint("w", "POST /v1/completions", []byte(name))
}

func newSuspects() *Suspects { return NewSuspects(prometheus.NewRegistry()) }

// run requests a run and fails the test unless it is allowed.
func run(t *testing.T, s *Suspects, f Fingerprint, upstream string) *Run {
	t.Helper()
	r, verdict := s.Permit(start, f, upstream)
	if verdict != Allowed {
		t.Fatalf("verdict %v at %s, want Allowed", verdict, upstream)
	}
	return r
}

func wantVerdict(t *testing.T, s *Suspects, f Fingerprint, upstream string, want Verdict) {
	t.Helper()
	if _, verdict := s.Permit(start, f, upstream); verdict != want {
		t.Fatalf("verdict %v at %s, want %v", verdict, upstream, want)
	}
}

// Guards against retries of a request that may have run and is not idempotent, that
// has begun to answer the caller, or whose time or budget is used up; and against
// refusals that say "not run" for a request that may have run.
func TestDecideRules(t *testing.T) {
	bools := []bool{false, true}
	for class := ConnectFailed; class <= ProtocolError; class++ {
		for mask := range 1 << 5 {
			bit := func(i int) bool { return bools[mask>>i&1] }
			a := Attempt{
				Class: class, Idempotent: bit(0), BudgetLeft: bit(1),
				Quarantined: bit(2), EarlierMayHaveRun: bit(3), TimeLeft: time.Second,
			}
			if bit(4) {
				a.BytesToCaller = 1
			}
			notRun := (class == ConnectFailed || class == RefusedNotRun) && !a.EarlierMayHaveRun
			d := Decide(a)
			allowed := (a.Idempotent || notRun) && a.BytesToCaller == 0 && a.BudgetLeft && !a.Quarantined
			if (d.Action == Retry) != allowed {
				t.Fatalf("%+v: %+v", a, d)
			}
			if d.MayHaveRun == notRun || (d.Action == RefuseNotRun && !notRun) {
				t.Fatalf("%+v: %+v misstates whether the request may have run", a, d)
			}
			a.TimeLeft = 0
			if Decide(a).Action == Retry {
				t.Fatalf("%+v: retried without time left", a)
			}
		}
	}
}

// Guards against a poison request, one that crashes every upstream it runs at, that
// is never quarantined.
func TestQuarantineAfterTwoCrashes(t *testing.T) {
	s, poison := newSuspects(), fingerprint("poison")
	run(t, s, poison, "u1")
	if s.Crashed(start, "u1", "boot1") {
		t.Fatal("quarantined after one crash")
	}
	run(t, s, poison, "u2")
	wantVerdict(t, s, poison, "u3", AwaitIsolation) // one run of a suspect at a time
	if !s.Crashed(start, "u2", "boot1") {
		t.Fatal("not quarantined after two crashes")
	}
	wantVerdict(t, s, poison, "u3", Quarantined)
	if _, quarantined := s.Quarantined(start.Add(SuspicionTTL), poison); quarantined {
		t.Fatal("still quarantined after SuspicionTTL")
	}
}

// Guards against a harmless request that is retried at the same upstream as the
// poison one, shares another crash and is quarantined: the second retry has to wait
// for an upstream without suspects.
func TestSuspectsRunIsolated(t *testing.T) {
	s, poison, harmless := newSuspects(), fingerprint("poison"), fingerprint("harmless")
	run(t, s, poison, "u1")
	run(t, s, harmless, "u1")
	s.Crashed(start, "u1", "boot1")
	run(t, s, poison, "u2")
	if free := s.PermittedUpstreams(start, harmless, []string{"u2", "u3"}); len(free) != 1 || free[0] != "u3" {
		t.Fatalf("PermittedUpstreams returned %v, want u3 only", free)
	}
	wantVerdict(t, s, harmless, "u2", AwaitIsolation)
	r := run(t, s, harmless, "u3")
	changed := s.Changed()
	s.Crashed(start, "u2", "boot1")
	select {
	case <-changed:
	default:
		t.Fatal("the channel of Changed was not closed by a crash")
	}
	r.Completed(start)
	if dump := s.Dump(start); len(dump) != 1 || dump[0].Fingerprint != poison.String() || !dump[0].Quarantined {
		t.Fatalf("want only the poison request, quarantined, got %+v", dump)
	}
}

// Guards against a harmless request that is quarantined because it and the poison
// request ran at the same two upstreams before either was a suspect.
func TestSharedCrashesDoNotQuarantine(t *testing.T) {
	s, poison, harmless := newSuspects(), fingerprint("poison"), fingerprint("harmless")
	for _, upstream := range []string{"u1", "u2"} {
		run(t, s, poison, upstream)
		run(t, s, harmless, upstream)
	}
	s.Crashed(start, "u1", "boot1")
	if s.Crashed(start, "u2", "boot1") {
		t.Fatal("quarantined although either request may be the cause")
	}
	run(t, s, harmless, "u3").Completed(start)
	run(t, s, poison, "u4")
	if !s.Crashed(start, "u4", "boot1") {
		t.Fatal("the poison request was not quarantined")
	}
	wantVerdict(t, s, harmless, "u5", Allowed)
}

// Guards against a harmless request that is quarantined because it ran at two
// upstreams that crashed, when a host cannot know what other hosts ran there.
func TestCrashesOfUnisolatedRunsDoNotQuarantine(t *testing.T) {
	s, harmless := newSuspects(), fingerprint("harmless")
	run(t, s, harmless, "u1")
	run(t, s, harmless, "u2")
	s.Crashed(start, "u1", "boot1")
	if s.Crashed(start, "u2", "boot1") {
		t.Fatal("quarantined without an isolated run")
	}
}

// Guards against suspects of different hosts that run at one upstream, and against a
// request that stays a suspect after it completed at a peer.
func TestPeersExchangeRunsAndClearings(t *testing.T) {
	a, b, f, other := newSuspects(), newSuspects(), fingerprint("f"), fingerprint("other")
	run(t, a, f, "u1")
	run(t, b, other, "u1")
	a.Crashed(start, "u1", "boot1")
	b.Crashed(start, "u1", "boot1")
	isolated := run(t, a, f, "u2")
	tell := func(from, to *Suspects) {
		suspicions, runs := from.Export(start, DefaultExportLimit)
		to.Merge(start, "peer", suspicions, runs)
	}
	tell(a, b)
	wantVerdict(t, b, other, "u2", AwaitIsolation)
	wantVerdict(t, b, f, "u3", AwaitIsolation)
	isolated.Completed(start)
	tell(a, b)
	run(t, b, f, "u3")
	run(t, b, other, "u2")
	if dump := b.Dump(start); len(dump) != 1 || dump[0].Fingerprint != other.String() {
		t.Fatalf("want one suspect, got %+v", dump)
	}
}

// Guards against a crash that is not recorded because it is detected only after the
// connection was lost and the request was retried.
func TestLostRunCountsWhenCrashIsConfirmed(t *testing.T) {
	s, f, other := newSuspects(), fingerprint("a"), fingerprint("b")
	run(t, s, f, "u1").ConnectionLost(start)
	run(t, s, other, "u1").ConnectionLost(start)
	run(t, s, f, "u2")
	wantVerdict(t, s, other, "u2", AwaitIsolation)
	s.Crashed(start, "u1", "boot1")
	if !s.Crashed(start, "u2", "boot1") {
		t.Fatal("the first crash was not recorded")
	}
	later := start.Add(lostRunTTL)
	if _, verdict := s.Permit(later, other, "u3"); verdict != Allowed {
		t.Fatalf("verdict %v", verdict)
	}
}

// Guards against holding a crash against a run that began after the upstream had started
// again: the host notices the crash a second time, by the restart, when the run is in
// progress.
func TestCrashNoticedTwiceIsNotHeldAgainstLaterRuns(t *testing.T) {
	s, poison, harmless := newSuspects(), fingerprint("poison"), fingerprint("harmless")
	run(t, s, harmless, "u9").ConnectionLost(start)
	s.Crashed(start, "u9", "boot1")
	run(t, s, poison, "u1").ConnectionLost(start)
	s.Crashed(start, "u1", "boot1") // a connection was refused
	run(t, s, harmless, "u1")       // at the new boot
	s.Crashed(start, "u1", "boot1") // the restart was noticed
	wantQuarantined(t, s, harmless, false, "it began after the crash")
	run(t, s, poison, "u2").ConnectionLost(start)
	if !s.Crashed(start, "u2", "boot1") {
		t.Error("the poison request is not quarantined")
	}
}

// Guards against holding a crash against a run that the upstream goes on with: it began at
// the new boot, before the host noticed the restart (TestCrashingRequestIsQuarantined, once
// in 42 runs).
func TestCrashIsClearedForARunThatProgresses(t *testing.T) {
	s, harmless := newSuspects(), fingerprint("harmless")
	going := run(t, s, harmless, "u1")
	s.Crashed(start, "u1", "boot1")
	going.Progressed(start)
	if s.Suspected(start, harmless) {
		t.Error("the crash is held against a run that goes on")
	}
	going.ConnectionLost(start)
	s.Crashed(start, "u1", "boot2")
	if !s.Suspected(start, harmless) {
		t.Error("a later crash is not recorded against the run")
	}
}

// Guards against holding a crash against a run that was permitted at an upstream which had
// crashed already, and was never sent. The crash of the request that causes them could then
// not be attributed, and the request was allowed again (TestCrashingRequestIsQuarantined).
func TestCrashIsClearedForARunThatWasNotSent(t *testing.T) {
	s, poison, harmless := newSuspects(), fingerprint("poison"), fingerprint("harmless")
	run(t, s, poison, "u1").ConnectionLost(start)
	run(t, s, harmless, "u1").ConnectionLost(start)
	s.Crashed(start, "u1", "boot1")
	run(t, s, poison, "u2").ConnectionLost(start)
	unsent := run(t, s, harmless, "u2") // u2 refuses connections
	s.Crashed(start, "u2", "boot1")
	unsent.NotRun(start)
	wantQuarantined(t, s, poison, true, "the other run was not sent")
	wantQuarantined(t, s, harmless, false, "it was not sent")
}

// Guards against memory use and heartbeats that grow without bound with the number
// of crashes.
func TestSuspectsAreBounded(t *testing.T) {
	s := newSuspects()
	for i := range 2 * maxSuspects {
		r, _ := s.Permit(start.Add(time.Duration(i)), NewFingerprint("w", "r", []byte{byte(i), byte(i >> 8)}), "u")
		if r != nil && i%64 == 63 {
			s.Crashed(start.Add(time.Duration(i)), "u", string(rune(i)))
		}
	}
	if len(s.suspects) > maxSuspects {
		t.Fatalf("%d suspects", len(s.suspects))
	}
	if sent, _ := s.Export(start, DefaultExportLimit); len(sent) > DefaultExportLimit {
		t.Fatalf("%d suspicions sent", len(sent))
	}
}

func BenchmarkPermitAndComplete(b *testing.B) {
	s, f := newSuspects(), fingerprint("a")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, _ := s.Permit(start, f, "u1")
			r.Completed(start)
		}
	})
}

// Guards against suspects of two hosts that both run at one upstream because neither
// host had received the other's announcement when it permitted its run: exactly one
// run is preempted.
func TestOneOfTwoConflictingRunsIsPreempted(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fingerprints := []Fingerprint{{1}, {2}}
	hosts := []*Suspects{NewSuspects(prometheus.NewRegistry()), NewSuspects(prometheus.NewRegistry())}
	runs := make([]*Run, len(hosts))
	for i, s := range hosts {
		first, _ := s.Permit(now, fingerprints[i], "crashed")
		s.Crashed(now, "crashed", "boot")
		first.Ended()
		var verdict Verdict
		if runs[i], verdict = s.Permit(now, fingerprints[i], "e"); verdict != Allowed || !runs[i].Isolated() {
			t.Fatalf("host %d: verdict %v", i, verdict)
		}
	}
	for i, s := range hosts {
		suspicions, isolated := hosts[1-i].Export(now, 10)
		s.Merge(now, "other", suspicions, isolated)
	}
	if first, second := runs[0].Begin(now), runs[1].Begin(now); !first || second {
		t.Errorf("begun: %v and %v, want true and false", first, second)
	}
}

// crashRecord returns an uncleared record.
func crashRecord(upstream string, isolated bool) record {
	return record{
		crash:    Crash{Upstream: upstream, Boot: "boot1"},
		isolated: isolated, changedAt: start, expires: start.Add(SuspicionTTL),
	}
}

func wantQuarantined(t *testing.T, s *Suspects, f Fingerprint, want bool, why string) {
	t.Helper()
	if _, quarantined := s.Quarantined(start, f); quarantined != want {
		t.Errorf("quarantined is %v, want %v: %s", quarantined, want, why)
	}
}

// Guards against a poison request that is never quarantined because each of its
// crashes was shared by some suspect: if no single suspect was involved in all of
// them, the third crash quarantines the request.
func TestThirdCrashQuarantines(t *testing.T) {
	s, poison := newSuspects(), fingerprint("poison")
	first, second := fingerprint("first"), fingerprint("second")
	s.addCrash(start, first, crashRecord("u0", false))
	s.addCrash(start, second, crashRecord("u0", false))
	s.addCrash(start, poison, crashRecord("u1", false))
	s.addCrash(start, poison, crashRecord("u2", true))
	s.addCrash(start, first, crashRecord("u2", false))
	wantQuarantined(t, s, poison, false, "either request may be the cause")
	s.addCrash(start, poison, crashRecord("u3", true))
	s.addCrash(start, second, crashRecord("u3", false))
	wantQuarantined(t, s, poison, true, "no other request was involved in the crashes of both u2 and u3")
	wantQuarantined(t, s, first, false, "it never ran isolated")
	wantQuarantined(t, s, second, false, "it never ran isolated")
}

// Guards against a harmless request that is quarantined because it ran isolated
// during two crashes, while another host, which did not know of the earlier crashes
// yet, ran the poison request at the same upstreams; and against a poison request
// that is not quarantined once the harmless one has completed.
func TestCrashesExplainedByOtherRequestDoNotQuarantine(t *testing.T) {
	s, poison, harmless := newSuspects(), fingerprint("poison"), fingerprint("harmless")
	for _, upstream := range []string{"u1", "u2", "u3"} {
		s.addCrash(start, poison, crashRecord(upstream, upstream == "u3"))
		s.addCrash(start, harmless, crashRecord(upstream, upstream != "u1"))
	}
	wantQuarantined(t, s, harmless, false, "the poison request was involved in all of its crashes")
	later := start.Add(deferTimeout) // the other request was not retried
	alone, verdict := s.Permit(later, harmless, "u4")
	if verdict != Allowed {
		t.Fatalf("verdict %v, want Allowed", verdict)
	}
	alone.Completed(later)
	wantQuarantined(t, s, poison, true, "no other request was involved in the crash of u3")
}

// exchange merges the state of each of two hosts into the other.
func exchange(a, b *Suspects) {
	for range 2 {
		suspicions, runs := a.Export(start, DefaultExportLimit)
		b.Merge(start, "a", suspicions, runs)
		suspicions, runs = b.Export(start, DefaultExportLimit)
		a.Merge(start, "b", suspicions, runs)
	}
}

// Guards against a poison request that crashes four engines: on a busy machine, two
// hosts repeatedly ran it and the same harmless request at one engine at once, so that
// no crash could be attributed (make faults, seed 90417). The names below give
// fingerprints in either order.
func TestSuspectsThatSharedAllCrashesTakeTurns(t *testing.T) {
	for _, names := range [][2]string{{"poison", "harmless"}, {"poison", "other"}, {"crashing", "harmless"}, {"poison", "bystander"}} {
		poison, harmless := fingerprint(names[0]), fingerprint(names[1])
		a, b := newSuspects(), newSuspects()
		run(t, a, poison, "u1")
		run(t, b, harmless, "u1")
		crash := func(upstream, boot string) {
			a.Crashed(start, upstream, boot)
			b.Crashed(start, upstream, boot)
			exchange(a, b)
		}
		crash("u1", "boot1")
		run(t, a, poison, "u2") // neither host has received the other's announcement
		run(t, b, harmless, "u2")
		crash("u2", "boot1")
		poisonRun, poisonVerdict := a.Permit(start, poison, "u3")
		harmlessRun, harmlessVerdict := b.Permit(start, harmless, "u3")
		switch {
		case poisonVerdict == Allowed && harmlessVerdict == AwaitIsolation:
			crash("u3", "boot1")
		case poisonVerdict == AwaitIsolation && harmlessVerdict == Allowed:
			harmlessRun.Completed(start)
			exchange(a, b)
		default:
			t.Fatalf("%v: verdicts %v and %v, want one run (%v)", names, poisonVerdict, harmlessVerdict, poisonRun)
		}
		wantQuarantined(t, a, poison, true, "no other request can be the cause")
		wantQuarantined(t, b, poison, true, "no other request can be the cause")
		wantQuarantined(t, b, harmless, false, "it shared all crashes with the poison request")
		if _, verdict := b.Permit(start.Add(deferTimeout), harmless, "u4"); verdict != Allowed {
			t.Errorf("%v: the harmless request must still wait: %v", names, verdict)
		}
	}
}
