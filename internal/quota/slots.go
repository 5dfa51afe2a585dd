package quota

import (
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

// SlotRecord is the durable record of who may use a slot's tokens. It is the
// only authority for a handover; messages between hosts only say that it
// changed. An absent record means that nobody has used the slot yet.
type SlotRecord struct {
	Owner       string `json:"owner"`       // host that last claimed the slot
	Address     string `json:"address"`     // of the owner for callers
	Incarnation uint64 `json:"incarnation"` // of the owner's process
	Version     uint64 `json:"version"`     // configuration at the claim
	ExposureMS  int64  `json:"exposure_ms"` // how long tokens stay in use after the owner ended
	Free        bool   `json:"free"`        // the owner has stopped and nothing of the slot is in use
}

// Claim is the outcome of ClaimSlot.
type Claim struct {
	Record SlotRecord
	Delay  time.Duration // until the slot may be used, after the record is stored
	Own    bool          // the record is this process's own claim, whose answer was lost
}

// ClaimSlot decides whether a host may take a slot that the configuration gives
// to it. The record is nil when absent. It reports false while another host may
// still use the slot.
//
// The delay covers tokens that an ended process reserved or lent: requests may
// still be generating them at upstreams and borrowers. A process at the same
// address as the host has certainly ended, because the port is bound once.
func ClaimSlot(record *SlotRecord, self SlotRecord, snapshot *config.Snapshot) (Claim, bool) {
	claim := Claim{Record: self}
	if record == nil || record.Free {
		return claim, true
	}
	claim.Own = record.Owner == self.Owner && record.Incarnation == self.Incarnation
	ended := record.Owner == self.Owner && record.Address == self.Address
	if !claim.Own && !ended && !slices.Contains(snapshot.Document.StoppedHosts, record.Address) {
		return Claim{}, false
	}
	exposure := time.Duration(record.ExposureMS) * time.Millisecond
	claim.Delay = max(exposure, Exposure(snapshot))
	return claim, true
}

// SlotPlan lists what the ledger has to do.
type SlotPlan struct {
	Wanted     []int // configured for this host and not owned yet
	Owned      []int // configured for this host and owned
	Releasable []int // owned, no longer configured, and nothing of them in use
	Retained   []int // owned, no longer configured, and still in use
}

// Pending reports whether a handover is under way.
func (p SlotPlan) Pending() bool {
	return len(p.Wanted)+len(p.Releasable)+len(p.Retained) > 0
}

// SlotPlan compares the slots owned with the configuration in force.
func (m *Manager) SlotPlan() SlotPlan {
	m.mu.Lock()
	defer m.mu.Unlock()
	var plan SlotPlan
	if m.snapshot == nil || m.stopped() {
		return plan
	}
	configured := m.snapshot.Document.Hosts[m.host].Slots
	for _, slot := range configured {
		if _, owned := m.slots[slot]; owned {
			plan.Owned = append(plan.Owned, slot)
		} else {
			plan.Wanted = append(plan.Wanted, slot)
		}
	}
	now := m.clk.Now()
	for slot, from := range m.slots {
		switch {
		case slices.Contains(configured, slot):
		case !now.Before(from) && m.slotUnused(slot, now):
			plan.Releasable = append(plan.Releasable, slot)
		default:
			plan.Retained = append(plan.Retained, slot)
		}
	}
	slices.Sort(plan.Releasable)
	slices.Sort(plan.Retained)
	return plan
}

// slotUnused reports whether the tokens in use of every workspace of the slot
// fit into the slots that remain.
func (m *Manager) slotUnused(slot int, now time.Time) bool {
	for _, w := range m.table.Load().workspaces {
		w.mu.Lock()
		w.advance(now)
		unused := w.bucket.WithinCapacity() || (w.known && !slices.Contains(w.home, slot))
		w.mu.Unlock()
		if !unused {
			return false
		}
	}
	return true
}

// ActivateSlot counts a slot from the time given on. The caller holds the
// slot's record.
func (m *Manager) ActivateSlot(slot int, from time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snapshot == nil || m.stopped() {
		return
	}
	m.slots[slot] = from
	m.resizeAll()
	m.notifyAll()
}

// DeactivateSlot stops counting a slot. It precedes marking the record as free, so
// that a configuration that returns the slot cannot revive it without a claim.
func (m *Manager) DeactivateSlot(slot int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.slots, slot)
	m.resizeAll()
}

// ActivateConfiguredSlots activates all slots that the configuration gives to this
// host. It is only for a deployment without a table service in which no host
// has ever run before; a restarted host must use a Ledger.
func (m *Manager) ActivateConfiguredSlots() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snapshot == nil || m.stopped() {
		return
	}
	now := m.clk.Now()
	for _, slot := range m.snapshot.Document.Hosts[m.host].Slots {
		m.slots[slot] = now
	}
	m.resizeAll()
}

// EndRecovery activates slots that wait only for tokens of an ended process to
// run out. The caller has proof that no upstream runs a request of an earlier
// process of this host and that no other host holds a loan of one.
func (m *Manager) EndRecovery() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	for slot, from := range m.slots {
		if now.Before(from) {
			m.slots[slot] = now
		}
	}
	m.resizeAll()
}
