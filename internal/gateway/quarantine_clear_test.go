package gateway

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

var quarantineSimSeeds = flag.Uint64("quarantine-sim-seeds", 300, "seeds of TestSoundSegmentIsClearedWhoeverKnows")

// clearBound is the time after which a sound segment is served again.
const clearBound = 6 * time.Second

// Guards against a sound segment that is refused to the end because those that decide on it know
// the quarantine but not its crashes, and against engines that crash one after the other, when
// hosts and coordinators are killed, stopped, suspended and cut off, in series and in any
// combination. The segment may never have been answered.
func TestSoundSegmentIsClearedWhoeverKnows(t *testing.T) {
	for seed := range *quarantineSimSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playQuarantine(t, seed) })
	}
}

func playQuarantine(t *testing.T, seed uint64) {
	s := newQuarantineSim(t, seed)
	const first, crashing, behind = quarantine.Key(1), quarantine.Key(2), quarantine.Key(3)
	sound := []quarantine.Key{first, behind}
	bad := [][]quarantine.Key{{first, crashing, behind}, {crashing, first, behind}, {first, behind, crashing}}[s.random.IntN(3)]
	also := [][]quarantine.Key{bad, bad, {first, crashing}, {crashing}}[s.random.IntN(4)] // crash engines, too
	calm := [][]quarantine.Key{nil, {first, 4}, sound}[s.random.IntN(3)]
	begin := s.now + 4*time.Second
	for s.now < begin {
		s.step()
		if calm != nil && s.random.IntN(20) == 0 {
			s.send(calm, false)
		}
	}
	s.sounds = nil
	soundFrom := begin + time.Duration(s.random.Int64N(int64(6*time.Second)))
	disturbances := s.random.IntN(8)
	s.badAtHolder = s.random.IntN(3) == 0
	s.leaving = []int{0, 0, 20, 50}[s.random.IntN(4)]
	strayCrashes := s.random.IntN(2) == 0
	nextDisturbance := begin + time.Second + time.Duration(s.random.Int64N(int64(3*time.Second)))
	lastDisturbed := begin
	for s.now < max(lastDisturbed, soundFrom)+clearBound+12*time.Second {
		s.step()
		if s.random.IntN(10) == 0 {
			s.send([][]quarantine.Key{bad, also}[s.random.IntN(2)], true)
		}
		if s.now >= soundFrom && s.random.IntN(15) == 0 {
			s.send(sound, false)
		}
		if strayCrashes && s.random.IntN(200) == 0 {
			s.end(s.engines[s.random.IntN(len(s.engines))])
		}
		if disturbances > 0 && s.now >= nextDisturbance {
			s.badAtHolder = false
			s.disturb()
			disturbances--
			nextDisturbance = s.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
			for _, h := range s.hosts {
				lastDisturbed = max(lastDisturbed, h.disturbedAt)
			}
		}
	}
	s.check(t, max(lastDisturbed, soundFrom)+clearBound)
}

// check compares what happened with the rules BUDGET and LOST of the users' pages.
func (s *quarantineSim) check(t *testing.T, clearedBy time.Duration) {
	t.Helper()
	sent, admitted := 0, 0
	for _, sound := range s.sounds {
		if sound.at >= clearedBy && sound.inTouch {
			sent++
			if sound.admitted {
				admitted++
			}
		}
	}
	if sent < 20 || admitted < sent*95/100 {
		t.Errorf("%d of %d sound requests admitted %v after the last disturbance", admitted, sent, clearBound)
	}
	if len(s.crashes) < 5 {
		return
	}
	from := s.crashes[4] + simContact
	late := len(slices.DeleteFunc(slices.Clone(s.late), func(at time.Duration) bool { return at < from }))
	if late > 3 {
		t.Errorf("%d crashing requests reached engines later than %v after the fifth crash; %d crashes", late, simContact, len(s.crashes))
	}
}
