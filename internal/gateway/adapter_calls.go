package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

// adapterCallTimeout bounds the call to load an adapter.
const adapterCallTimeout = 900 * time.Millisecond

// adapterCallGroup merges concurrent calls for the same adapter into one.
type adapterCallGroup struct {
	mu      sync.Mutex
	pending map[adapterKey]*pendingAdapterCall
}

type adapterKey struct {
	coordinator.ModelKey
	adapter string
}

type pendingAdapterCall struct {
	done  chan struct{}
	reply *coordinator.AdapterReply
	err   error
}

// loadAdapter asks the coordinator to load an adapter, sharing the call with other
// requests for the same adapter.
func (e *exchanger) loadAdapter(ctx context.Context, key coordinator.ModelKey, adapter string) (*coordinator.AdapterReply, error) {
	id := adapterKey{key, adapter}
	e.adapterCalls.mu.Lock()
	if e.adapterCalls.pending == nil {
		e.adapterCalls.pending = map[adapterKey]*pendingAdapterCall{}
	}
	pending := e.adapterCalls.pending[id]
	if pending == nil {
		pending = &pendingAdapterCall{done: make(chan struct{})}
		e.adapterCalls.pending[id] = pending
		go e.callAdapter(id, pending)
	}
	e.adapterCalls.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-pending.done:
		return pending.reply, pending.err
	}
}

func (e *exchanger) callAdapter(id adapterKey, pending *pendingAdapterCall) {
	ctx, cancel := context.WithTimeout(context.Background(), adapterCallTimeout)
	defer cancel()
	request := &coordinator.AdapterRequest{Host: e.settings.Host, ModelKey: id.ModelKey, Adapter: id.adapter}
	pending.err = confine.Call("loading an adapter", func() (err error) {
		pending.reply, err = e.adapterCall(ctx, request)
		return err
	})
	if pending.err == nil && pending.reply.Upstream != "" {
		clock.Sleep(ctx, time.Duration(pending.reply.ReadyInMS)*time.Millisecond)
		e.registry.RecordAdapter(pending.reply.Upstream, id.Model, id.adapter)
	}
	e.adapterCalls.mu.Lock()
	delete(e.adapterCalls.pending, id)
	e.adapterCalls.mu.Unlock()
	close(pending.done)
}

// adapterCall asks the coordinator, which may be this host.
func (e *exchanger) adapterCall(ctx context.Context, request *coordinator.AdapterRequest) (*coordinator.AdapterReply, error) {
	record := e.elector.Coordinator()
	if record.Holder == e.settings.Host {
		return e.Adapter(ctx, request), nil
	}
	return e.client.Adapter(ctx, record.Address, request)
}
