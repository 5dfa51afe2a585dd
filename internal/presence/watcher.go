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

// Watch makes a server end the contexts of requests whose callers have left, and Left work
// for them. It replaces the server's ConnContext and is called before the server serves.
func Watch(server *http.Server) {
	server.ConnContext = connContext
	server.Handler = newWatcher().handler(server.Handler)
}

// watcher looks at the connections of requests in progress. It is safe for concurrent use.
type watcher struct {
	mu       sync.Mutex
	requests map[*request]struct{}
	timer    *time.Timer // runs while there are requests
}

func newWatcher() *watcher {
	w := &watcher{requests: map[*request]struct{}{}}
	w.timer = time.AfterFunc(lookInterval, w.look)
	w.timer.Stop()
	return w
}

// handler returns a handler that watches the callers of the requests that next serves.
func (w *watcher) handler(next http.Handler) http.Handler {
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

func (w *watcher) add(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.requests) == 0 {
		w.timer.Reset(lookInterval)
	}
	w.requests[r] = struct{}{}
}

func (w *watcher) remove(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, r)
}

// look looks at the connections of all requests in progress.
func (w *watcher) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r := range w.requests {
		r.look()
	}
	if len(w.requests) > 0 {
		w.timer.Reset(lookInterval)
	}
}
