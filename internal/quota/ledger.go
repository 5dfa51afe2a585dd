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
	// slotRowPrefix starts the keys of slot records: quota/slots/00017.
	slotRowPrefix = "quota/slots/"
	// headRow holds the newest accepted configuration version.
	headRow = "config/head"
	// MaxSlotsPerCommit bounds the rows of one commit.
	MaxSlotsPerCommit = 64
)

// Ledger keeps the slot records in the table service and activates slots of a
// Manager when the records allow it. It writes only when slots change hands,
// and when a process starts or stops.
type Ledger struct {
	table     platform.Table
	manager   *Manager
	mu        sync.Mutex        // one Sync at a time
	attempts  map[int]time.Time // by slot: when it may be used if the claim took effect
	releasing map[int]bool      // dropped slots whose records are not marked as free yet
	exposure  int64             // milliseconds, in the records of owned slots
	closed    bool
}

// NewLedger returns a Ledger for the Manager's host.
func NewLedger(table platform.Table, manager *Manager) *Ledger {
	return &Ledger{
		table:     table,
		manager:   manager,
		attempts:  map[int]time.Time{},
		releasing: map[int]bool{},
	}
}

// slotRow is a slot's record with the revision that a commit depends on.
type slotRow struct {
	slot     int
	revision uint64
	record   *SlotRecord // nil: absent
}

// Sync claims wanted slots and releases those given up. It returns the slots
// released, which the caller announces to their new owners, and whether a
// handover is still under way, in which case Sync must be called again. It
// returns errors of the platform package, *SlotRecordError and *HeadRecordError.
func (l *Ledger) Sync(ctx context.Context) (released []int, pending bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false, nil
	}
	plan := l.manager.SlotPlan()
	l.drop(plan)
	released, err = l.release(ctx)
	if err == nil {
		err = l.claim(ctx, l.unrecorded(plan))
	}
	after := l.manager.SlotPlan()
	pending = len(l.releasing) > 0 || after.Pending() || len(l.unrecorded(after)) > 0
	return released, pending, err
}

// unrecorded lists the slots whose records must be written: those wanted, and
// all of them after a configuration raised the longest deadline, because the
// next process waits as long as the records say.
func (l *Ledger) unrecorded(plan SlotPlan) []int {
	_, self := l.manager.identity()
	if self.ExposureMS > l.exposure {
		return append(plan.Wanted, plan.Owned...)
	}
	return plan.Wanted
}

// drop stops counting releasable slots. A slot that is wanted again is claimed
// anew instead of being released.
func (l *Ledger) drop(plan SlotPlan) {
	for _, slot := range plan.Releasable {
		l.manager.DeactivateSlot(slot)
		l.releasing[slot] = true
	}
	for _, slot := range plan.Wanted {
		delete(l.releasing, slot)
	}
}

// Close marks all of the host's slots as free, so that the next process can use
// them at once. The caller has finished all requests and returned all loans; a
// slot whose tokens are still in use keeps its record.
func (l *Ledger) Close(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, slot := range l.manager.stopSlots() {
		l.releasing[slot] = true
	}
	_, err := l.release(ctx)
	return err
}

// claim takes slots under the newest accepted configuration only. A host behind
// it could act on an address under stopped_hosts that has been started again.
func (l *Ledger) claim(ctx context.Context, slots []int) error {
	if len(slots) == 0 {
		return nil
	}
	snapshot, self := l.manager.identity()
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

// readHead returns the condition that no newer version is accepted, and whether
// it holds for a version now.
func (l *Ledger) readHead(ctx context.Context, version uint64) (platform.Condition, bool, error) {
	row, err := l.table.Read(ctx, headRow)
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
	return platform.Condition{Key: headRow, Revision: row.Revision}, head.Version == version, nil
}

// claimRows claims what may be claimed of the slots, in one commit.
func (l *Ledger) claimRows(ctx context.Context, head platform.Condition, rows []slotRow, self SlotRecord, snapshot *config.Snapshot) error {
	conditions := []platform.Condition{head}
	var writes []platform.Write
	var claimed []int
	for _, row := range rows {
		claim, ok := ClaimSlot(row.record, self, snapshot)
		if !ok {
			continue
		}
		write, err := recordWrite(row.slot, claim.Record)
		if err != nil {
			return err
		}
		conditions = append(conditions, platform.Condition{Key: write.Key, Revision: row.revision})
		writes = append(writes, write)
		claimed = append(claimed, row.slot)
		l.noteAttempt(row.slot, claim)
	}
	if len(writes) == 0 {
		return nil
	}
	if _, err := l.table.Commit(ctx, conditions, writes); err != nil {
		return eris.Wrap(err, "claim slots")
	}
	for _, slot := range claimed {
		l.manager.ActivateSlot(slot, l.attempts[slot])
	}
	return nil
}

// noteAttempt remembers when the slot may be used, because a commit whose answer
// is lost is found later as the process's own record. Of several attempts the
// latest time counts, since any of them may have taken effect.
func (l *Ledger) noteAttempt(slot int, claim Claim) {
	earlier, tried := l.attempts[slot]
	if claim.Own && tried {
		return
	}
	from := l.manager.clk.Now().Add(claim.Delay)
	if !tried || from.After(earlier) {
		l.attempts[slot] = from
	}
}

// release marks the records of dropped slots as free.
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

func (l *Ledger) releaseRows(ctx context.Context, rows []slotRow) error {
	var conditions []platform.Condition
	var writes []platform.Write
	for _, row := range rows {
		if !l.ownRecord(row.record) {
			continue // released by an earlier call whose answer was lost
		}
		record := *row.record
		record.Free = true
		write, err := recordWrite(row.slot, record)
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

func (l *Ledger) ownRecord(record *SlotRecord) bool {
	return record != nil && !record.Free &&
		record.Owner == l.manager.host && record.Incarnation == l.manager.incarnation
}

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

func recordWrite(slot int, record SlotRecord) (platform.Write, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return platform.Write{}, eris.Wrap(&SlotRecordError{Slot: slot, Cause: err}, "encode slot record")
	}
	return platform.Write{Key: slotKey(slot), Value: value}, nil
}

func slotKey(slot int) string { return fmt.Sprintf("%s%05d", slotRowPrefix, slot) }

func batches(slots []int, size int) [][]int {
	var all [][]int
	for len(slots) > 0 {
		count := min(size, len(slots))
		all = append(all, slots[:count])
		slots = slots[count:]
	}
	return all
}

// identity returns the configuration in force and this process as a slot's
// owner.
func (m *Manager) identity() (*config.Snapshot, SlotRecord) {
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

// stopSlots takes every slot out of use and lists those that may be marked as
// free. Slots in recovery, and as many as the tokens in use need, keep their
// records, so that the next process waits.
func (m *Manager) stopSlots() []int {
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
