package idempotency

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// HeldClaim is a claim held by this host. Its methods must not be called
// concurrently with each other, except Dispatch.
type HeldClaim struct {
	store            *Store
	key              string
	row              claimRow
	revision         uint64
	dispatchDeadline time.Time // monotonic

	mu         sync.Mutex
	closed     string // "", "completed" or "released"
	dispatches int
}

// Dispatch must be called immediately before each attempt to send the call to an
// upstream. It returns *NotHeldError if the claim has ended, or if the process was
// paused for so long that the claim may have been swept.
func (h *HeldClaim) Dispatch(now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed != "" {
		return eris.Wrap(&NotHeldError{Key: h.key, Reason: h.closed}, "dispatch")
	}
	if !now.Before(h.dispatchDeadline) {
		return eris.Wrap(&NotHeldError{Key: h.key, Reason: "dispatch deadline passed"}, "dispatch")
	}
	h.dispatches++
	return nil
}

// close marks the claim as ended. A claim can end only once.
func (h *HeldClaim) close(reason string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed != "" {
		return &NotHeldError{Key: h.key, Reason: h.closed}
	}
	h.closed = reason
	return nil
}

// Complete stores the response for repeats. Its context should outlive the
// caller's, because the response must be stored even if the caller has gone. It
// returns *NotHeldError or *StorageError; the response is valid for the caller in
// either case.
func (h *HeldClaim) Complete(ctx context.Context, r Response) error {
	if err := h.close("completed"); err != nil {
		return eris.Wrap(err, "complete")
	}
	stored, err := h.storeBody(ctx, r)
	if err != nil {
		h.store.metrics.completionFailed.Inc()
		return eris.Wrap(&StorageError{Operation: "complete", Cause: err}, "claim")
	}
	row := h.row
	row.State = stateCompleted
	row.Response = stored
	value, err := row.encode()
	if err != nil {
		return eris.Wrap(&StorageError{Operation: "complete", Cause: err}, "claim")
	}
	if err := h.replace(ctx, "complete", platform.Write{Key: h.key, Value: value}); err != nil {
		h.store.metrics.completionFailed.Inc()
		return eris.Wrap(err, "claim")
	}
	h.store.metrics.completed.Inc()
	return nil
}

// storeBody writes a large body to the object store before the row refers to it.
func (h *HeldClaim) storeBody(ctx context.Context, r Response) (*storedResponse, error) {
	stored := &storedResponse{Response: r}
	switch {
	case len(r.Body) > MaxBodyBytes:
		stored.Body, stored.Omitted = nil, true
	case len(r.Body) > inlineBodyBytes:
		stored.Body = nil
		stored.SHA256 = sha256Hex(r.Body)
		stored.Object = h.objectName()
		return stored, h.putObject(ctx, stored.Object, r.Body)
	}
	return stored, nil
}

// putObject writes an object and retries on failure; the write is idempotent.
func (h *HeldClaim) putObject(ctx context.Context, name string, body []byte) error {
	backoff := initialBackoff
	for try := 1; ; try++ {
		err := h.store.objects.Put(ctx, name, body)
		if err == nil || try == maxTries || !clock.Sleep(ctx, backoff) {
			return err
		}
		backoff *= 2
	}
}

// objectName returns an object name unique to this claim, so that a late write of
// another owner cannot replace the body.
func (h *HeldClaim) objectName() string {
	identity := fmt.Sprintf("%s/%s/%s/%d", h.key, h.row.Incarnation, h.row.RequestID, h.row.Attempt)
	return objectPrefix + sha256Hex([]byte(identity))
}

// Release removes the claim, so that a repeat may run. It may be called only if the
// call certainly did not run. It returns *NotHeldError or *StorageError; after a
// *StorageError, repeats are refused as "may have run".
func (h *HeldClaim) Release(ctx context.Context) error {
	if err := h.close("released"); err != nil {
		return eris.Wrap(err, "release")
	}
	if err := h.replace(ctx, "release", platform.Write{Key: h.key, Delete: true}); err != nil {
		return eris.Wrap(err, "claim")
	}
	h.store.metrics.released.Inc()
	return nil
}

// replace writes the row if it still belongs to this claim, and retries until the
// outcome is known.
func (h *HeldClaim) replace(ctx context.Context, operation string, write platform.Write) error {
	backoff := initialBackoff
	for try := 1; ; try++ {
		_, err := h.store.table.Commit(ctx,
			[]platform.Condition{{Key: h.key, Revision: h.revision}}, []platform.Write{write})
		if err == nil {
			return nil
		}
		if isConflict(err) || isUnknownOutcome(err) {
			done, checkErr := h.checkReplaced(ctx, write.Delete)
			if done {
				return checkErr
			}
		}
		if try == maxTries || !clock.Sleep(ctx, backoff) {
			return &StorageError{Operation: operation, Cause: err}
		}
		backoff *= 2
	}
}

// checkReplaced reads the row after a conflict or an unknown outcome of a commit.
// It reports done if the write took effect or no longer can.
func (h *HeldClaim) checkReplaced(ctx context.Context, deleted bool) (done bool, err error) {
	h.store.metrics.readBacks.Inc()
	stored, err := h.store.table.Read(ctx, h.key)
	switch {
	case err != nil || stored.Revision == h.revision:
		return false, nil // not yet written, or unknown: try again
	case stored.Revision == 0 && deleted:
		return true, nil
	case stored.Revision == 0:
		return true, &NotHeldError{Key: h.key, Reason: "swept"}
	}
	row, err := decodeRow(h.key, stored.Value)
	if err != nil {
		return true, err
	}
	switch {
	case !deleted && row.State == stateCompleted && row.sameOwner(&h.row):
		return true, nil
	case deleted && !row.sameOwner(&h.row):
		return true, nil // deleted, and claimed by a later call
	}
	return true, &NotHeldError{Key: h.key, Reason: "changed by another owner"}
}
