package caller

import (
	"context"
	"sync"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// activeKey identifies a caller's key within the configuration.
type activeKey struct{ workspace, keyID string }

// ActiveRequests tracks the running requests of each key, so that they can be
// cancelled when the key is withdrawn. It is safe for concurrent use.
type ActiveRequests struct {
	mu    sync.Mutex
	byKey map[activeKey]map[*activeRequest]struct{}
}

type activeRequest struct {
	hash   string // of the key with which the request was authenticated
	cancel context.CancelCauseFunc
}

// NewActiveRequests returns an empty registry.
func NewActiveRequests() *ActiveRequests {
	return &ActiveRequests{byKey: map[activeKey]map[*activeRequest]struct{}{}}
}

// add registers a running request and returns the function that removes it.
func (a *ActiveRequests) add(id Identity, cancel context.CancelCauseFunc) func() {
	key := activeKey{workspace: id.Workspace, keyID: id.KeyID}
	request := &activeRequest{hash: id.KeyHash, cancel: cancel}
	a.mu.Lock()
	requests, ok := a.byKey[key]
	if !ok {
		requests = map[*activeRequest]struct{}{}
		a.byKey[key] = requests
	}
	requests[request] = struct{}{}
	a.mu.Unlock()
	return func() { a.remove(key, request) }
}

func (a *ActiveRequests) remove(key activeKey, request *activeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byKey[key], request)
	if len(a.byKey[key]) == 0 {
		delete(a.byKey, key)
	}
}

// Count returns the number of running requests that were authenticated with a key.
func (a *ActiveRequests) Count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, requests := range a.byKey {
		count += len(requests)
	}
	return count
}

// CancelWithdrawn cancels the running requests whose key is withdrawn, replaced or
// removed in the configuration, and returns how many it cancelled.
func (a *ActiveRequests) CancelWithdrawn(snapshot *config.Snapshot) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	cancelled := 0
	for key, requests := range a.byKey {
		for request := range requests {
			if keyValid(snapshot, key, request.hash) {
				continue
			}
			request.cancel(problem.MayHaveRun(problem.KeyWithdrawn, nil, "the key was withdrawn while the request ran"))
			cancelled++
		}
	}
	return cancelled
}

// keyValid reports whether the configuration has the key, with the same hash and not
// withdrawn.
func keyValid(snapshot *config.Snapshot, key activeKey, hash string) bool {
	ref, ok := snapshot.LookupKeyHash(hash)
	return ok && !ref.Withdrawn && ref.Workspace == key.workspace && ref.KeyID == key.keyID
}
