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

// run permits a request that must be allowed.
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

// Guards against retries that repeat a call that may have run, that follow an
// answer already begun, or that exceed time or budget; and against refusals
// that wrongly say "not run".
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
				t.Fatalf("%+v: %+v is untruthful", a, d)
			}
			a.TimeLeft = 0
			if Decide(a).Action == Retry {
				t.Fatalf("%+v: retried without time left", a)
			}
		}
	}
}

// Guards against a guilty request that goes on crashing upstreams.
func TestQuarantineAfterTwoCrashes(t *testing.T) {
	s, guilty := newSuspects(), fingerprint("guilty")
	run(t, s, guilty, "u1")
	if s.Crashed(start, "u1", "boot1") {
		t.Fatal("quarantined after one crash")
	}
	run(t, s, guilty, "u2")
	wantVerdict(t, s, guilty, "u3", AwaitIsolation) // one run of a suspect at a time
	if !s.Crashed(start, "u2", "boot1") {
		t.Fatal("not quarantined after two crashes")
	}
	wantVerdict(t, s, guilty, "u3", Quarantined)
	if _, quarantined := s.Quarantined(start.Add(SuspicionTTL), guilty); quarantined {
		t.Fatal("the quarantine does not end")
	}
}

// Guards against an innocent request that is retried together with the guilty
// one, crashes with it again and is quarantined: the second retry has to wait
// for an upstream without suspects.
func TestSuspectsRunApart(t *testing.T) {
	s, guilty, innocent := newSuspects(), fingerprint("guilty"), fingerprint("innocent")
	run(t, s, guilty, "u1")
	run(t, s, innocent, "u1")
	s.Crashed(start, "u1", "boot1")
	run(t, s, guilty, "u2")
	if free := s.PermittedUpstreams(start, innocent, []string{"u2", "u3"}); len(free) != 1 || free[0] != "u3" {
		t.Fatalf("Isolate returned %v, want u3 only", free)
	}
	wantVerdict(t, s, innocent, "u2", AwaitIsolation)
	r := run(t, s, innocent, "u3")
	changed := s.Changed()
	s.Crashed(start, "u2", "boot1")
	select {
	case <-changed:
	default:
		t.Fatal("a request that waits for isolation is not woken")
	}
	r.Completed(start)
	if dump := s.Dump(start); len(dump) != 1 || dump[0].Fingerprint != guilty.String() || !dump[0].Quarantined {
		t.Fatalf("want the guilty request in quarantine only, got %+v", dump)
	}
}

// Guards against an innocent request that is quarantined because copies of it
// and of the guilty one were together at two upstreams before either was a
// suspect.
func TestSharedCrashesProveNothing(t *testing.T) {
	s, guilty, innocent := newSuspects(), fingerprint("guilty"), fingerprint("innocent")
	for _, upstream := range []string{"u1", "u2"} {
		run(t, s, guilty, upstream)
		run(t, s, innocent, upstream)
	}
	s.Crashed(start, "u1", "boot1")
	if s.Crashed(start, "u2", "boot1") {
		t.Fatal("quarantined although either request may be guilty")
	}
	run(t, s, innocent, "u3").Completed(start)
	run(t, s, guilty, "u4")
	if !s.Crashed(start, "u4", "boot1") {
		t.Fatal("the guilty request was not found")
	}
	wantVerdict(t, s, innocent, "u5", Allowed)
}

// Guards against an innocent request that is quarantined because a host does not
// know what other hosts ran at the upstreams that crashed under copies of it.
func TestCrashesBeforeSuspicionProveNothing(t *testing.T) {
	s, innocent := newSuspects(), fingerprint("innocent")
	run(t, s, innocent, "u1")
	run(t, s, innocent, "u2")
	s.Crashed(start, "u1", "boot1")
	if s.Crashed(start, "u2", "boot1") {
		t.Fatal("quarantined without an isolated run")
	}
}

// Guards against suspects of different hosts that meet at one upstream, and
// against a request that stays a suspect after a peer saw it complete.
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

// Guards against a crash that is noticed only after the request's connection
// was lost and the request retried.
func TestLostRunCountsWhenCrashIsConfirmed(t *testing.T) {
	s, f, other := newSuspects(), fingerprint("a"), fingerprint("b")
	run(t, s, f, "u1").ConnectionLost(start)
	run(t, s, other, "u1").ConnectionLost(start)
	run(t, s, f, "u2")
	wantVerdict(t, s, other, "u2", AwaitIsolation)
	s.Crashed(start, "u1", "boot1")
	if !s.Crashed(start, "u2", "boot1") {
		t.Fatal("the first crash was forgotten")
	}
	later := start.Add(lostRunTime)
	if _, verdict := s.Permit(later, other, "u3"); verdict != Allowed {
		t.Fatalf("verdict %v", verdict)
	}
}

// Guards against memory and heartbeats that grow with the number of crashes.
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

// Guards against suspects of two hosts that run at one upstream because neither
// has heard of the other when it is permitted: exactly one gives way.
func TestContestedRunsGiveWayOnce(t *testing.T) {
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
	if runs[0].Preempted(now) || !runs[1].Preempted(now) {
		t.Errorf("contested: %v and %v, want false and true", runs[0].Preempted(now), runs[1].Preempted(now))
	}
}

