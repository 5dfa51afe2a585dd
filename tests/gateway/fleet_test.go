// Package gateway tests gateway hosts end to end against stand-ins for the users'
// platform, from the view of callers and workers.
package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/arbutusbank/arbutusbank/internal/gateway"
	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/platform"
	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

const (
	waitTimeout = 5 * time.Second
	// keyConfirmation is the key confirmation period of the test hosts.
	keyConfirmation = 1500 * time.Millisecond
	testKey         = "key-of-curators"
)

// testFleet is a fleet of hosts with a store and workers.
type testFleet struct {
	t     *testing.T
	store *platformtest.Store
	hosts []*testHost
	// listening are the addresses of the hosts that take callers; used by stopHost.
	listening     []string
	listeningMu   sync.Mutex
	engine        *platformtest.Worker
	ledgers       []*platformtest.Worker
	configVersion int
	models        int // number of models in the configuration
	bodyBytes     int // limit of a request's body in the configuration
	// coldPerS is the rate that cold workers of the service "ledger" take, per second; 0: they
	// are not limited.
	coldPerS float64
	// gate holds back what the hosts read from callers.
	gate *gate
	// loopback is the loopback IP of this fleet.
	loopback string
	chosen   map[string]bool // addresses that freeAddress has returned
}

type testHost struct {
	*gateway.Gateway
	settings gateway.Settings
	stop     context.CancelFunc
	done     chan error
}

func testLogger() logr.Logger {
	if os.Getenv("ARBUTUSBANK_TEST_LOG") == "" {
		return logr.Discard()
	}
	return funcr.New(func(prefix, args string) { fmt.Fprintln(os.Stderr, prefix, args) }, funcr.Options{})
}

// fleetCount counts the fleets of this process.
var fleetCount atomic.Int32

// loopbackAddress returns a loopback IP that no other fleet uses. Outgoing
// connections use 127.0.0.1, so none of them can take a port between its choice and
// its use.
func loopbackAddress(fleet int32) string {
	pid := os.Getpid()
	return net.IPv4(127, byte(128+fleet%100), byte(pid>>8), byte(max(1, pid&255))).String()
}

// freeAddress returns a free IP:port on the fleet's loopback IP that it has not returned
// before: the system may choose a port again before a host listens on it.
func (f *testFleet) freeAddress() string {
	t := f.t
	t.Helper()
	for {
		listener, err := net.Listen("tcp", f.loopback+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close() // the address is free again
		if !f.chosen[address] {
			f.chosen[address] = true
			return address
		}
	}
}

// newTestFleet starts a store with a configuration, an engine with model m1 of the
// models m1 to m6, two workers of the plain service "ledger", and hosts.
func newTestFleet(t *testing.T, hosts int) *testFleet {
	t.Helper()
	t.Parallel()
	f := &testFleet{t: t, store: platformtest.NewStore(), gate: newGate(), loopback: loopbackAddress(fleetCount.Add(1)), chosen: map[string]bool{}, models: 6, bodyBytes: 4096}
	t.Cleanup(f.store.Close)
	f.store.Set(lease.Table, lease.MarkerKey(1), struct{}{}) // hosts have held the lease before
	f.engine = platformtest.NewWorker("engine-1", "llm", "m1")
	f.ledgers = []*platformtest.Worker{
		platformtest.NewWorker("ledger-1", "ledger"), platformtest.NewWorker("ledger-2", "ledger"),
	}
	for _, w := range append(f.ledgers, f.engine) {
		t.Cleanup(w.Close)
		f.store.Set("servers", w.ID, w.Entry("ready"))
	}
	f.writeConfig(testKey)
	for i := range hosts {
		f.startHost(fmt.Sprintf("host-%d", i))
	}
	f.waitReady()
	return f
}

// writeConfig writes the next version of the configuration with the given keys.
func (f *testFleet) writeConfig(keys ...string) {
	f.configVersion++
	route := func(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "seed.example", "prefix": prefix, "kind": kind, "timeoutMs": 4000, "sloMs": 500, "priority": 1,
			"service": service, "attempts": attempts, "public": false, "resumable": resumable, "gapTargetMs": 250,
		}
	}
	patient := route("patient", "/patient/", "streaming", "llm", 1, false)
	patient["timeoutMs"], patient["sloMs"], patient["public"] = 12000, 2500, true
	models := []map[string]any{}
	for i := 1; i <= f.models; i++ {
		models = append(models, map[string]any{
			"name": fmt.Sprintf("m%d", i), "weightsMb": 30000, "loadS": 0.1, "adapters": 3, "adapterMb": 40, "warmS": 0.05, "diskS": 0.05,
		})
	}
	f.store.Set("op", "config", map[string]any{
		"version": f.configVersion,
		"routes": []any{
			route("chat", "/chat/", "streaming", "llm", 1, false),
			route("review", "/review/", "streaming", "llm", 2, true),
			patient,
			route("withdraw", "/withdraw/", "unsafe", "ledger", 1, false),
			route("lookup", "/lookup/", "safe", "ledger", 2, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "maxConns": 100, "engine": map[string]any{
				"slots": 8, "kvCapacity": 90000, "models": models, "weightsMb": 200000, "adapterSlots": 4, "loadsPerS": 6,
			}},
			map[string]any{"name": "ledger", "maxConns": 100, "coldStartS": 3, "coldPerS": f.coldPerS},
		},
		"limits": map[string]any{"bodyBytes": f.bodyBytes},
		"tenants": []any{map[string]any{
			"name": "curators", "apiKeys": keys, "priority": 1, "unit": "token_stream", "plainTokens": 100, "perS": 40000, "burst": 40000,
		}},
	})
}

