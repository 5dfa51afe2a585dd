// Package membership merges what is known about upstreams: the platform's
// lagging host list, engine reports, refused connections and signs from other
// hosts. It is pure; time is passed in.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

const (
	// refusalLifetime is how long a refused connection keeps new work away. A
	// single refusal proves nothing for good, and plain services send no
	// report that would clear it.
	refusalLifetime = time.Second
	// goneAfter is how long an upstream must be absent from the list and
	// refuse connections before it counts as gone.
	goneAfter = 30 * time.Second
	// goneFresh is how recent the last of these refusals must be. One refusal
	// long ago proves nothing about a service that is rarely called.
	goneFresh = 5 * time.Second
	// peerSignLifetime ends a sign of another host that is not repeated.
	// Heartbeats repeat it at least every 5 s while the evidence lasts.
	peerSignLifetime = 15 * time.Second
)

// State is what is concluded about an upstream.
type State string

// States of an upstream.
const (
	Live    State = "live"
	Leaving State = "leaving" // finishes its work, gets no new work
	Suspect State = "suspect" // refused a connection just now; no proof
	Gone    State = "gone"    // absent from the list and refusing connections
)

// SignKind says what was observed about an upstream.
type SignKind string

// Kinds of signs.
const (
	SignLive     SignKind = "live"     // a report that is not draining
	SignLeaving  SignKind = "leaving"  // the list or another host says so
	SignDraining SignKind = "draining" // the engine's own report says so
	SignRefused  SignKind = "refused"  // a connection was refused
)

// Sign is one observation about an upstream.
type Sign struct {
	Address  string
	Kind     SignKind
	At       time.Time // of the observation
	Received time.Time // when another host's sign arrived; zero: at once
	Source   string    // host that made the observation
	BootID   string    // of the report, if any
}

// heard returns when this host learned of the sign.
func (s Sign) heard() time.Time { return later(s.At, s.Received) }

// Upstream is the conclusion about one upstream.
type Upstream struct {
	Address    string    `json:"address"`
	Kind       string    `json:"kind"` // of platform.HostEntry
	Service    string    `json:"service"`
	DataCenter string    `json:"data_center"`
	State      State     `json:"state"`
	Source     string    `json:"source"` // where the state comes from
	Since      time.Time `json:"since,omitzero"`
	// Direct: this host has the evidence itself. Only direct evidence is passed
	// on; hosts that repeat what others said would keep it alive for good.
	Direct bool `json:"direct"`
}

// entry holds the newest evidence about one upstream.
type entry struct {
	listed      platform.HostEntry
	absentSince time.Time // zero while listed
	listLeaving time.Time // zero unless the list says leaving
	draining    Sign      // first of the current series; zero At: the last report was not draining
	peerLeaving Sign      // last one heard; zero At: none
	refused     Sign      // last refusal
	refusing    time.Time // start of the current series of refusals
	lastReport  time.Time
}

// Table holds the evidence about all upstreams. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	// order holds the entries by address; nil after an entry was added or
	// dropped.
	order []*entry
	last  []Upstream // the latest conclusions, parallel to order
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// ObserveList takes in the platform's host list, read at a time.
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
		t.order, t.last = nil, nil
	}
	e.listed = host
	e.absentSince = time.Time{}
	switch {
	case host.State != platform.StateLeaving:
		e.listLeaving = time.Time{}
	case e.listLeaving.IsZero():
		e.listLeaving = at
	}
}

// Observe takes in a sign and reports whether the conclusion about the
// upstream changed. Signs about unknown upstreams are ignored.
func (t *Table) Observe(sign Sign) bool {
	e, ok := t.entries[sign.Address]
	if !ok {
		return false
	}
	before, _, _ := e.state(sign.heard())
	e.observe(sign)
	after, _, _ := e.state(sign.heard())
	return before != after
}

