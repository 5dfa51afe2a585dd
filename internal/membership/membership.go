// Package membership derives the state of upstreams from the platform's lagging host
// list, engine reports, refused connections and signs from other hosts. It reads no
// clock and does no I/O; callers pass in the time.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

const (
	// refusalTTL is how long a refused connection keeps new work away. A single
	// refusal is weak evidence, and plain services send no report that would
	// clear it.
	refusalTTL = time.Second
	// minGoneDuration is how long an upstream must be absent from the host list
	// and refuse connections before it counts as gone.
	minGoneDuration = 30 * time.Second
	// maxGoneRefusalAge is the maximum age of the last of these refusals. A single
	// old refusal is no proof for a service that is rarely called.
	maxGoneRefusalAge = 5 * time.Second
	// peerSignTTL is the lifetime of another host's sign that is not repeated.
	// Heartbeats repeat it at least every 5 s while the evidence lasts.
	peerSignTTL = 15 * time.Second
)

// State is the derived state of an upstream.
type State string

// States of an upstream.
const (
	Live    State = "live"
	Leaving State = "leaving" // finishes its work, gets no new work
	Suspect State = "suspect" // recently refused a connection; no proof that it has ended
	Gone    State = "gone"    // absent from the host list and refusing connections
)

// SignKind is the kind of an observation.
type SignKind string

// Kinds of signs.
const (
	SignLive     SignKind = "live"     // a report that is not draining
	SignLeaving  SignKind = "leaving"  // another host reports it as leaving
	SignDraining SignKind = "draining" // a report of the engine that is draining
	SignRefused  SignKind = "refused"  // a connection was refused
)

// Sign is one observation about an upstream.
type Sign struct {
	Address  string
	Kind     SignKind
	At       time.Time // of the observation
	Received time.Time // arrival of another host's sign; zero: not from another host
	Source   string    // host that made the observation
	BootID   string    // of the report, if any
}

// receivedAt returns the time at which this host learned of the sign.
func (s Sign) receivedAt() time.Time { return later(s.At, s.Received) }

// Upstream is the derived state of one upstream.
type Upstream struct {
	Address    string    `json:"address"`
	Kind       string    `json:"kind"` // of platform.HostEntry
	Service    string    `json:"service"`
	DataCenter string    `json:"data_center"`
	State      State     `json:"state"`
	Source     string    `json:"source"` // origin of the state
	Since      time.Time `json:"since,omitzero"`
	// Direct: this host has the evidence itself. Only direct evidence is sent to
	// other hosts; if hosts repeated each other's signs, these would never expire.
	Direct bool `json:"direct"`
}

// entry holds the latest evidence about one upstream.
type entry struct {
	listed           platform.HostEntry
	absentSince      time.Time // zero while listed
	listLeavingSince time.Time // zero unless the list reports it as leaving
	draining         Sign      // first of the current series; zero At: the last report was not draining
	peerLeaving      Sign      // last one received; zero At: none
	lastRefusal      Sign      // zero At: none
	refusingSince    time.Time // start of the current series of refusals
	lastReport       time.Time
}

// Table holds the evidence about all upstreams. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	// sortedEntries holds the entries by address; nil after an entry was added
	// or removed.
	sortedEntries []*entry
	lastResult    []Upstream // result of the last call of Upstreams, parallel to sortedEntries
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// ObserveList applies the platform's host list as read at time at.
func (t *Table) ObserveList(list []platform.HostEntry, at time.Time) {
	listed := map[string]bool{}
	for _, host := range list {
		if host.Kind == platform.KindEntry {
			continue
		}
		listed[host.Address] = true
		t.observeListed(host, at)
	}
	for address, e := range t.entries {
		if !listed[address] && e.absentSince.IsZero() {
			e.absentSince = at
		}
	}
}

func (t *Table) observeListed(host platform.HostEntry, at time.Time) {
	e, ok := t.entries[host.Address]
	if !ok {
		e = &entry{}
		t.entries[host.Address] = e
		t.sortedEntries, t.lastResult = nil, nil
	}
	e.listed = host
	e.absentSince = time.Time{}
	switch {
	case host.State != platform.StateLeaving:
		e.listLeavingSince = time.Time{}
	case e.listLeavingSince.IsZero():
		e.listLeavingSince = at
	}
}

// Observe applies a sign and reports whether the state of the upstream changed.
// Signs about unknown upstreams are ignored.
func (t *Table) Observe(sign Sign) bool {
	e, ok := t.entries[sign.Address]
	if !ok {
		return false
	}
	before, _, _ := e.state(sign.receivedAt())
	e.applySign(sign)
	after, _, _ := e.state(sign.receivedAt())
	return before != after
}

