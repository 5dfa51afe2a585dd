package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// rawUpstream is an upstream whose answers are bytes of the test's choice.
type rawUpstream struct {
	t       *testing.T
	address string
	answer  func(conn net.Conn, request *http.Request)
	// early makes it answer before it has read the body, and once on each connection.
	early atomic.Bool
	// engine is the address of the engine to which control calls are forwarded.
	engine string
	runs   atomic.Int64
}

func newRawUpstream(t *testing.T, engine string, answer func(net.Conn, *http.Request)) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &rawUpstream{t: t, address: listener.Addr().String(), engine: engine, answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test ends
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *rawUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // the host disconnected
		}
		if strings.HasPrefix(request.URL.Path, "/control/") {
			if u.forward(conn, request) != nil {
				return
			}
			continue
		}
		u.runs.Add(1)
		if u.early.Load() {
			u.answer(conn, request)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		u.answer(conn, request)
	}
}

// forward has the engine answer a control call.
func (u *rawUpstream) forward(conn net.Conn, request *http.Request) error {
	request.URL.Scheme, request.URL.Host = "http", u.engine
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return response.Write(conn)
}

// rawFleet is one host with an engine and a worker of the plain service.
type rawFleet struct {
	t       *testing.T
	fleet   *fleet.Fleet
	engine  *rawUpstream
	worker  *rawUpstream
	address string
	key     string
	model   string
}

// startRawFleet starts a host whose upstreams, the engine and the worker, give an answer.
func startRawFleet(t *testing.T, answer func(net.Conn, *http.Request)) *rawFleet {
	t.Helper()
	f := startFleet(t, func(options *fleet.Options) {
		shape := &options.Shape
		shape.Hosts, shape.Engines, shape.Models, shape.Adapters, shape.PlainInstances = 1, 1, 1, 0, 1
		shape.DataCenters = shape.DataCenters[:1]
	})
	population := f.Population()
	raw := &rawFleet{
		t: t, fleet: f, engine: newRawUpstream(t, f.Engines[0].Address(), answer), worker: newRawUpstream(t, "", answer),
		address: population.Hosts[0], key: population.Workspaces["curators"].Key, model: population.Models[0],
	}
	shape := deployment.SeedOffice()
	entry := func(address, kind, service, state string) platform.HostEntry {
		return platform.HostEntry{Address: address, Kind: kind, Service: service, DataCenter: shape.DataCenters[0], State: state}
	}
	f.Platform.SetHosts([]platform.HostEntry{
		entry(raw.engine.address, platform.KindEngine, shape.EngineService, platform.StateLive),
		entry(f.Engines[0].Address(), platform.KindEngine, shape.EngineService, platform.StateLeaving),
		entry(raw.worker.address, platform.KindService, shape.PlainService, platform.StateLive),
		entry(f.Services[0].Address(), platform.KindService, shape.PlainService, platform.StateLeaving),
		entry(raw.address, platform.KindEntry, "", platform.StateLive),
	})
	time.Sleep(hostListTime)
	return raw
}

// hostListTime is the time in which hosts follow a changed host list.
const hostListTime = 3 * time.Second

// patch changes a value of the first version of the configuration.
func (f *rawFleet) patch(path string, value any) {
	f.t.Helper()
	patch := map[string]any{
		"base_version": 0, "submission_id": "test", "reason": "test",
		"patch": []any{map[string]any{"op": "replace", "path": path, "value": value}},
	}
	body, err := json.Marshal(patch)
	if err != nil {
		f.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.address+"/admin/v1/patches", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	operator := f.fleet.Deployment.Shape.Operators[0]
	request.Header.Set("Authorization", "Bearer "+f.fleet.Deployment.OperatorKeys[operator])
	if got := send(f.t, request); got.status >= http.StatusMultipleChoices {
		f.t.Fatalf("status %d, body %s", got.status, got.body)
	}
}

// withdraw sends a call that must run once.
func (f *rawFleet) withdraw(body string) result {
	f.t.Helper()
	return f.send(http.MethodPost, "/services/drawer-ledger/withdrawals", body)
}

func (f *rawFleet) send(method, path, body string) result {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+f.address+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.key)
	request.Header.Set("X-Deadline-Ms", "3000")
	return send(f.t, request)
}
