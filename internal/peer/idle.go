package peer

import (
	"maps"
	"slices"
	"time"
)

// maxIdleTotal is the maximum number of idle connections to all hosts, enforced once
// per heartbeat interval. Loan and status calls reach every host over time: with
// 1,700 hosts, at about 30 KB per connection for both ends, unlimited idle
// connections would exceed the memory limit of all control work.
const maxIdleTotal = 128

// closeExcessIdle closes the least recently used idle connections beyond
// maxIdleTotal.
func (m *Mesh) closeExcessIdle() {
	m.mu.Lock()
	pools := slices.Collect(maps.Values(m.pools))
	m.mu.Unlock()
	var times []time.Time
	for _, p := range pools {
		times = append(times, p.idleLastUsed()...)
	}
	if len(times) <= maxIdleTotal {
		return
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := times[len(times)-maxIdleTotal]
	for _, p := range pools {
		p.closeIdleBefore(limit)
	}
}
