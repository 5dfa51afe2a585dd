// Package gateway runs gateway hosts against stand-ins of the users' platform
// and checks what callers and workers really see.
package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/arbutusbank/arbutusbank/internal/gateway"
	"github.com/arbutusbank/arbutusbank/platform"
	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

const (
	readyBound = 5 * time.Second
	// keyBound is the bound of the confirmation of keys in these tests.
	keyBound = 1500 * time.Millisecond
	testKey  = "key-of-curators"
)

// rig is a fleet of hosts with a store and workers.
type rig struct {
	t       *testing.T
	store   *platformtest.Store
	hosts   []*runningHost
	engine  *platformtest.Worker
	ledgers []*platformtest.Worker
	version int
	// loopback is this rig's own address.
	loopback string
}

type runningHost struct {
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

// rigs numbers the rigs of this process.
var rigs atomic.Int32

// loopbackOf returns a loopback address that no other rig uses. Outgoing
// connections leave from 127.0.0.1, so none of them takes a port there between
// its choice and its use.
func loopbackOf(rig int32) string {
	pid := os.Getpid()
	return net.IPv4(127, byte(128+rig%100), byte(pid>>8), byte(max(1, pid&255))).String()
}

// freeAddress returns an address that is free at the rig's loopback address.
func (r *rig) freeAddress() string {
	t := r.t
	t.Helper()
	listener, err := net.Listen("tcp", r.loopback+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newRig starts a store with a configuration, an engine with model m1 of the
// models m1 to m6, two ledgers, and hosts.
func newRig(t *testing.T, hosts int) *rig {
	t.Helper()
	t.Parallel()
	r := &rig{t: t, store: platformtest.NewStore(), loopback: loopbackOf(rigs.Add(1))}
	t.Cleanup(r.store.Close)
	r.engine = platformtest.NewWorker("engine-1", "llm", "m1")
	r.ledgers = []*platformtest.Worker{
		platformtest.NewWorker("ledger-1", "ledger"), platformtest.NewWorker("ledger-2", "ledger"),
	}
	for _, w := range append(r.ledgers, r.engine) {
		t.Cleanup(w.Close)
		r.store.Set("servers", w.ID, w.Entry("ready"))
	}
	r.configure(testKey)
	for i := range hosts {
		r.start(fmt.Sprintf("host-%d", i))
	}
	r.awaitReady()
	return r
}

// configure writes the next version with the given keys.
func (r *rig) configure(keys ...string) {
	r.version++
	route := func(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "seed.example", "prefix": prefix, "kind": kind, "timeoutMs": 4000, "sloMs": 500, "priority": 1,
			"service": service, "attempts": attempts, "public": false, "resumable": resumable, "gapTargetMs": 250,
		}
	}
	models := []map[string]any{}
	for i := 1; i <= 6; i++ {
		models = append(models, map[string]any{
			"name": fmt.Sprintf("m%d", i), "weightsMb": 30000, "loadS": 0.1, "adapters": 3, "adapterMb": 40, "warmS": 0.05, "diskS": 0.05,
		})
	}
	r.store.Set("op", "config", map[string]any{
		"version": r.version,
		"routes": []any{
			route("chat", "/chat/", "streaming", "llm", 1, false),
			route("review", "/review/", "streaming", "llm", 2, true),
			route("withdraw", "/withdraw/", "unsafe", "ledger", 1, false),
			route("lookup", "/lookup/", "safe", "ledger", 2, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "maxConns": 100, "engine": map[string]any{
				"slots": 8, "kvCapacity": 90000, "models": models, "weightsMb": 200000, "adapterSlots": 4, "loadsPerS": 6,
			}},
			map[string]any{"name": "ledger", "maxConns": 100},
		},
		"limits": map[string]any{"bodyBytes": 4096},
		"tenants": []any{map[string]any{
			"name": "curators", "apiKeys": keys, "priority": 1, "unit": "token_stream", "plainTokens": 100, "perS": 40000, "burst": 40000,
		}},
	})
}

func (r *rig) start(name string) *runningHost {
	r.t.Helper()
	s := gateway.DefaultSettings()
	s.Host, s.DataCenter = name, "z1"
	s.Listen, s.ReadyListen, s.PeerListen = r.freeAddress(), r.freeAddress(), r.freeAddress()
	s.Platform = r.store.Address()
	s.ShutdownTimeoutS = 4
	s.KeyConfirmationMS = float64(keyBound.Milliseconds())
	store := platform.NewStore(s.Platform)
	ctx, stop := context.WithCancel(context.Background())
	h := &runningHost{settings: s, stop: stop, done: make(chan error, 1)}
	h.Gateway = gateway.New(gateway.Options{
		Settings: s, Log: testLogger().WithName(name), Reader: store, Committer: store,
		ConfigTable: platform.OperatorTable, UpstreamTable: platform.WorkerTable,
		DecodeConfig: platform.DecodeConfig, DecodeUpstream: platform.DecodeUpstream,
		Protocol: platform.Protocol{}, Engines: platform.NewWorkerClient(), ReadyPath: platform.ReadyPath,
	})
	go func() {
		err := h.Run(ctx)
		if err != nil {
			r.t.Errorf("host %s ended: %v", name, err)
		}
		h.done <- err
	}()
	r.hosts = append(r.hosts, h)
	r.t.Cleanup(func() {
		for _, other := range r.hosts {
			other.stop() // all at once: each takes a moment
		}
		select {
		case <-h.done:
		case <-time.After(10 * time.Second):
			r.t.Errorf("host %s does not end", name)
		}
	})
	return h
}

// awaitReady waits until all hosts are ready and know the upstreams.
func (r *rig) awaitReady() {
	r.t.Helper()
	r.await("hosts ready", func() bool {
		for _, h := range r.hosts {
			if state := h.State(); !state.Ready || state.Upstreams < 3 || !state.CoordinatorReached {
				return false
			}
		}
		return true
	})
}

func (r *rig) await(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(readyBound)
	for !condition() {
		if time.Now().After(deadline) {
			r.t.Fatalf("not within %v: %s", readyBound, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	broken bool // the answer ended early
	took   time.Duration
}

// call sends a request with headers given as name and value in turn.
func (r *rig) call(host int, method, path, id, body string, headers ...string) reply {
	r.t.Helper()
	request, err := http.NewRequest(method, "http://"+r.hosts[host].settings.Listen+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	request.Host = "seed.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	begun := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{broken: true, took: time.Since(begun)}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, header: response.Header, body: string(data), broken: err != nil, took: time.Since(begun),
	}
}

func (r *rig) chat(host int, path, id, model string, headers ...string) reply {
	r.t.Helper()
	headers = append([]string{"Model", model, "Token-Count", "100,20", "Prompt-Prefix", "a1:50,b2:50"}, headers...)
	return r.call(host, http.MethodPost, path, id, "prompt", headers...)
}

func (r *rig) runs(id string) int {
	runs := r.engine.Runs(id)
	for _, w := range r.ledgers {
		runs += w.Runs(id)
	}
	return runs
}
