package coldstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is a fleet with one cold upstream, whose hosts send whenever they may.
type simulation struct {
	now         time.Duration
	hosts       []*Tracker
	coordinator *Divider
	startedMS   int64
	coldUntil   time.Duration
	perS        float64
	inTransit   []reply
	sends       []time.Duration // that count
	mostPerS    int
}

// reply is a reply of the coordinator that has not arrived.
type reply struct {
	host        int
	incarnation int // of the host's process
	requestedAt time.Duration
	grant       Grant
	seat        bool
}

func (s *simulation) of() Incarnation { return Incarnation{"u", s.startedMS} }

// check counts the requests that count in the second before now.
func (s *simulation) check(t *rapid.T) {
	for len(s.sends) > 0 && s.now-s.sends[0] > time.Second {
		s.sends = s.sends[1:]
	}
	if s.now >= s.coldUntil {
		s.sends = nil
		return
	}
	s.mostPerS = max(s.mostPerS, len(s.sends))
	if bound := 1.5*s.perS + 5; float64(len(s.sends)) > bound {
		t.Fatalf("%d requests within a second, bound %g", len(s.sends), bound)
	}
}

// Guards against more requests to a cold upstream than it is bound to get, over all hosts,
// whatever the order of entries, restarts of hosts, upstreams and coordinators, lost and late
// replies, refusals that do not count, lost contact and frozen hosts.
func TestColdUpstreamGetsNoMoreThanItsBound(t *testing.T) {
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.Hour, startedMS: 1, perS: rapid.SampledFrom([]float64{0.5, 3, 14, 100}).Draw(t, "perS")}
		count := rapid.SampledFrom([]int{2, 8, 195}).Draw(t, "hosts")
		processes := make([]int, count)
		coldFor := rapid.SampledFrom([]time.Duration{3, 300}).Draw(t, "cold for") * time.Second
		start := func() *Tracker {
			h := NewTracker(func(string) float64 { return 0 })
			h.Learn(s.of(), s.now+coldFor, true)
			return h
		}
		for range count {
			s.hosts = append(s.hosts, start())
		}
		s.coldUntil = s.now + time.Hour
		for _, h := range s.hosts {
			s.coldUntil = min(s.coldUntil, h.upstreams["u"].until)
		}
		s.coordinator = NewDivider(s.now, true)
		host := func() int { return rapid.IntRange(0, count-1).Draw(t, "host") }
		ask := func(i int) {
			h := s.hosts[i]
			h.Wait("u")
			h.Wait("u")
			r := reply{host: i, incarnation: processes[i], requestedAt: s.now, seat: s.coordinator.Seat(s.now, string(rune(i+65)), h.Seated(s.now))}
			for _, need := range h.TakeNeeds(s.now) {
				r.grant = s.coordinator.Grant(s.now, string(rune(i+65)), need, s.perS)
			}
			h.Done("u")
			h.Done("u")
			s.inTransit = append(s.inTransit, r)
		}
		send := func(i int) {
			for s.now < s.coldUntil {
				permit, ok := s.hosts[i].Take(s.now, "u", rapid.Bool().Draw(t, "reached"))
				if !ok {
					return
				}
				if rapid.IntRange(0, 9).Draw(t, "refused") == 0 {
					s.hosts[i].Return(permit) // answered 421: it does not count
					if permit.granted.expires != 0 {
						return
					}
					continue
				}
				s.sends = append(s.sends, s.now)
			}
		}
		deliver := func(r reply) {
			if r.incarnation == processes[r.host] {
				s.hosts[r.host].AddGrant(s.now, r.requestedAt, r.grant)
				if r.seat {
					s.hosts[r.host].SetSeat(s.now, r.requestedAt+SeatLifetime)
				}
			}
		}
		restart := func(i int) {
			processes[i]++
			s.hosts[i] = start()
			s.coldUntil = min(s.coldUntil, s.hosts[i].upstreams["u"].until)
		}
		replies := func() {
			for _, r := range s.inTransit {
				deliver(r)
			}
			s.inTransit = nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				s.now += time.Duration(rapid.SampledFrom([]int{10, 50, 100, 100, 300, 1100}).Draw(t, "ms")) * time.Millisecond
			},
			"ask":     func(*rapid.T) { ask(host()) },
			"all ask": func(*rapid.T) { s.each(ask) },
			"busy": func(t *rapid.T) { // hosts keep what they get for some time, then send
				silent := rapid.IntRange(0, 20).Draw(t, "silent")
				for round := range silent + rapid.IntRange(0, 11).Draw(t, "sending") {
					for part := range 5 {
						s.each(func(i int) {
							if i%5 == part {
								ask(i)
							}
						})
						s.now += 20 * time.Millisecond
						replies()
					}
					if round >= silent {
						s.each(send)
					}
					s.check(t)
				}
			},
			"replies": func(*rapid.T) { replies() },
			"some replies": func(t *rapid.T) {
				var late []reply
				for _, r := range s.inTransit {
					switch rapid.IntRange(0, 2).Draw(t, "fate") {
					case 0:
						deliver(r)
					case 1:
						late = append(late, r)
					}
				}
				s.inTransit = late
			},
			"send":            func(*rapid.T) { send(host()) },
			"all send":        func(*rapid.T) { s.each(send) },
			"restart host":    func(*rapid.T) { restart(host()) },
			"restart all":     func(*rapid.T) { s.each(restart) },
			"new coordinator": func(*rapid.T) { s.coordinator = NewDivider(s.now, false) },
			"upstream starts again": func(t *rapid.T) {
				s.startedMS++
				s.coldUntil = s.now + 60*time.Second
				for _, h := range s.hosts {
					h.Learn(s.of(), s.coldUntil, true)
				}
			},
			"cold again": func(t *rapid.T) {
				s.coldUntil = max(s.coldUntil, s.now+5*time.Second)
				for _, h := range s.hosts {
					h.Learn(s.of(), s.coldUntil, false)
				}
			},
			"": s.check,
		})
		most = max(most, s.mostPerS)
	})
	t.Logf("at most %d requests within a second", most)
}

