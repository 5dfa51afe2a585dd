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
	// sweepRow holds the turn to sweep, outside the prefix of claims.
	sweepRow = "claimsweep"
	// sweepInterval is the shortest time between rounds of the whole fleet.
	// With sweepRows, it allows for about 50 expiring claims per second.
	sweepInterval = 10 * time.Second
	// sweepTurn is how long one host has for a round; afterwards another one
	// may take the turn.
	sweepTurn = 30 * time.Second
	// sweepRows is the number of rows read per round.
	sweepRows = 512
	// sweepBatch is the number of rows deleted per commit.
	sweepBatch = 64
	// maxSweepBackoff is the largest factor on the pause of a host that does
	// not get the turn. Without it, 1,700 hosts read the sweep row 170 times a
	// second, of the platform's 2,000 reads.
	maxSweepBackoff = 32
	// sweepJitter keeps hosts from reading the sweep row together.
	sweepJitter = time.Second
)

// sweepState is the value of the sweep row.
type sweepState struct {
	Holder      string `json:"holder"`        // incarnation, empty between rounds
	NotBeforeMS int64  `json:"not_before_ms"` // wall clock; earlier, only the holder may write
	After       string `json:"after"`         // last key of the previous round
}

// SweepReport says what one call of Sweep did.
type SweepReport struct {
	Acquired bool // this host had the turn
	Read     int
	Deleted  int
}

// Run sweeps until the context ends. Every host runs it; the sweep row lets one
// of them do each round. The host that did the last round comes back first, and
// the others ask less and less often, so that the reads hardly grow with the
// fleet.
func (s *Store) Run(ctx context.Context) {
	backoff := 1
	// The random part keeps hosts that started together apart.
	pause := sweepInterval/2 + rand.N(sweepInterval)
	for clock.Sleep(ctx, pause) {
		report, err := s.Sweep(ctx)
		if err != nil {
			s.log.V(1).Info("sweep ended early", "error", err.Error())
		}
		pause, backoff = nextSweep(report.Acquired, backoff)
	}
}

// nextSweep returns the pause before the next attempt and the next factor.
func nextSweep(turn bool, backoff int) (pause time.Duration, next int) {
	if turn {
		return sweepInterval + rand.N(sweepJitter), 1
	}
	next = min(2*backoff, maxSweepBackoff)
	return time.Duration(next) * (sweepInterval/2 + rand.N(sweepInterval)), next
}

// Sweep deletes some expired claims if it is this host's turn.
func (s *Store) Sweep(ctx context.Context) (SweepReport, error) {
	state, revision, err := s.takeTurn(ctx)
	if err != nil || revision == 0 {
		return SweepReport{}, err
	}
	report := SweepReport{Acquired: true}
	rows, err := s.table.Range(ctx, claimPrefix, state.After, sweepRows)
	if err != nil {
		return report, eris.Wrap(err, "sweep")
	}
	report.Read = len(rows)
	expired := s.expired(rows)
	for len(expired) > 0 {
		batch := expired[:min(sweepBatch, len(expired))]
		expired = expired[len(batch):]
		deleted, err := s.deleteClaims(ctx, batch)
		report.Deleted += deleted
		if err != nil {
			return report, err
		}
	}
	s.metrics.swept.Add(float64(report.Deleted))
	return report, s.endTurn(ctx, revision, nextAfter(rows))
}

// nextAfter returns where the next round starts; the end of the rows leads back
// to the beginning.
func nextAfter(rows []platform.Row) string {
	if len(rows) < sweepRows {
		return ""
	}
	return rows[len(rows)-1].Key
}

// takeTurn returns revision 0 when another host has the turn, or the last round
// was too recent.
func (s *Store) takeTurn(ctx context.Context) (sweepState, uint64, error) {
	row, err := s.table.Read(ctx, sweepRow)
	if err != nil {
		return sweepState{}, 0, eris.Wrap(err, "sweep")
	}
	var state sweepState
	if row.Revision != 0 {
		if err := json.Unmarshal(row.Value, &state); err != nil {
			return sweepState{}, 0, eris.Wrap(&CorruptClaimError{Key: sweepRow, Cause: err}, "sweep")
		}
	}
	now := s.clock.Now()
	if now.UnixMilli() < state.NotBeforeMS && state.Holder != s.incarnation {
		return sweepState{}, 0, nil
	}
	taken := sweepState{Holder: s.incarnation, NotBeforeMS: now.Add(sweepTurn).UnixMilli(), After: state.After}
	revision, err := s.writeTurn(ctx, row.Revision, taken)
	if isConflict(err) {
		return sweepState{}, 0, nil
	}
	return taken, revision, err
}

// endTurn lets any host take the next turn after sweepInterval.
func (s *Store) endTurn(ctx context.Context, revision uint64, after string) error {
	next := sweepState{NotBeforeMS: s.clock.Now().Add(sweepInterval).UnixMilli(), After: after}
	_, err := s.writeTurn(ctx, revision, next)
	return err
}

func (s *Store) writeTurn(ctx context.Context, revision uint64, state sweepState) (uint64, error) {
	value, err := json.Marshal(state)
	if err != nil {
		return 0, eris.Wrap(&EncodingError{Cause: err}, "sweep")
	}
	revision, err = s.table.Commit(ctx,
		[]platform.Condition{{Key: sweepRow, Revision: revision}},
		[]platform.Write{{Key: sweepRow, Value: value}})
	return revision, eris.Wrap(err, "sweep")
}

// expiredClaim is a row to delete and the object that belongs to it, if any.
type expiredClaim struct {
	row    platform.Row
	object string
}

// expired selects the rows whose retention has passed. Rows that cannot be
// decoded are kept, because they may protect a call from running twice.
func (s *Store) expired(rows []platform.Row) []expiredClaim {
	now := s.clock.Now().UnixMilli()
	var found []expiredClaim
	for _, row := range rows {
		claim, err := decodeRow(row.Key, row.Value)
		if err != nil || claim.ExpiresMS > now {
			continue
		}
		x := expiredClaim{row: row}
		if claim.Response != nil {
			x.object = claim.Response.Object
		}
		found = append(found, x)
	}
	return found
}

// deleteClaims deletes a batch unless one of its rows has changed; then the
// batch is left to a later round.
func (s *Store) deleteClaims(ctx context.Context, batch []expiredClaim) (int, error) {
	if err := s.emptyObjects(ctx, batch); err != nil {
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

// emptyObjects frees the space of stored bodies. The object store has no
// operation to delete an object, so an empty one takes its place. It runs
// before the rows are deleted: afterwards, nothing would name the objects.
func (s *Store) emptyObjects(ctx context.Context, batch []expiredClaim) error {
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
