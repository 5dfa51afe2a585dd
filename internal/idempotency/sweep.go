package idempotency

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

const (
	// sweepKey is the key of the sweep row, outside the prefix of claims.
	sweepKey = "claimsweep"
	// sweepInterval is the minimum time between sweeps by any host. With
	// sweepPageSize, it allows for about 50 expiring claims per second.
	sweepInterval = 10 * time.Second
	// sweepLeaseDuration is how long a host may sweep before another one may take
	// over the sweep lease.
	sweepLeaseDuration = 30 * time.Second
	// sweepPageSize is the number of rows read per sweep.
	sweepPageSize = 512
	// sweepBatchSize is the number of rows deleted per commit.
	sweepBatchSize = 64
	// maxSweepBackoff is the maximum factor on the pause of a host that does not
	// acquire the sweep lease. Without it, 1,700 hosts read the sweep row 170
	// times a second; the platform serves 2,000 reads a second.
	maxSweepBackoff = 32
	// maxSweepJitter keeps hosts from reading the sweep row simultaneously.
	maxSweepJitter = time.Second
)

// sweepState is the value of the sweep row. The sweep lease is a conditional write
// of this row.
type sweepState struct {
	Holder      string `json:"holder"`        // incarnation of the lease holder; empty between sweeps
	NotBeforeMS int64  `json:"not_before_ms"` // wall clock; before this time only the holder may write
	After       string `json:"after"`         // last key of the previous sweep
}

// SweepReport is the result of one call of Sweep.
type SweepReport struct {
	Acquired bool // this host acquired the sweep lease
	Read     int
	Deleted  int
}

// Run sweeps until the context ends. Every host runs it; the sweep row ensures that
// one host performs each sweep. The host that performed the last one tries again
// first, and the others back off exponentially, so that the number of reads hardly
// grows with the number of hosts.
func (s *Store) Run(ctx context.Context) {
	backoff := 1
	// The random part separates hosts that started at the same time.
	pause := sweepInterval/2 + rand.N(sweepInterval)
	for clock.Sleep(ctx, pause) {
		report, err := s.Sweep(ctx)
		if err != nil {
			s.log.V(1).Info("claim sweep failed", "error", err.Error())
		}
		pause, backoff = nextSweepPause(report.Acquired, backoff)
	}
}

// nextSweepPause returns the pause before the next attempt and the next factor.
func nextSweepPause(acquired bool, backoff int) (pause time.Duration, next int) {
	if acquired {
		return sweepInterval + rand.N(maxSweepJitter), 1
	}
	next = min(2*backoff, maxSweepBackoff)
	return time.Duration(next) * (sweepInterval/2 + rand.N(sweepInterval)), next
}

// Sweep deletes one page of expired claims if this host acquires the sweep lease.
func (s *Store) Sweep(ctx context.Context) (SweepReport, error) {
	state, revision, err := s.acquireSweepLease(ctx)
	if err != nil || revision == 0 {
		return SweepReport{}, err
	}
	report := SweepReport{Acquired: true}
	rows, err := s.table.Range(ctx, claimPrefix, state.After, sweepPageSize)
	if err != nil {
		return report, eris.Wrap(err, "sweep")
	}
	report.Read = len(rows)
	expired := s.selectExpired(rows)
	for len(expired) > 0 {
		batch := expired[:min(sweepBatchSize, len(expired))]
		expired = expired[len(batch):]
		deleted, err := s.deleteClaims(ctx, batch)
		report.Deleted += deleted
		if err != nil {
			return report, err
		}
	}
	s.metrics.swept.Add(float64(report.Deleted))
	return report, s.releaseSweepLease(ctx, revision, nextAfter(rows))
}

// nextAfter returns the key after which the next sweep starts; empty, to start from
// the beginning, if the last row was reached.
func nextAfter(rows []platform.Row) string {
	if len(rows) < sweepPageSize {
		return ""
	}
	return rows[len(rows)-1].Key
}

