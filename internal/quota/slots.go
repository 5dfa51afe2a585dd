package quota

import (
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

// SlotRecord is the durable record of the host that may use a slot's tokens. Only the
// record decides a handover; messages between hosts merely announce that it changed.
// An absent record means that the slot has never been used.
type SlotRecord struct {
	Owner       string `json:"owner"`       // host that last claimed the slot
	Address     string `json:"address"`     // of the owner, as callers reach it
	Incarnation uint64 `json:"incarnation"` // of the owner's process
	Version     uint64 `json:"version"`     // of the configuration at the claim
	ExposureMS  int64  `json:"exposure_ms"` // how long after the owner ended its tokens may be in use
	Free        bool   `json:"free"`        // released by the owner: none of its tokens are in use
}

// Claim is the outcome of ClaimSlot.
type Claim struct {
	Record SlotRecord
	Delay  time.Duration // from the claim until the slot may be used
	Own    bool          // the record already is this process's claim
}

// ClaimSlot decides whether a host may claim a slot that the configuration assigns to
// it. A nil record stands for an absent one. It reports false while another process
// may still use the slot.
//
// The delay covers tokens that an ended process reserved or lent: requests at
// upstreams, and borrowers, may still use them. An earlier process of this host at the
// same address has certainly ended, because only one process can bind the port.
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

// SlotPlan lists the slots that the Ledger has to claim or release.
type SlotPlan struct {
	Wanted     []int // assigned to this host and not owned yet
	Owned      []int // assigned to this host and owned
	Releasable []int // owned, no longer assigned, and not needed for tokens in use
	Retained   []int // owned, no longer assigned, and not yet releasable
}

// Pending reports whether any slot has to be claimed or released.
func (p SlotPlan) Pending() bool {
	return len(p.Wanted)+len(p.Releasable)+len(p.Retained) > 0
}

// SlotPlan compares the owned slots with the current configuration.
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

// slotUnused reports whether the tokens in use fit into the active slots, for every
// workspace that has the slot as a home slot or has been removed.
func (m *Manager) slotUnused(slot int, now time.Time) bool {
	for _, w := range m.table.Load().workspaces {
		w.mu.Lock()
		w.advance(now)
		unused := w.bucket.WithinCapacity() || (w.configured && !slices.Contains(w.homeSlots, slot))
		w.mu.Unlock()
		if !unused {
			return false
		}
	}
	return true
}

// ActivateSlot makes this host the owner of a slot and the slot active from the given
// time on. The caller must have stored the slot's record.
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

// DeactivateSlot ends the ownership of a slot. It must be called before the record is
// marked as free, so that a later configuration that assigns the slot to this host
// again cannot activate it without a claim.
func (m *Manager) DeactivateSlot(slot int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.slots, slot)
	m.resizeAll()
}

// ActivateConfiguredSlots activates all slots that the configuration assigns to this
// host, without claims. It is only for a deployment without a table service in which
// no host has run before; a restarted host must use a Ledger.
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

// EndRecovery activates owned slots at once, without waiting for the tokens of an
// ended process. The caller must have verified that no upstream runs a request of an
// earlier process of this host and that no other host has a loan from one.
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
