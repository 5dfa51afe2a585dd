package host

import (
	"context"
	"sync"

	"github.com/arbutusbank/arbutusbank/internal/dialer"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/service"
)

// engineClients holds one client per engine. It is safe for concurrent use.
type engineClients struct {
	addresses dialer.Map

	mu      sync.RWMutex
	clients map[string]*engine.Client
}

func newEngineClients(addresses dialer.Map) *engineClients {
	return &engineClients{addresses: addresses, clients: map[string]*engine.Client{}}
}

// client returns the client of an engine, creating it if needed.
func (e *engineClients) client(address string) *engine.Client {
	e.mu.RLock()
	client, ok := e.clients[address]
	e.mu.RUnlock()
	if ok {
		return client
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if client, ok := e.clients[address]; ok {
		return client
	}
	client = engine.NewClientWithDialAddress(address, e.addresses.Resolve(address))
	e.clients[address] = client
	return client
}

// retain closes and removes the clients of engines that are not in the set.
func (e *engineClients) retain(addresses map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, client := range e.clients {
		if !addresses[address] {
			client.Close()
			delete(e.clients, address)
		}
	}
}

// mappedTransport is a service.Transport that translates worker addresses by the
// address map.
type mappedTransport struct {
	addresses dialer.Map
	client    *service.Client
}

// Do implements service.Transport.
func (t mappedTransport) Do(ctx context.Context, address string, call *service.Call) (*service.Response, error) {
	return t.client.Do(ctx, t.addresses.Resolve(address), call)
}