// acquireSweepLease returns revision 0 if another host holds the lease, or if the
// last sweep was too recent.
func (s *Store) acquireSweepLease(ctx context.Context) (sweepState, uint64, error) {
	row, err := s.table.Read(ctx, sweepKey)
	if err != nil {
		return sweepState{}, 0, eris.Wrap(err, "sweep")
	}
	var state sweepState
	if row.Revision != 0 {
		if err := json.Unmarshal(row.Value, &state); err != nil {
			return sweepState{}, 0, eris.Wrap(&CorruptClaimError{Key: sweepKey, Cause: err}, "sweep")
		}
	}
	now := s.clock.Now()
	if now.UnixMilli() < state.NotBeforeMS && state.Holder != s.incarnation {
		return sweepState{}, 0, nil
	}
	acquired := sweepState{Holder: s.incarnation, NotBeforeMS: now.Add(sweepLeaseDuration).UnixMilli(), After: state.After}
	revision, err := s.writeSweepState(ctx, row.Revision, acquired)
	if isConflict(err) {
		return sweepState{}, 0, nil
	}
	return acquired, revision, err
}

// releaseSweepLease lets any host acquire the lease after sweepInterval.
func (s *Store) releaseSweepLease(ctx context.Context, revision uint64, after string) error {
	next := sweepState{NotBeforeMS: s.clock.Now().Add(sweepInterval).UnixMilli(), After: after}
	_, err := s.writeSweepState(ctx, revision, next)
	return err
}

func (s *Store) writeSweepState(ctx context.Context, revision uint64, state sweepState) (uint64, error) {
	value, err := json.Marshal(state)
	if err != nil {
		return 0, eris.Wrap(&EncodingError{Cause: err}, "sweep")
	}
	revision, err = s.table.Commit(ctx,
		[]platform.Condition{{Key: sweepKey, Revision: revision}},
		[]platform.Write{{Key: sweepKey, Value: value}})
	return revision, eris.Wrap(err, "sweep")
}

// expiredClaim is a row to delete and the name of its object, if any.
type expiredClaim struct {
	row    platform.Row
	object string
}

// selectExpired returns the rows whose retention has passed. Rows that cannot be
// decoded are kept, because they may prevent a call from running twice.
func (s *Store) selectExpired(rows []platform.Row) []expiredClaim {
	now := s.clock.Now().UnixMilli()
	var expired []expiredClaim
	for _, row := range rows {
		claim, err := decodeRow(row.Key, row.Value)
		if err != nil || claim.ExpiresMS > now {
			continue
		}
		x := expiredClaim{row: row}
		if claim.Response != nil {
			x.object = claim.Response.Object
		}
		expired = append(expired, x)
	}
	return expired
}

// deleteClaims deletes a batch, unless one of its rows has changed; in that case the
// batch is left to a later sweep.
func (s *Store) deleteClaims(ctx context.Context, batch []expiredClaim) (int, error) {
	if err := s.truncateObjects(ctx, batch); err != nil {
		return 0, err
	}
	conditions := make([]platform.Condition, 0, len(batch))
	writes := make([]platform.Write, 0, len(batch))
	for _, x := range batch {
		conditions = append(conditions, platform.Condition{Key: x.row.Key, Revision: x.row.Revision})
		writes = append(writes, platform.Write{Key: x.row.Key, Delete: true})
	}
	_, err := s.table.Commit(ctx, conditions, writes)
	if isConflict(err) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrap(err, "sweep")
	}
	return len(batch), nil
}

// truncateObjects frees the space of stored bodies. The object store cannot delete
// objects, so they are overwritten with empty ones. This happens before the rows
// are deleted, because afterwards nothing refers to the objects.
func (s *Store) truncateObjects(ctx context.Context, batch []expiredClaim) error {
	for _, x := range batch {
		if x.object == "" {
			continue
		}
		if err := s.objects.Put(ctx, x.object, nil); err != nil {
			return eris.Wrap(err, "sweep")
		}
	}
	return nil
}
