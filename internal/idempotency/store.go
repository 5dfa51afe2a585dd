package idempotency

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

const (
	// maxTries is the maximum number of commits per operation. In an outage the
	// context usually ends earlier, because each call takes up to a second.
	maxTries       = 5
	initialBackoff = 20 * time.Millisecond
	// cleanupTimeout bounds the removal of a claim whose caller has gone while
	// the outcome of the insert was unknown.
	cleanupTimeout = 3 * time.Second
	// maxCleanups is the maximum number of concurrent removals.
	maxCleanups = 32
	// dispatchRetentionDivisor: a claim may be dispatched during the first half of
	// its retention. The other half covers differences between the wall clocks of
	// the owner and of the host that sweeps the claim.
	dispatchRetentionDivisor = 2
)

// Config holds the dependencies of a Store.
type Config struct {
	Table       platform.Table
	Objects     platform.ObjectStore
	Clock       clock.Clock
	Incarnation string // unique to this run of the process
	Registerer  prometheus.Registerer
	Log         logr.Logger
}

// Store manages claims in the table service. It is safe for concurrent use.
type Store struct {
	table        platform.Table
	objects      platform.ObjectStore
	clock        clock.Clock
	incarnation  string
	log          logr.Logger
	metrics      *metrics
	attempts     atomic.Uint64
	cleanups     conc.WaitGroup
	cleanupSlots chan struct{}
}

// NewStore returns a Store.
func NewStore(c Config) *Store {
	return &Store{
		table:        c.Table,
		objects:      c.Objects,
		clock:        c.Clock,
		incarnation:  c.Incarnation,
		log:          c.Log.WithName("idempotency"),
		metrics:      newMetrics(c.Registerer),
		cleanupSlots: make(chan struct{}, maxCleanups),
	}
}

// Wait waits for the removal of claims whose callers have gone; each removal takes a
// few seconds at most.
func (s *Store) Wait() { s.cleanups.Wait() }

// Begin claims a call. It returns *InvalidKeyError, *UnavailableError, *ReplayError
// or *CorruptClaimError; only the first two guarantee that this call has not run.
func (s *Store) Begin(ctx context.Context, c ClaimRequest) (Result, error) {
	if len(c.Key) == 0 || len(c.Key) > MaxKeyBytes {
		return Result{}, eris.Wrap(&InvalidKeyError{Bytes: len(c.Key)}, "begin")
	}
	held := s.newHeldClaim(c)
	result, err := s.insert(ctx, held)
	if err != nil {
		s.metrics.countError(err)
		return Result{}, eris.Wrap(err, "begin")
	}
	s.metrics.countDecision(result.Kind)
	return result, nil
}

func (s *Store) newHeldClaim(c ClaimRequest) *HeldClaim {
	now := s.clock.Now()
	retention := max(c.Retention, MinRetention)
	return &HeldClaim{
		store:            s,
		key:              rowKey(c.Workspace, c.Key),
		dispatchDeadline: now.Add(retention / dispatchRetentionDivisor),
		row: claimRow{
			State:       stateStarted,
			Fingerprint: c.Fingerprint,
			RequestID:   c.RequestID,
			Incarnation: s.incarnation,
			Attempt:     s.attempts.Add(1),
			StartedMS:   now.UnixMilli(),
			ExpiresMS:   now.Add(retention).UnixMilli(),
		},
	}
}

// insert tries to insert the claim row until the outcome is known. Retrying after an
// unknown outcome is safe: the condition lets only one insert take effect, and all
// attempts carry the same owner.
func (s *Store) insert(ctx context.Context, held *HeldClaim) (Result, error) {
	value, err := held.row.encode()
	if err != nil {
		return Result{}, err
	}
	outcomeUnknown := false
	backoff := initialBackoff
	for try := 1; ; try++ {
		revision, err := s.table.Commit(ctx,
			[]platform.Condition{{Key: held.key, Revision: 0}},
			[]platform.Write{{Key: held.key, Value: value}})
		if err == nil {
			held.revision = revision
			return Result{Kind: Fresh, Held: held, Owner: s.incarnation, Started: s.clock.Now()}, nil
		}
		outcomeUnknown = outcomeUnknown || isUnknownOutcome(err)
		if isConflict(err) || isUnknownOutcome(err) {
			result, found, readErr := s.readBack(ctx, held)
			if found {
				return result, readErr
			}
			if readErr != nil {
				err = readErr
			}
		}
		if try == maxTries || !clock.Sleep(ctx, backoff) {
			s.removeAbandoned(ctx, held, outcomeUnknown)
			return Result{}, &UnavailableError{Cause: err}
		}
		backoff *= 2
	}
}

// readBack reads the claim row; found is false if it is absent or unreadable.
func (s *Store) readBack(ctx context.Context, held *HeldClaim) (result Result, found bool, err error) {
	s.metrics.readBacks.Inc()
	stored, err := s.table.Read(ctx, held.key)
	if err != nil {
		return Result{}, false, err
	}
	if stored.Revision == 0 {
		return Result{}, false, nil
	}
	row, err := decodeRow(held.key, stored.Value)
	if err != nil {
		return Result{}, true, err
	}
	if row.sameOwner(&held.row) {
		held.revision = stored.Revision
		return Result{Kind: Fresh, Held: held, Owner: s.incarnation, Started: time.UnixMilli(row.StartedMS)}, true, nil
	}
	result, err = s.resolveDuplicate(ctx, row, held.row.Fingerprint)
	return result, true, err
}

// resolveDuplicate returns the result for a call whose key is already claimed.
func (s *Store) resolveDuplicate(ctx context.Context, row *claimRow, fingerprint string) (Result, error) {
	result := Result{Owner: row.Incarnation, Started: time.UnixMilli(row.StartedMS)}
	switch {
	case row.Fingerprint != fingerprint:
		result.Kind = FingerprintDiffers
	case row.State != stateCompleted || row.Response == nil || row.Response.Omitted:
		result.Kind = InProgress
	default:
		response, err := s.loadResponse(ctx, row.Response)
		if err != nil {
			return Result{}, &ReplayError{Cause: err}
		}
		result.Kind, result.Response = Replay, response
	}
	return result, nil
}

func (s *Store) loadResponse(ctx context.Context, stored *storedResponse) (*Response, error) {
	response := stored.Response
	if stored.Object == "" {
		return &response, nil
	}
	body, err := s.objects.Get(ctx, stored.Object)
	if err != nil {
		return nil, err
	}
	if sha256Hex(body) != stored.SHA256 {
		return nil, &platform.ProtocolError{Detail: "object " + stored.Object + " has unexpected content"}
	}
	response.Body = body
	return &response, nil
}

// removeAbandoned removes in the background a claim that may have been inserted for
// a call that will not be dispatched; otherwise a repeat would be refused as "may
// have run". This is best effort: an insert that takes effect later remains until
// it is swept.
func (s *Store) removeAbandoned(ctx context.Context, held *HeldClaim, maybeInserted bool) {
	if !maybeInserted {
		return
	}
	select {
	case s.cleanupSlots <- struct{}{}:
	default:
		return
	}
	s.cleanups.Go(func() {
		defer func() { <-s.cleanupSlots }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
		defer cancel()
		_, found, err := s.readBack(ctx, held)
		if err != nil || !found || held.revision == 0 {
			return
		}
		if err := held.Release(ctx); err != nil {
			s.log.Error(err, "could not remove abandoned claim", "key", held.key)
		}
	})
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

func isUnknownOutcome(err error) bool {
	var unknown *platform.UnknownOutcomeError
	return errors.As(err, &unknown)
}
