package presence

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lookInterval is the interval at which the connections of requests in progress are
// looked at: with the time to cancel the work it stays below half a second.
const lookInterval = 200 * time.Millisecond

// Watcher ends the contexts of requests whose callers have left. It is safe for
// concurrent use. The server's ConnContext must be that of this package.
type Watcher struct {
	mu       sync.Mutex
	requests map[*request]struct{}
	timer    *time.Timer // runs while there are requests
}

// NewWatcher returns a Watcher without requests.
func NewWatcher() *Watcher {
	w := &Watcher{requests: map[*request]struct{}{}}
	w.timer = time.AfterFunc(lookInterval, w.look)
	w.timer.Stop()
	return w
}

// Handler returns a handler that watches the callers of the requests that next serves.
func (w *Watcher) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		raw, ok := r.Context().Value(connectionKey{}).(syscall.RawConn)
		if !ok {
			next.ServeHTTP(writer, r)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		watched := &request{raw: raw, cancel: cancel}
		w.add(watched)
		defer w.remove(watched)
		next.ServeHTTP(writer, r.WithContext(context.WithValue(ctx, requestKey{}, watched)))
	})
}

func (w *Watcher) add(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.requests) == 0 {
		w.timer.Reset(lookInterval)
	}
	w.requests[r] = struct{}{}
}

func (w *Watcher) remove(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, r)
}

// look looks at the connections of all requests in progress.
func (w *Watcher) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r := range w.requests {
		r.look()
	}
	if len(w.requests) > 0 {
		w.timer.Reset(lookInterval)
	}
}
