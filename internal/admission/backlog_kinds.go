package admission

import (
	"math"
	"time"
)

// kind identifies requests that are expected to be served equally often.
type kind struct {
	urgency   int
	objective time.Duration
}

// servedShare is the share of the requests of a kind that was not refused.
type servedShare struct {
	served, refused float64
	at              time.Time
	// elsewhere are the counts of other hosts, as of the last news.
	elsewhereServed, elsewhereRefused float64
}

func (s *servedShare) add(now time.Time, served, refused float64) {
	if elapsed := now.Sub(s.at); elapsed > shareTime/64 {
		decay := math.Exp(-elapsed.Seconds() / shareTime.Seconds())
		s.served, s.refused, s.at = s.served*decay, s.refused*decay, now
	}
	s.served += served
	s.refused += refused
}

// value counts two more as served, so that the first refusal decides little.
func (s *servedShare) value() float64 {
	served := max(0, s.served+s.elsewhereServed) + 2
	return served / (served + s.refused + s.elsewhereRefused)
}

func (s *servedShare) count() float64 {
	return s.served + s.refused + s.elsewhereServed + s.elsewhereRefused
}

// KindCount counts the recent requests of a kind, with the time constant of shareTime.
type KindCount struct {
	Service         string
	Urgency         int
	Objective       time.Duration
	Served, Refused float64
}

// Counts returns the counts of this host of the services of which requests were refused.
func (b *Backlog) Counts(now time.Time) []KindCount {
	var counts []KindCount
	for name, s := range b.services {
		of, refused := []KindCount{}, 0.0
		for key, share := range s.kinds {
			share.add(now, 0, 0)
			refused += share.refused
			of = append(of, KindCount{name, key.urgency, key.objective, share.served, share.refused})
		}
		if refused >= minRefusedCount {
			counts = append(counts, of...)
		}
	}
	return counts
}

// SetElsewhere sets the counts of other hosts.
func (b *Backlog) SetElsewhere(counts []KindCount) {
	for _, s := range b.services {
		for _, share := range s.kinds {
			share.elsewhereServed, share.elsewhereRefused = 0, 0
		}
	}
	for _, c := range counts {
		share := b.service(c.Service).share(c.Urgency, c.Objective)
		share.elsewhereServed, share.elsewhereRefused = c.Served, c.Refused
	}
}

func (s *slotService) share(urgency int, objective time.Duration) *servedShare {
	key := kind{urgency, objective}
	share := s.kinds[key]
	if share == nil {
		share = &servedShare{}
		s.kinds[key] = share
	}
	return share
}

// refusing reports whether a notable part of the service's requests is refused.
func (s *slotService) refusing() bool {
	refused, total := 0.0, 0.0
	for _, share := range s.kinds {
		refused += share.refused + share.elsewhereRefused
		total += share.count()
	}
	return refused >= minOverloadCount && refused > overloadShare*total
}

// preferred reports whether the kind of a request has been served better than others that
// are as urgent or more. Its requests would take the slots of those that other hosts refuse:
// a patient kind can outwait every other one.
func (b *Backlog) preferred(now time.Time, r *SlotRequest, wait time.Duration) bool {
	s := b.service(r.Queue.Service)
	own := s.share(r.Urgency, r.Objective)
	shortest := r.Objective
	for key := range s.kinds {
		shortest = min(shortest, key.objective)
	}
	pressed := r.Patient && s.refusing() || wait >= seconds(pressureShare*shortest.Seconds())
	if !pressed || now.Sub(s.heavyAt) < standingTime {
		return false // in the latter case requests of a heavy workspace make room
	}
	for key, other := range s.kinds {
		if other == own || key.urgency > r.Urgency || other.count() < minShareSamples {
			continue
		}
		if own.value() > other.value()-urgencyMargin*float64(r.Urgency-key.urgency) {
			return true
		}
	}
	return false
}