// observe takes in a sign. A report that is not draining contradicts older
// refusals and draining reports, but not another host's sign: the platform may
// take an upstream back that knows nothing of it.
func (e *entry) observe(sign Sign) {
	switch sign.Kind {
	case SignLive:
		if sign.At.Before(e.lastReport) {
			return
		}
		e.lastReport = sign.At
		e.draining = Sign{}
		e.refused = clearedBy(e.refused, sign)
		if e.refused.At.IsZero() {
			e.refusing = time.Time{}
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
		if !sign.heard().Before(e.peerLeaving.heard()) {
			e.peerLeaving = sign
		}
	case SignRefused:
		if sign.At.Before(e.lastReport) {
			return // the upstream has answered since
		}
		e.refused = sign
		if e.refusing.IsZero() {
			e.refusing = sign.At
		}
	}
}

// clearedBy drops a sign that is older than a contradicting one.
func clearedBy(sign, by Sign) Sign {
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

// state weighs the evidence. Leaving beats everything but proof of absence,
// because new work at a leaving upstream may be cut.
func (e *entry) state(now time.Time) (State, string, time.Time) {
	switch {
	case e.gone(now):
		return Gone, "refused and absent from the list", e.absentSince
	case !e.draining.At.IsZero():
		return Leaving, "report seen by " + e.draining.Source, e.draining.At
	case !e.listLeaving.IsZero():
		return Leaving, "host list", e.listLeaving
	case !e.peerLeaving.At.IsZero() && now.Sub(e.peerLeaving.heard()) < peerSignLifetime:
		return Leaving, "host " + e.peerLeaving.Source, e.peerLeaving.At
	case !e.refused.At.IsZero() && now.Sub(e.refused.At) < refusalLifetime:
		return Suspect, "connection refused at " + e.refused.Source, e.refusing
	}
	return Live, "host list", time.Time{}
}

// gone reports whether absence from the list and refused connections together
// prove that the upstream has ended.
func (e *entry) gone(now time.Time) bool {
	return !e.absentSince.IsZero() && now.Sub(e.absentSince) >= goneAfter &&
		!e.refusing.IsZero() && now.Sub(e.refusing) >= goneAfter &&
		now.Sub(e.refused.At) < goneFresh
}

// Upstreams returns the conclusions about all upstreams, by address. Upstreams
// that are gone are dropped from the table. The result must not be changed; it
// is the same slice as that of the last call when nothing has changed, because
// hosts ask ten times a second.
func (t *Table) Upstreams(now time.Time) []Upstream {
	t.dropGone(now)
	if t.unchanged(now) {
		return t.last
	}
	if t.order == nil {
		t.order = slices.SortedFunc(maps.Values(t.entries), func(a, b *entry) int {
			return cmp.Compare(a.listed.Address, b.listed.Address)
		})
	}
	t.last = make([]Upstream, 0, len(t.order))
	for _, e := range t.order {
		t.last = append(t.last, e.conclude(now))
	}
	return t.last
}

func (t *Table) dropGone(now time.Time) {
	for address, e := range t.entries {
		if e.gone(now) {
			delete(t.entries, address)
			t.order, t.last = nil, nil
		}
	}
}

// unchanged reports whether the latest conclusions still hold.
func (t *Table) unchanged(now time.Time) bool {
	if t.last == nil {
		return false
	}
	for i, e := range t.order {
		if e.conclude(now) != t.last[i] {
			return false
		}
	}
	return true
}

func (e *entry) conclude(now time.Time) Upstream {
	state, source, since := e.state(now)
	return Upstream{
		Address: e.listed.Address, Kind: e.listed.Kind, Service: e.listed.Service, DataCenter: e.listed.DataCenter,
		State: state, Source: source, Since: since, Direct: !e.draining.At.IsZero() || !e.listLeaving.IsZero(),
	}
}

// HostEntries returns the list entries of the upstreams that are not gone, so that
// a host which cannot reach the platform can learn them from another host.
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
