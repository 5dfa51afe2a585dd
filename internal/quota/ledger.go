package quota

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

const (
	// slotKeyPrefix is the key prefix of slot records, for example quota/slots/00017.
	slotKeyPrefix = "quota/slots/"
	// headKey is the key of the newest accepted configuration version.
	headKey = "config/head"
	// MaxSlotsPerCommit bounds the rows of one commit.
	MaxSlotsPerCommit = 64
)

// Ledger maintains the slot records in the table service and activates a Manager's
// slots when the records allow it. It writes when slots are handed over, when the
// longest deadline was raised, and when a process starts or stops. It is safe for
// concurrent use.
type Ledger struct {
	table      platform.Table
	manager    *Manager
	mu         sync.Mutex        // serialises Sync and Close
	usableFrom map[int]time.Time // by slot: time from which it may be used if a claim took effect
	releasing  map[int]bool      // deactivated slots whose records are not marked as free yet
	exposure   int64             // in the records of owned slots, in milliseconds
	closed     bool
}

// NewLedger returns a Ledger for the Manager's host.
func NewLedger(table platform.Table, manager *Manager) *Ledger {
	return &Ledger{
		table:      table,
		manager:    manager,
		usableFrom: map[int]time.Time{},
		releasing:  map[int]bool{},
	}
}

// slotRow is a slot's record with its revision, for conditional commits.
type slotRow struct {
	slot     int
	revision uint64
	record   *SlotRecord // nil: absent
}

// Sync claims slots that the configuration assigns to this host and releases those
// that it no longer does. It returns the released slots, which the caller announces
// to their new owners, and whether a handover is pending, in which case Sync must be
// called again. Errors are those of package platform, *SlotRecordError and
// *HeadRecordError.
func (l *Ledger) Sync(ctx context.Context) (released []int, pending bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false, nil
	}
	plan := l.manager.SlotPlan()
	l.deactivateReleasable(plan)
	released, err = l.release(ctx)
	if err == nil {
		err = l.claim(ctx, l.slotsToRecord(plan))
	}
	after := l.manager.SlotPlan()
	pending = len(l.releasing) > 0 || after.Pending() || len(l.slotsToRecord(after)) > 0
	return released, pending, err
}

// slotsToRecord lists the slots whose records must be written: those to claim, and
// also the owned ones after a configuration raised the longest deadline, because a
// later owner waits for the exposure stated in the records.
func (l *Ledger) slotsToRecord(plan SlotPlan) []int {
	_, self := l.manager.selfRecord()
	if self.ExposureMS > l.exposure {
		return append(plan.Wanted, plan.Owned...)
	}
	return plan.Wanted
}

// deactivateReleasable deactivates the releasable slots and marks them for release.
// A slot that is wanted again is claimed anew instead.
func (l *Ledger) deactivateReleasable(plan SlotPlan) {
	for _, slot := range plan.Releasable {
		l.manager.DeactivateSlot(slot)
		l.releasing[slot] = true
	}
	for _, slot := range plan.Wanted {
		delete(l.releasing, slot)
	}
}

// Close deactivates all of the host's slots and marks their records as free, so that
// the next process can use them at once. The caller must have finished all requests
// and returned all loans. Slots whose tokens are still in use keep their records.
func (l *Ledger) Close(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, slot := range l.manager.deactivateAll() {
		l.releasing[slot] = true
	}
	_, err := l.release(ctx)
	return err
}

// claim claims slots, but only if this host has applied the newest accepted
// configuration. In an older one, stopped_hosts could list the address of a host that
// has been started again.
func (l *Ledger) claim(ctx context.Context, slots []int) error {
	if len(slots) == 0 {
		return nil
	}
	snapshot, self := l.manager.selfRecord()
	head, newest, err := l.readHead(ctx, snapshot.Version)
	if err != nil || !newest {
		return err
	}
	for _, batch := range batches(slots, MaxSlotsPerCommit) {
		rows, err := l.read(ctx, batch)
		if err != nil {
			return err
		}
		if err := l.claimRows(ctx, head, rows, self, snapshot); err != nil {
			return err
		}
	}
	l.exposure = self.ExposureMS
	return nil
}