func (f *testFleet) startHost(name string) *testHost {
	f.t.Helper()
	s := gateway.DefaultSettings()
	s.Host, s.DataCenter = name, "z1"
	s.Listen, s.ReadyListen, s.PeerListen = f.freeAddress(), f.freeAddress(), f.freeAddress()
	s.MetricsListen = f.freeAddress()
	s.Platform = f.store.Address()
	s.ShutdownTimeoutS = 4
	s.KeyConfirmationMS = float64(keyConfirmation.Milliseconds())
	store := platform.NewStore(s.Platform)
	ctx, stop := context.WithCancel(context.Background())
	h := &testHost{settings: s, stop: stop, done: make(chan error, 1)}
	h.Gateway = gateway.New(gateway.Options{
		Settings: s, Log: testLogger().WithName(name), Reader: store, Committer: store,
		ConfigTable: platform.OperatorTable, UpstreamTable: platform.WorkerTable,
		DecodeConfig: platform.DecodeConfig, DecodeEvacuation: platform.DecodeEvacuation, DecodeUpstream: platform.DecodeUpstream,
		Protocol: platform.Protocol{}, Engines: platform.NewWorkerClient, ReadyPath: platform.ReadyPath,
		ListenCallers: f.gate.listen,
	})
	go func() {
		err := h.Run(ctx)
		if err != nil {
			f.t.Errorf("host %s failed: %v", name, err)
		}
		h.done <- err
	}()
	f.hosts = append(f.hosts, h)
	f.listeningMu.Lock()
	f.listening = append(f.listening, s.Listen)
	f.listeningMu.Unlock()
	f.t.Cleanup(func() {
		for _, other := range f.hosts {
			other.stop() // all at once, since each shutdown takes a moment
		}
		select {
		case <-h.done:
		case <-time.After(10 * time.Second):
			f.t.Errorf("host %s did not stop within 10 s", name)
		}
	})
	return h
}

// stopHost stops the host at a position of listening, gracefully, and puts a new one there
// once it is ready.
func (f *testFleet) stopHost(position int) {
	f.listeningMu.Lock()
	address := f.listening[position]
	f.listening[position] = f.listening[1-position]
	f.listeningMu.Unlock()
	for _, h := range f.hosts {
		if h.settings.Listen == address {
			h.stop()
		}
	}
	replacement := f.startHost(fmt.Sprintf("host-%d", len(f.hosts)))
	f.waitFor("replacement ready", func() bool { return replacement.State().Ready })
	f.listeningMu.Lock()
	defer f.listeningMu.Unlock()
	f.listening = f.listening[:2]
	f.listening[position] = replacement.settings.Listen
}

// readyHost returns the address of the host at a position of listening.
func (f *testFleet) readyHost(position int) string {
	f.listeningMu.Lock()
	defer f.listeningMu.Unlock()
	return f.listening[position]
}

// waitReady waits until all hosts are ready and know the upstreams.
func (f *testFleet) waitReady() {
	f.t.Helper()
	f.waitFor("hosts ready", func() bool {
		for _, h := range f.hosts {
			if state := h.State(); !state.Ready || state.Upstreams < 3 || !state.CoordinatorReached {
				return false
			}
		}
		return true
	})
}

func (f *testFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %v: %s", waitTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

type response struct {
	status    int
	header    http.Header
	body      string
	truncated bool // the response ended early
	elapsed   time.Duration
}

// send sends a request. Headers are given as alternating names and values.
func (f *testFleet) send(host int, method, path, id, body string, headers ...string) response {
	f.t.Helper()
	return f.sendAt(f.hosts[host].settings.Listen, method, path, id, body, headers...)
}

// sendTo sends a request for model m1 to the host at an address.
func (f *testFleet) sendTo(address, path, id string, headers ...string) response {
	f.t.Helper()
	headers = append([]string{"Model", "m1", "Token-Count", "100,20"}, headers...)
	return f.sendAt(address, http.MethodPost, path, id, "prompt", headers...)
}

func (f *testFleet) sendAt(address, method, path, id, body string, headers ...string) response {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "seed.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	start := time.Now()
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{truncated: true, elapsed: time.Since(start)}
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(httpResponse.Body)
	return response{
		status: httpResponse.StatusCode, header: httpResponse.Header, body: string(data), truncated: err != nil, elapsed: time.Since(start),
	}
}

func (f *testFleet) sendModelRequest(host int, path, id, model string, headers ...string) response {
	f.t.Helper()
	headers = append([]string{"Model", model, "Token-Count", "100,20", "Prompt-Prefix", "a1:50,b2:50"}, headers...)
	return f.send(host, http.MethodPost, path, id, "prompt", headers...)
}

func (f *testFleet) runCount(id string) int {
	runs := f.engine.Runs(id)
	for _, w := range f.ledgers {
		runs += w.Runs(id)
	}
	return runs
}