// applySign stores a sign as evidence. A report that is not draining contradicts
// older refusals and draining reports, but not another host's sign: the platform
// may be withdrawing an upstream that does not know about it yet.
func (e *entry) applySign(sign Sign) {
	switch sign.Kind {
	case SignLive:
		if sign.At.Before(e.lastReport) {
			return
		}
		e.lastReport = sign.At
		e.draining = Sign{}
		e.lastRefusal = unlessContradicted(e.lastRefusal, sign)
		if e.lastRefusal.At.IsZero() {
			e.refusingSince = time.Time{}
		}
	case SignDraining:
		if sign.At.Before(e.lastReport) {
			return
		}
		e.lastReport = sign.At
		if e.draining.At.IsZero() {
			e.draining = sign
		}
	case SignLeaving:
		if !sign.receivedAt().Before(e.peerLeaving.receivedAt()) {
			e.peerLeaving = sign
		}
	case SignRefused:
		if sign.At.Before(e.lastReport) {
			return // the upstream has answered since
		}
		e.lastRefusal = sign
		if e.refusingSince.IsZero() {
			e.refusingSince = sign.At
		}
	}
}

// unlessContradicted returns the sign, or the zero Sign if it is not newer than by.
func unlessContradicted(sign, by Sign) Sign {
	if by.At.Before(sign.At) {
		return sign
	}
	return Sign{}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// state derives the state from the evidence. Leaving has precedence over everything
// but Gone, because new work at a leaving upstream may be cut off.
func (e *entry) state(now time.Time) (State, string, time.Time) {
	switch {
	case e.gone(now):
		return Gone, "refused and absent from the list", e.absentSince
	case !e.draining.At.IsZero():
		return Leaving, "report seen by " + e.draining.Source, e.draining.At
	case !e.listLeavingSince.IsZero():
		return Leaving, "host list", e.listLeavingSince
	case !e.peerLeaving.At.IsZero() && now.Sub(e.peerLeaving.receivedAt()) < peerSignTTL:
		return Leaving, "host " + e.peerLeaving.Source, e.peerLeaving.At
	case !e.lastRefusal.At.IsZero() && now.Sub(e.lastRefusal.At) < refusalTTL:
		return Suspect, "connection refused at " + e.lastRefusal.Source, e.refusingSince
	}
	return Live, "host list", time.Time{}
}

// gone reports whether absence from the host list and refused connections together
// prove that the upstream has ended.
func (e *entry) gone(now time.Time) bool {
	return !e.absentSince.IsZero() && now.Sub(e.absentSince) >= minGoneDuration &&
		!e.refusingSince.IsZero() && now.Sub(e.refusingSince) >= minGoneDuration &&
		now.Sub(e.lastRefusal.At) < maxGoneRefusalAge
}

// Upstreams returns the states of all upstreams, by address, and removes upstreams
// that are gone from the table. The result must not be modified; it is the slice of
// the previous call if nothing has changed, because hosts call this ten times a
// second.
func (t *Table) Upstreams(now time.Time) []Upstream {
	t.removeGone(now)
	if t.unchanged(now) {
		return t.lastResult
	}
	if t.sortedEntries == nil {
		t.sortedEntries = slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int {
			return cmp.Compare(a.listed.Address, b.listed.Address)
		})
	}
	t.lastResult = make([]Upstream, 0, len(t.sortedEntries))
	for _, e := range t.sortedEntries {
		t.lastResult = append(t.lastResult, e.evaluate(now))
	}
	return t.lastResult
}

func (t *Table) removeGone(now time.Time) {
	for address, e := range t.entries {
		if e.gone(now) {
			delete(t.entries, address)
			t.sortedEntries, t.lastResult = nil, nil
		}
	}
}

// unchanged reports whether the last result is still valid.
func (t *Table) unchanged(now time.Time) bool {
	if t.lastResult == nil {
		return false
	}
	for i, e := range t.sortedEntries {
		if e.evaluate(now) != t.lastResult[i] {
			return false
		}
	}
	return true
}

func (e *entry) evaluate(now time.Time) Upstream {
	state, source, since := e.state(now)
	return Upstream{
		Address: e.listed.Address, Kind: e.listed.Kind, Service: e.listed.Service, DataCenter: e.listed.DataCenter,
		State: state, Source: source, Since: since, Direct: !e.draining.At.IsZero() || !e.listLeavingSince.IsZero(),
	}
}

// HostEntries returns the host list entries of the upstreams that are not gone, for
// other hosts that cannot reach the platform.
func (t *Table) HostEntries(now time.Time) []platform.HostEntry {
	entries := make([]platform.HostEntry, 0, len(t.entries))
	for _, e := range t.entries {
		if state, _, _ := e.state(now); state != Gone {
			entries = append(entries, e.listed)
		}
	}
	slices.SortFunc(entries, func(a, b platform.HostEntry) int { return cmp.Compare(a.Address, b.Address) })
	return entries
}
