package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

const badKey quarantine.Key = 7

// exchange makes an exchange of one host, and returns what the reply says of badKey.
func exchange(r *crashReports, now time.Duration, request *ExchangeRequest) *Quarantine {
	r.record(now, request)
	var reply ExchangeReply
	r.reply(now, &reply)
	for i := range reply.Quarantines {
		if reply.Quarantines[i].Key == badKey {
			return &reply.Quarantines[i]
		}
	}
	return nil
}

// Guards against several trials of one key at a time, against a trial that a host which has
// stopped holds for ever, and against trials before a new coordinator knows of those that
// run: in fleets of 4 to 90 hosts that all have requests with the key.
func TestOneHostOfTheFleetRunsATrial(t *testing.T) {
	for _, hosts := range []int{4, 90} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			r, now := newCrashReports(logr.Discard()), time.Hour
			adopted := []Quarantine{{Key: badKey}}
			owner, deputies, changes := "", map[string]bool{}, 0
			for begin := now; now < begin+8*time.Second; now += 200 * time.Millisecond {
				named := map[string]bool{}
				for i := range hosts {
					host := fmt.Sprintf("host-%d", i)
					if host == owner && now > begin+4*time.Second {
						continue // it has stopped
					}
					request := &ExchangeRequest{Host: host, TrialsWanted: []quarantine.Key{badKey}}
					if now == begin {
						request.Quarantines = adopted
					}
					q := exchange(r, now, request)
					if q == nil || q.RemainingMS > 0 && now < begin+6*time.Second {
						t.Fatalf("%v after the begin: %+v", now-begin, q)
					}
					if now > begin+time.Second {
						deputies[q.Deputy] = true
					}
					if q.Trial == nil || q.Trial.Host == "" {
						continue
					}
					named[q.Trial.Host] = true
					if q.Trial.Host == host && owner == "" {
						owner = host
						changes++
					}
					if host == q.Trial.Host {
						r.record(now, &ExchangeRequest{Host: host, Trials: []TrialReport{{Key: badKey, ID: q.Trial.ID}}})
					}
				}
				if len(named) > 1 {
					t.Fatalf("trials at %v", named)
				}
				if len(named) > 0 && now < begin+trialSettleTime {
					t.Fatalf("a trial %v after the first exchange", now-begin)
				}
			}
			if changes != 1 {
				t.Errorf("%d hosts were named", changes)
			}
			if len(deputies) > 2 { // the one that has stopped may have been it
				t.Errorf("deputies %v", deputies)
			}
			// The trial of the host that has stopped counts as a failed one.
			if q := exchange(r, now, &ExchangeRequest{Host: "host-x"}); q == nil || q.FailedTrials != 1 || q.RemainingMS == 0 {
				t.Errorf("quarantine %+v, want it to be renewed", q)
			}
		})
	}
}