// readHead returns the commit condition that no newer version has been accepted,
// and whether the given version is the newest one.
func (l *Ledger) readHead(ctx context.Context, version uint64) (platform.Condition, bool, error) {
	row, err := l.table.Read(ctx, headKey)
	if err != nil {
		return platform.Condition{}, false, eris.Wrap(err, "read configuration head")
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if row.Revision != 0 {
		if err := json.Unmarshal(row.Value, &head); err != nil {
			return platform.Condition{}, false, eris.Wrap(&HeadRecordError{Cause: err}, "read configuration head")
		}
	}
	return platform.Condition{Key: headKey, Revision: row.Revision}, head.Version == version, nil
}

// claimRows claims and activates those of the slots that may be claimed, in one
// commit.
func (l *Ledger) claimRows(ctx context.Context, head platform.Condition, rows []slotRow, self SlotRecord, snapshot *config.Snapshot) error {
	conditions := []platform.Condition{head}
	var writes []platform.Write
	var claimed []int
	for _, row := range rows {
		claim, ok := ClaimSlot(row.record, self, snapshot)
		if !ok {
			continue
		}
		write, err := encodeRecord(row.slot, claim.Record)
		if err != nil {
			return err
		}
		conditions = append(conditions, platform.Condition{Key: write.Key, Revision: row.revision})
		writes = append(writes, write)
		claimed = append(claimed, row.slot)
		l.recordAttempt(row.slot, claim)
	}
	if len(writes) == 0 {
		return nil
	}
	if _, err := l.table.Commit(ctx, conditions, writes); err != nil {
		return eris.Wrap(err, "claim slots")
	}
	for _, slot := range claimed {
		l.manager.ActivateSlot(slot, l.usableFrom[slot])
	}
	return nil
}

// recordAttempt records the time from which a slot may be used. If the answer to the
// commit is lost, a later Sync finds the process's own record and uses this time. The
// latest time of several attempts counts, since any of them may have taken effect.
func (l *Ledger) recordAttempt(slot int, claim Claim) {
	earlier, tried := l.usableFrom[slot]
	if claim.Own && tried {
		return
	}
	from := l.manager.clk.Now().Add(claim.Delay)
	if !tried || from.After(earlier) {
		l.usableFrom[slot] = from
	}
}

// release marks the records of deactivated slots as free.
func (l *Ledger) release(ctx context.Context) ([]int, error) {
	var released []int
	for _, batch := range batches(slices.Sorted(maps.Keys(l.releasing)), MaxSlotsPerCommit) {
		rows, err := l.read(ctx, batch)
		if err != nil {
			return released, err
		}
		if err := l.releaseRows(ctx, rows); err != nil {
			return released, err
		}
		for _, slot := range batch {
			delete(l.releasing, slot)
		}
		released = append(released, batch...)
	}
	return released, nil
}

// releaseRows marks the rows that this process owns as free, in one commit.
func (l *Ledger) releaseRows(ctx context.Context, rows []slotRow) error {
	var conditions []platform.Condition
	var writes []platform.Write
	for _, row := range rows {
		if !l.ownedBySelf(row.record) {
			continue // released by an earlier call whose answer was lost
		}
		record := *row.record
		record.Free = true
		write, err := encodeRecord(row.slot, record)
		if err != nil {
			return err
		}
		conditions = append(conditions, platform.Condition{Key: write.Key, Revision: row.revision})
		writes = append(writes, write)
	}
	if len(writes) == 0 {
		return nil
	}
	_, err := l.table.Commit(ctx, conditions, writes)
	return eris.Wrap(err, "release slots")
}

// ownedBySelf reports whether the record is a claim of this process.
func (l *Ledger) ownedBySelf(record *SlotRecord) bool {
	return record != nil && !record.Free &&
		record.Owner == l.manager.host && record.Incarnation == l.manager.incarnation
}

// read returns the rows of the slots.
func (l *Ledger) read(ctx context.Context, slots []int) ([]slotRow, error) {
	rows := make([]slotRow, 0, len(slots))
	for _, slot := range slots {
		row, err := l.table.Read(ctx, slotKey(slot))
		if err != nil {
			return nil, eris.Wrap(err, "read slot record")
		}
		parsed := slotRow{slot: slot, revision: row.Revision}
		if row.Revision != 0 {
			parsed.record = &SlotRecord{}
			if err := json.Unmarshal(row.Value, parsed.record); err != nil {
				return nil, eris.Wrap(&SlotRecordError{Slot: slot, Cause: err}, "read slot record")
			}
		}
		rows = append(rows, parsed)
	}
	return rows, nil
}

// encodeRecord returns the write that stores a slot's record.
func encodeRecord(slot int, record SlotRecord) (platform.Write, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return platform.Write{}, eris.Wrap(&SlotRecordError{Slot: slot, Cause: err}, "encode slot record")
	}
	return platform.Write{Key: slotKey(slot), Value: value}, nil
}

func slotKey(slot int) string { return fmt.Sprintf("%s%05d", slotKeyPrefix, slot) }

// batches splits slots into batches of at most size.
func batches(slots []int, size int) [][]int {
	var all [][]int
	for len(slots) > 0 {
		count := min(size, len(slots))
		all = append(all, slots[:count])
		slots = slots[count:]
	}
	return all
}

// selfRecord returns the current configuration and the record of a slot claimed by
// this process. Both are empty before the first configuration.
func (m *Manager) selfRecord() (*config.Snapshot, SlotRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snapshot == nil {
		return nil, SlotRecord{}
	}
	return m.snapshot, SlotRecord{
		Owner:       m.host,
		Address:     m.snapshot.Document.Hosts[m.host].Address,
		Incarnation: m.incarnation,
		Version:     m.snapshot.Version,
		ExposureMS:  m.exposure.Milliseconds(),
	}
}

// deactivateAll deactivates every slot and lists those that may be marked as free.
// Slots that are not active yet, and as many as the tokens in use need, keep their
// records, so that the next process waits.
func (m *Manager) deactivateAll() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	var free []int
	for _, slot := range slices.Sorted(maps.Keys(m.slots)) {
		from := m.slots[slot]
		delete(m.slots, slot)
		m.resizeAll()
		if !now.Before(from) && m.slotUnused(slot, now) {
			free = append(free, slot)
			continue
		}
		m.slots[slot] = from
		m.resizeAll()
	}
	clear(m.slots)
	m.resizeAll()
	return free
}