func (s *simulation) each(f func(int)) {
	for i := range s.hosts {
		f(i)
	}
}

// Guards against a rate that is far below what the upstream tolerates: many hosts ask, and
// some of them wait.
func TestGrantedRateIsUsed(t *testing.T) {
	for _, hosts := range []int{2, 87} {
		now, sent := time.Hour, 0
		d := NewDivider(now, true)
		of := Incarnation{"u", 1}
		var trackers []*Tracker
		for range hosts {
			h := NewTracker(func(string) float64 { return 0 })
			h.Learn(of, now+time.Minute, true)
			h.Wait("u")
			trackers = append(trackers, h)
		}
		const exchanges = 50 // of each host, 200 ms apart
		step := 200 * time.Millisecond / time.Duration(hosts)
		for i := range exchanges * hosts {
			h := trackers[i%hosts]
			for _, need := range h.TakeNeeds(now) {
				h.AddGrant(now, now, d.Grant(now, string(rune(65+i%hosts)), need, 14))
			}
			for {
				if _, ok := h.Take(now, "u", true); !ok {
					break
				}
				sent++
			}
			now += step
		}
		if perS := float64(sent) / 10; hosts > 2 && perS < 11 || perS < 8 {
			t.Errorf("%d hosts: %.1f requests per second of 14", hosts, perS)
		}
	}
}

// Guards against requests that are released all at once when the cold period ends.
func TestWaitingRequestsAreSpreadAfterTheColdPeriod(t *testing.T) {
	const hosts = 100
	now := time.Hour
	var trackers []*Tracker
	for i := range hosts {
		h := NewTracker(func(string) float64 { return float64(i) / hosts })
		h.Learn(Incarnation{"u", 1}, now+3*time.Second, true)
		trackers = append(trackers, h)
	}
	now += 3 * time.Second
	for range 10 { // the first 100 ms
		sent := 0
		for _, h := range trackers {
			for range 10 {
				if _, ok := h.Take(now, "u", true); ok {
					sent++
				}
			}
		}
		if sent > 15 {
			t.Fatalf("%d requests at once", sent)
		}
		now += 10 * time.Millisecond
	}
	now += 3 * time.Second
	for _, h := range trackers {
		if h.Expire(now); h.Len() != 0 {
			t.Fatal("limited long after the cold period")
		}
	}
}

// Guards against an order of statements that ends a cold period early, or that applies what
// was said of an earlier incarnation to a later one.
func TestLaterIncarnationAndLaterEndStay(t *testing.T) {
	now := time.Hour
	h := NewTracker(func(string) float64 { return 0 })
	h.Learn(Incarnation{"u", 5}, now+3*time.Second, true)
	h.Learn(Incarnation{"u", 5}, now+time.Second, true)
	h.Learn(Incarnation{"u", 4}, now+time.Minute, true)
	if left := h.ColdFor(now, "u"); left != 3*time.Second {
		t.Errorf("cold for %v, want 3 s", left)
	}
	h.AddGrant(now, now, Grant{Incarnation: Incarnation{"u", 4}, Requests: 5})
	if !h.Blocked(now, "u", true) {
		t.Error("a grant of an earlier incarnation is used")
	}
	h.AddGrant(now, now-GrantLifetime, Grant{Incarnation: Incarnation{"u", 5}, Requests: 5})
	if !h.Blocked(now, "u", true) {
		t.Error("a grant that arrived late is used")
	}
}

// Guards against a coordinator that repeats the burst, or gives the seats, of the one before,
// which hosts may still use.
func TestNewCoordinatorWaitsForTheOneBefore(t *testing.T) {
	now := time.Hour
	need := Need{Incarnation: Incarnation{"u", 1}, Waiting: 5}
	d := NewDivider(now, false)
	if got := d.Grant(now+GrantLifetime-1, "a", need, 14).Requests; got != 0 {
		t.Errorf("%d requests granted while grants of the coordinator before are valid", got)
	}
	if got := d.Grant(now+GrantLifetime+100*time.Millisecond, "a", need, 14).Requests; got > 1 {
		t.Errorf("%d requests granted at once, which may repeat a burst", got)
	}
	if d.Seat(now+SeatLifetime-1, "a", false) || !d.Seat(now, "b", true) || !d.Seat(now+SeatLifetime, "a", false) {
		t.Error("a seat was given while another host may have it, or not to the host that has it")
	}
}

// Guards against a seat that is used twice within a second, by the host that had it and the one
// that gets it, or by a host before and after a restart.
func TestNewSeatIsNotUsedAtOnce(t *testing.T) {
	now := time.Hour
	h := NewTracker(func(string) float64 { return 0 })
	h.Learn(Incarnation{"u", 1}, now+time.Minute, true)
	h.SetSeat(now, now+SeatLifetime)
	h.SetSeat(now+time.Second, now+time.Second+SeatLifetime)
	if _, ok := h.Take(now+time.Second, "u", false); ok {
		t.Error("sent 1 s after the seat was given")
	}
	if _, ok := h.Take(now+localInterval, "u", true); ok {
		t.Error("sent without a grant although the coordinator answers")
	}
	if _, ok := h.Take(now+localInterval, "u", false); !ok {
		t.Error("not sent without a coordinator")
	}
}
