package gateway

import (
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// trialHost is a host with quarantined keys, and its clock.
type trialHost struct {
	*requestQuarantine
	t   *testing.T
	now time.Duration
}

func newTrialHost(t *testing.T, name string) *trialHost {
	h := &trialHost{t: t, now: time.Hour}
	h.requestQuarantine = quarantineAt(&h.now)
	h.host = name
	h.reply()
	return h
}

// reply applies a reply of the coordinator with some quarantines.
func (h *trialHost) reply(quarantines ...coordinator.Quarantine) {
	report := h.report()
	h.apply(report, &coordinator.ExchangeReply{Epoch: 1, Quarantines: quarantines})
	if report.epoch != 1 {
		h.reply(quarantines...)
	}
}

// ask reports whether a request is admitted, and its part in trials.
func (h *trialHost) ask(coordinated bool, keys quarantineKeys, of *requestTrial) (bool, *requestTrial) {
	a, trial := h.admit(keys, coordinated, of)
	return a.remaining == 0, trial
}

// outcomes returns what the host reports of its trials.
func (h *trialHost) outcomes() []quarantine.TrialOutcome {
	var outcomes []quarantine.TrialOutcome
	for _, trial := range h.report().trials {
		outcomes = append(outcomes, trial.Outcome)
	}
	return outcomes
}

func (h *trialHost) expectOutcome(want ...quarantine.TrialOutcome) {
	h.t.Helper()
	if got := h.outcomes(); len(got) != len(want) || len(got) > 0 && got[0] != want[0] {
		h.t.Errorf("outcomes %v, want %v", got, want)
	}
}

func ended(key quarantine.Key, host string, id uint64) coordinator.Quarantine {
	return coordinator.Quarantine{Key: key, Trial: &coordinator.Trial{Host: host, ID: id}, Deputy: "deputy"}
}

// Guards against requests that all hosts let through at the end of a quarantine: only one
// runs, at the host that the coordinator has named.
func TestOneRequestIsTriedAtTheEndOfAQuarantine(t *testing.T) {
	bad := quarantineKeys{request: 1, segments: []quarantine.Key{7}}
	other := newTrialHost(t, "b")
	other.reply(ended(7, "a", 5))
	if ok, _ := other.ask(true, bad, nil); ok {
		t.Error("admitted at a host that was not named")
	}
	h := newTrialHost(t, "a")
	h.reply(coordinator.Quarantine{Key: 7, RemainingMS: 1000})
	h.now += 1001 * time.Millisecond
	if ok, _ := h.ask(true, bad, nil); ok {
		t.Error("admitted at the end of the quarantine, before the coordinator has named a host")
	}
	h.reply(ended(7, "a", 5))
	ok, trial := h.ask(true, bad, nil)
	if !ok || trial == nil {
		t.Fatal("the trial was refused")
	}
	if again, _ := h.ask(true, quarantineKeys{request: 2, segments: []quarantine.Key{7}}, nil); again {
		t.Error("a second request was admitted")
	}
	if still, _ := h.ask(true, bad, trial); !still {
		t.Error("the request of the trial is refused before it is sent")
	}
	h.expectOutcome(quarantine.TrialRunning)
	trial.ran = true
	h.recordLostRun(lostRun(1, 1, 1, 7))
	h.finishTrial(trial)
	h.expectOutcome(quarantine.TrialLost)
	if still, _ := h.ask(true, bad, trial); still {
		t.Error("the request of the trial is admitted again after its run was lost")
	}
	h.reply(coordinator.Quarantine{Key: 7, RemainingMS: 120_000})
	h.reply(coordinator.Quarantine{Key: 7, RemainingMS: 120_000})
	h.expectOutcome()
}

// Guards against trials that never end, or that count as answered: the host learns nothing
// of the run, or no request comes.
func TestTrialWithoutOutcome(t *testing.T) {
	bad := quarantineKeys{request: 1, segments: []quarantine.Key{7}}
	h := newTrialHost(t, "a")
	h.reply(ended(7, "a", 5))
	h.now += unusedTrialTime + 1
	h.expectOutcome(quarantine.TrialUnused)
	h.reply(ended(7, "a", 6))
	_, trial := h.ask(true, bad, nil)
	h.finishTrial(trial) // refused before it was sent
	h.expectOutcome(quarantine.TrialUnused)
	h.reply(ended(7, "a", 7))
	_, trial = h.ask(true, bad, nil)
	trial.ran = true
	h.finishTrial(trial)
	h.expectOutcome(quarantine.TrialRunning)
	h.now += trialOutcomeTime + 1
	h.expectOutcome(quarantine.TrialUnknown)
}

// Guards against refusing sound requests with a segment that stands only behind the one that
// crashes upstreams, and against trials with requests that have both.
func TestRequestThatTellsSegmentsApartIsTried(t *testing.T) {
	h := newTrialHost(t, "a")
	held := coordinator.Quarantine{Key: 7, RemainingMS: 60_000, Trial: &coordinator.Trial{Without: [][]quarantine.Key{{6}}, Host: "a", ID: 5}}
	h.reply(held)
	if ok, _ := h.ask(true, quarantineKeys{request: 1, segments: []quarantine.Key{6, 7}}, nil); ok {
		t.Error("a request with both segments was admitted")
	}
	sound := quarantineKeys{request: 2, segments: []quarantine.Key{7}}
	ok, trial := h.ask(true, sound, nil)
	if !ok {
		t.Fatal("the request without the other segment was refused")
	}
	trial.ran = true
	h.recordAnswer(sound)
	h.finishTrial(trial)
	h.expectOutcome(quarantine.TrialAnswered)
}

// Guards against requests that every host lets through when a quarantine ends while there is
// no coordinator: one host runs a trial, and those that do not know it run none.
func TestDeputyRunsTrialsWithoutACoordinator(t *testing.T) {
	bad := quarantineKeys{request: 1, segments: []quarantine.Key{7}}
	for _, name := range []string{"deputy", "a", ""} {
		h := newTrialHost(t, name)
		h.reply(coordinator.Quarantine{Key: 7, RemainingMS: 1000, Deputy: "deputy"})
		h.now += 2 * time.Second
		if ok, _ := h.ask(false, bad, nil); ok {
			t.Errorf("%q: admitted while trials of the coordinator may run", name)
		}
		h.now += deputyDelay
		ok, trial := h.ask(false, bad, nil)
		if ok != (name == "deputy") {
			t.Errorf("%q: admitted %v", name, ok)
		}
		if !ok {
			continue
		}
		if again, _ := h.ask(false, quarantineKeys{request: 2, segments: []quarantine.Key{7}}, nil); again {
			t.Error("a second request was admitted")
		}
		trial.ran = true
		h.recordLostRun(lostRun(1, 1, 1, 7))
		h.finishTrial(trial)
		h.now += quarantine.DurationAfter(1) - time.Second
		if ok, _ = h.ask(false, bad, nil); ok {
			t.Error("admitted soon after a failed trial")
		}
	}
}

// Guards against a host without a coordinator that lets requests through at the end of a
// quarantine that only it knows of, and against refusing there what another segment explains.
func TestOwnQuarantineWithoutACoordinator(t *testing.T) {
	now := time.Hour
	q := quarantineAt(&now)
	q.host = "a"
	for i := range uint64(3) {
		q.recordLostRun(lostRun(i, int64(i), quarantine.Key(100+i), 6, 7))
	}
	bad := quarantineKeys{request: 1, segments: []quarantine.Key{6, 7}}
	sound := quarantineKeys{request: 2, segments: []quarantine.Key{7}}
	now += time.Second
	if a, _ := q.admit(bad, false, nil); a.remaining == 0 {
		t.Error("a request with both segments was admitted")
	}
	a, trial := q.admit(sound, false, nil)
	if a.remaining != 0 || trial == nil {
		t.Fatalf("the request without the other segment was refused for %v", a.remaining)
	}
	if a, _ = q.admit(sound, false, nil); a.remaining == 0 {
		t.Error("two trials at a time")
	}
	trial.ran = true
	q.recordAnswer(sound)
	q.finishTrial(trial)
	now += time.Second
	if a, _ = q.admit(sound, false, nil); a.remaining != 0 {
		t.Errorf("refused for %v after the trial was answered", a.remaining)
	}
	now += 2 * time.Minute
	if a, _ = q.admit(bad, false, nil); a.remaining == 0 {
		t.Error("admitted at the end of the quarantine")
	}
}

// Guards against a sound segment that is refused for as long as a host has no coordinator that
// names hosts for trials: it is cut off from it, or coordinators come and go too soon.
func TestHostWithoutCoordinatorClearsASoundSegment(t *testing.T) {
	const crashing, behind = quarantine.Key(7), quarantine.Key(8)
	sound := quarantineKeys{request: 1, segments: []quarantine.Key{behind}}
	bad := quarantineKeys{request: 2, segments: []quarantine.Key{crashing, behind}}
	decided := coordinator.Quarantine{Key: behind, RemainingMS: 60_000, Trial: &coordinator.Trial{Without: [][]quarantine.Key{{crashing}}}}
	for _, coordinated := range []bool{false, true} {
		h := newTrialHost(t, "a")
		h.reply(decided)
		for range 4 {
			h.now += time.Second
			if coordinated {
				h.reply(decided) // of a coordinator whose term has just begun
			}
			if ok, _ := h.ask(coordinated, sound, nil); ok {
				t.Errorf("coordinated %v: admitted before another host can have taken over", coordinated)
			}
		}
		h.now += time.Second
		if ok, _ := h.ask(coordinated, bad, nil); ok {
			t.Errorf("coordinated %v: a request that tells nothing apart was admitted", coordinated)
		}
		ok, _ := h.ask(coordinated, sound, nil)
		if !ok {
			t.Fatalf("coordinated %v: the sound request was refused", coordinated)
		}
		if again, _ := h.ask(coordinated, quarantineKeys{request: 3, segments: sound.segments}, nil); again {
			t.Errorf("coordinated %v: a second request was admitted while the first one runs", coordinated)
		}
		h.recordAnswer(sound)
		if ok, _ := h.ask(coordinated, sound, nil); !ok {
			t.Errorf("coordinated %v: refused after the answer", coordinated)
		}
	}
}
