package membership

import (
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const address = "10.0.0.1:80"

// at returns the time that many seconds after the start.
func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

func sign(kind SignKind, seconds float64) Sign {
	return Sign{Address: address, Kind: kind, At: at(seconds), Source: "h1"}
}

func listed(state string) []platform.HostEntry {
	return []platform.HostEntry{{Address: address, Kind: platform.KindEngine, Service: "s", State: state}}
}

// stateAt returns the state of the upstream; Gone if it was removed.
func stateAt(t *Table, seconds float64) State {
	for _, upstream := range t.Upstreams(at(seconds)) {
		return upstream.State
	}
	return Gone
}

// Guards against wrong precedence of evidence: new work at a leaving upstream, or a
// healthy upstream that is excluded for good.
func TestEvidence(t *testing.T) {
	cases := []struct {
		name  string
		steps func(*Table)
		at    float64
		want  State
	}{
		{"listed only", func(*Table) {}, 1, Live},
		{"absent without refusals", func(m *Table) { m.ObserveList(nil, at(1)) }, 100, Live},
		{"the list reports leaving", func(m *Table) { m.ObserveList(listed(platform.StateLeaving), at(1)) }, 100, Leaving},
		{"a live report does not override the list", func(m *Table) {
			m.ObserveList(listed(platform.StateLeaving), at(1))
			m.Observe(sign(SignLive, 2))
		}, 2, Leaving},
		{"the list withdraws leaving", func(m *Table) {
			m.ObserveList(listed(platform.StateLeaving), at(1))
			m.ObserveList(listed(platform.StateLive), at(2))
		}, 2, Live},
		{"a draining report", func(m *Table) { m.Observe(sign(SignDraining, 1)) }, 100, Leaving},
		{"a later report clears draining", func(m *Table) {
			m.Observe(sign(SignDraining, 1))
			m.Observe(sign(SignLive, 2))
		}, 2, Live},
		{"an older live report does not clear draining", func(m *Table) {
			m.Observe(sign(SignDraining, 1))
			m.Observe(sign(SignDraining, 3))
			m.Observe(sign(SignLive, 2))
		}, 3, Leaving},
		{"an older draining report is ignored", func(m *Table) {
			m.Observe(sign(SignLive, 2))
			m.Observe(sign(SignDraining, 1))
		}, 2, Live},
		{"a recent refusal", func(m *Table) { m.Observe(sign(SignRefused, 1)) }, 1.5, Suspect},
		{"a refusal expires", func(m *Table) { m.Observe(sign(SignRefused, 1)) }, 3, Live},
		{"a report clears a refusal", func(m *Table) {
			m.Observe(sign(SignRefused, 1))
			m.Observe(sign(SignLive, 1.2))
		}, 1.3, Live},
		{"a refusal older than the last report", func(m *Table) {
			m.Observe(sign(SignLive, 2))
			m.Observe(sign(SignRefused, 1.5))
		}, 2, Live},
		{"another host's sign", func(m *Table) { m.Observe(sign(SignLeaving, 1)) }, 2, Leaving},
		{"a live report does not override another host's sign", func(m *Table) {
			m.Observe(sign(SignLeaving, 1))
			m.Observe(sign(SignLive, 2))
		}, 2, Leaving},
		{"another host's sign expires unless repeated", func(m *Table) { m.Observe(sign(SignLeaving, 1)) }, 17, Live},
		{"another host's sign lasts while it is repeated", func(m *Table) {
			for received := range 60 {
				repeated := sign(SignLeaving, 1)
				repeated.Received = at(float64(received))
				m.Observe(repeated)
			}
		}, 62, Leaving},
		{"absent and refusing long enough", func(m *Table) {
			m.ObserveList(nil, at(1))
			for second := range 40 {
				m.Observe(sign(SignRefused, float64(second)))
			}
		}, 40, Gone},
		{"absent with one old refusal", func(m *Table) {
			m.ObserveList(nil, at(1))
			m.Observe(sign(SignRefused, 1))
		}, 40, Live},
		{"listed and refusing long enough", func(m *Table) {
			for second := range 40 {
				m.Observe(sign(SignRefused, float64(second)))
			}
		}, 39.5, Suspect},
	}
	for _, c := range cases {
		table := NewTable()
		table.ObserveList(listed(platform.StateLive), at(0))
		c.steps(table)
		if got := stateAt(table, c.at); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against changes that Observe does not report, so that peers learn of a
// leaving upstream only from the next heartbeat.
func TestObserveReportsChanges(t *testing.T) {
	table := NewTable()
	if table.Observe(sign(SignDraining, 1)) {
		t.Error("Observe reported a change of an unknown upstream")
	}
	table.ObserveList(listed(platform.StateLive), at(0))
	if !table.Observe(sign(SignDraining, 1)) || table.Observe(sign(SignDraining, 2)) {
		t.Error("Observe must report a change for the first draining sign only")
	}
	upstream := table.Upstreams(at(2))[0]
	if !upstream.Direct || !upstream.Since.Equal(at(1)) || upstream.Service != "s" {
		t.Errorf("got %+v", upstream)
	}
}