// crashRecord is a crash that counts against a request.
func crashRecord(upstream string, isolated bool) record {
	return record{
		crash:    Crash{Upstream: upstream, Boot: "boot1"},
		isolated: isolated, changed: start, expires: start.Add(SuspicionTTL),
	}
}

func wantQuarantined(t *testing.T, s *Suspects, f Fingerprint, want bool, why string) {
	t.Helper()
	if _, quarantined := s.Quarantined(start, f); quarantined != want {
		t.Errorf("quarantined is %v, want %v: %s", quarantined, want, why)
	}
}

// Guards against a guilty request that is never held responsible because each of
// its crashes was shared by some suspect: when no single one explains them, the
// third crash quarantines it.
func TestThirdCrashQuarantines(t *testing.T) {
	s, guilty := newSuspects(), fingerprint("guilty")
	first, second := fingerprint("first"), fingerprint("second")
	s.accuse(start, first, crashRecord("u0", false))
	s.accuse(start, second, crashRecord("u0", false))
	s.accuse(start, guilty, crashRecord("u1", false))
	s.accuse(start, guilty, crashRecord("u2", true))
	s.accuse(start, first, crashRecord("u2", false))
	wantQuarantined(t, s, guilty, false, "either request may be guilty")
	s.accuse(start, guilty, crashRecord("u3", true))
	s.accuse(start, second, crashRecord("u3", false))
	wantQuarantined(t, s, guilty, true, "no other request was at u2 and u3")
	wantQuarantined(t, s, first, false, "it was never alone")
	wantQuarantined(t, s, second, false, "it was never alone")
}

// Guards against an innocent request that is quarantined because it was sent as
// the only suspect to two crashes of a guilty request that another host, which
// had not heard of the crashes yet, sent to the same upstreams; and against a
// guilty one that stays free once the innocent one has completed.
func TestCompanionOfAllCrashesIsNotProof(t *testing.T) {
	s, guilty, innocent := newSuspects(), fingerprint("guilty"), fingerprint("innocent")
	for _, upstream := range []string{"u1", "u2", "u3"} {
		s.accuse(start, guilty, crashRecord(upstream, upstream == "u3"))
		s.accuse(start, innocent, crashRecord(upstream, upstream != "u1"))
	}
	wantQuarantined(t, s, innocent, false, "the guilty request was at all of its crashes")
	later := start.Add(yieldTime) // the other one did not come back
	alone, verdict := s.Permit(later, innocent, "u4")
	if verdict != Allowed {
		t.Fatalf("verdict %v, want Allowed", verdict)
	}
	alone.Completed(later)
	wantQuarantined(t, s, guilty, true, "no other request is left to explain u3")
}

// exchange lets each of two hosts take over what the other one knows.
func exchange(a, b *Suspects) {
	for range 2 {
		suspicions, runs := a.Export(start, DefaultExportLimit)
		b.Merge(start, "a", suspicions, runs)
		suspicions, runs = b.Export(start, DefaultExportLimit)
		a.Merge(start, "b", suspicions, runs)
	}
}

// Guards against a guilty request that crashes a fourth engine: on a busy machine
// two hosts sent it and the same innocent one to one engine at once, time and again,
// so that no crash proved anything (make faults, seed 90417, four crashes).
func TestSuspectsThatSharedAllCrashesTakeTurns(t *testing.T) {
	for _, names := range [][2]string{{"guilty", "innocent"}, {"guilty", "another"}, {"wicked", "innocent"}, {"bad", "good"}} {
		guilty, innocent := fingerprint(names[0]), fingerprint(names[1])
		a, b := newSuspects(), newSuspects()
		run(t, a, guilty, "u1")
		run(t, b, innocent, "u1")
		crash := func(upstream, boot string) {
			a.Crashed(start, upstream, boot)
			b.Crashed(start, upstream, boot)
			exchange(a, b)
		}
		crash("u1", "boot1")
		run(t, a, guilty, "u2") // neither host has heard of the other's run
		run(t, b, innocent, "u2")
		crash("u2", "boot1")
		guiltyRun, guiltyVerdict := a.Permit(start, guilty, "u3")
		innocentRun, innocentVerdict := b.Permit(start, innocent, "u3")
		switch {
		case guiltyVerdict == Allowed && innocentVerdict == AwaitIsolation:
			crash("u3", "boot1")
		case guiltyVerdict == AwaitIsolation && innocentVerdict == Allowed:
			innocentRun.Completed(start)
			exchange(a, b)
		default:
			t.Fatalf("%v: verdicts %v and %v, want one run (%v)", names, guiltyVerdict, innocentVerdict, guiltyRun)
		}
		wantQuarantined(t, a, guilty, true, "it is the only one left")
		wantQuarantined(t, b, guilty, true, "it is the only one left")
		wantQuarantined(t, b, innocent, false, "its crashes were those of the guilty one")
		if _, verdict := b.Permit(start.Add(yieldTime), innocent, "u4"); verdict != Allowed {
			t.Errorf("%v: the innocent request still waits: %v", names, verdict)
		}
	}
}
