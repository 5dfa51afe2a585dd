package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

const (
	// unendingTime is how long callers send requests to upstreams that answer without end.
	unendingTime = 3 * time.Second
	// unendingCallers is the number of these callers.
	unendingCallers = 120
	// unendingEngines is the number of engines whose answers have no end.
	unendingEngines = 16
)

// unendingAnswers are the begins of answers, formats for the request's ID, and what follows them
// without end.
var unendingAnswers = map[string]struct{ start, repeated string }{
	"Bytes":   {"", "filler "},
	"Head":    {"HTTP/1.1 200 OK\r\nRequest-Id: %[1]s\r\nX-Request-Id: %[1]s\r\nX-Long: ", "filler "},
	"Interim": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	"Body":    {unendingHead + "\r\n", "filler "},
	"Length":  {unendingHead + "Content-Length: 1000000000000\r\n\r\n", "filler "},
	"Chunks":  {unendingHead + "Transfer-Encoding: chunked\r\n\r\n", "7\r\nfiller \r\n"},
	"Chunk":   {unendingHead + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "filler "},
	"Trailer": {unendingHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "filler "},
	"Event":   {unendingHead + "Content-Type: text/event-stream\r\n\r\ndata: ", "filler "},
	"Refusal": {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: %[1]s\r\nX-Request-Id: %[1]s\r\n\r\n", "filler "},
}

const unendingHead = "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: %[1]s\r\nX-Request-Id: %[1]s\r\n"

// answerWithoutEnd sends an answer until the host closes the connection.
func answerWithoutEnd(w http.ResponseWriter, r *http.Request, name string) {
	_, _ = io.Copy(io.Discard, r.Body) // the write fails if the host has disconnected
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	answer := unendingAnswers[name]
	start := strings.ReplaceAll(answer.start, "%[1]s", r.Header.Get("Request-Id")+r.Header.Get("X-Request-Id"))
	block := []byte(strings.Repeat(answer.repeated, 1<<10))
	_, err = io.WriteString(conn, start)
	for err == nil {
		_, err = conn.Write(block)
	}
}

// startUnending starts upstreams that answer without end, and returns their addresses. Control
// calls go to an engine if there is one. The test fails if no upstream was asked for an answer.
func startUnending(t *testing.T, name, engine string, count int) (addresses []string) {
	t.Helper()
	var asked atomic.Int64
	control := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: engine})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if engine != "" && strings.HasPrefix(r.URL.Path, "/control/") {
			control.ServeHTTP(w, r)
			return
		}
		asked.Add(1)
		answerWithoutEnd(w, r, name)
	})
	for range count {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	t.Cleanup(func() {
		if asked.Load() == 0 {
			t.Errorf("no answer was asked of the upstreams at %v", addresses)
		}
	})
	return addresses
}

// askForUnending has callers send requests until unendingTime has passed, and checks meanwhile
// and afterwards what the process takes and that other requests are served.
func (p *program) askForUnending(request func(id int) string) {
	p.t.Helper()
	end := time.Now().Add(unendingTime)
	var callers sync.WaitGroup
	for range unendingCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp", p.address)
				if err != nil {
					return
				}
				_ = conn.SetDeadline(end.Add(serveTimeout)) // a TCP connection supports it
				_, _ = io.WriteString(conn, request(int(p.requests.Add(1))))
				_, _ = io.Copy(io.Discard, conn) // whatever the answer is
				_ = conn.Close()
			}
		})
	}
	time.Sleep(unendingTime / 2)
	p.checkServed("beside answers without end", false)
	p.checkResources("beside answers without end")
	callers.Wait()
	p.checkServed("after answers without end", false)
	p.checkResources("after answers without end")
}

// Guards against upstreams that answer without end, in a head or a body, until the process runs
// out of memory and the requests of other callers end with it: requests at the gateway.
func TestAnswersWithoutEndAtGateway(t *testing.T) {
	for name := range unendingAnswers {
		t.Run(name, func(t *testing.T) {
			p := startGatewayWith(t, func(store *platformtest.Store) {
				store.Set("servers", "odd-1", map[string]any{
					"service": "odd", "address": startUnending(t, name, "", 1)[0], "zone": "z1", "version": "v1", "slots": 1000, "state": "ready",
					"coldLeftMs": 0, "models": []any{}, "seq": 1, "born": 1, "available": map[string]any{"onDisk": []string{}, "inMemory": []string{}},
				})
				store.Set("op", "config", gatewayConfig(
					gatewayRoute("odd", "/odd/", "safe"), gatewayRoute("ledger", "/", "unsafe"),
				))
			})
			p.askForUnending(func(id int) string {
				return fmt.Sprintf("POST /odd/%d HTTP/1.1\r\nHost: seed.example\r\nRequest-Id: o%d\r\nConnection: close\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n", id, id)
			})
		})
	}
}

// Guards against the same in answers to calls of control: reports of engines.
func TestReportsWithoutEndAtGateway(t *testing.T) {
	for _, name := range []string{"Head", "Body", "Chunks"} {
		t.Run(name, func(t *testing.T) {
			p := startGatewayWith(t, func(store *platformtest.Store) {
				address := startUnending(t, name, "", 1)[0]
				for i := range unendingEngines {
					store.Set("servers", fmt.Sprintf("odd-%d", i), map[string]any{
						"service": "odd", "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
						"coldLeftMs": 0, "models": []any{}, "seq": 1, "born": 1, "available": map[string]any{"onDisk": []string{}, "inMemory": []string{}},
					})
				}
				config := gatewayConfig(gatewayRoute("odd", "/odd/", "streaming"), gatewayRoute("ledger", "/", "unsafe"))
				models := []map[string]any{{"name": "m1", "weightsMb": 30000, "loadS": 0.1, "adapters": 0, "adapterMb": 40, "warmS": 0.05, "diskS": 0.05}}
				config["services"].([]any)[0].(map[string]any)["engine"] = map[string]any{
					"slots": 8, "kvCapacity": 90000, "models": models, "weightsMb": 200000, "adapterSlots": 4, "loadsPerS": 6,
				}
				store.Set("op", "config", config)
			})
			p.askForUnending(func(id int) string {
				return fmt.Sprintf("POST /odd/%d HTTP/1.1\r\nHost: seed.example\r\nRequest-Id: o%d\r\nModel: m1\r\nToken-Count: 100,20\r\nConnection: close\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n", id, id)
			})
		})
	}
}

func gatewayRoute(service, prefix, kind string) map[string]any {
	return map[string]any{
		"name": service, "host": "seed.example", "prefix": prefix, "kind": kind, "timeoutMs": 60000, "sloMs": 500, "service": service,
		"attempts": 1, "public": true, "priority": 1,
	}
}

// gatewayConfig is a configuration with routes to services of the same names.
func gatewayConfig(routes ...map[string]any) map[string]any {
	var all, services []any
	for _, route := range routes {
		all = append(all, route)
		services = append(services, map[string]any{"name": route["service"], "maxConns": 2000})
	}
	return map[string]any{
		"version": 2, "routes": all, "services": services,
		"limits": map[string]any{"bodyBytes": bodyLimit, "headerBytes": 64 << 10, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	}
}

// Guards against the same at the other program: inference calls, calls of a plain worker, and
// reports.
func TestAnswersWithoutEndAtServe(t *testing.T) {
	for name := range unendingAnswers {
		t.Run(name, func(t *testing.T) { testServeWithoutEnd(t, name, true) })
	}
	for _, name := range []string{"Head", "Body", "Chunks"} {
		t.Run("Reports/"+name, func(t *testing.T) { testServeWithoutEnd(t, name, false) })
	}
}

func testServeWithoutEnd(t *testing.T, name string, soundReports bool) {
	p, f := startServeInFleet(t)
	shape := deployment.SeedOffice()
	entry := func(address, kind, service, state string) platform.HostEntry {
		return platform.HostEntry{Address: address, Kind: kind, Service: service, DataCenter: shape.DataCenters[0], State: state}
	}
	engine := f.Engines[0].Address()
	list := []platform.HostEntry{
		entry(f.Services[0].Address(), platform.KindService, shape.PlainService, platform.StateLive),
		entry(startUnending(t, name, "", 1)[0], platform.KindService, shape.PlainService, platform.StateLive),
		entry(engine, platform.KindEngine, shape.EngineService, platform.StateLeaving),
		entry(p.address, platform.KindEntry, "", platform.StateLive),
	}
	control := ""
	if soundReports {
		control = engine
	}
	for _, address := range startUnending(t, name, control, unendingEngines) {
		list = append(list, entry(address, platform.KindEngine, shape.EngineService, platform.StateLive))
	}
	f.Platform.SetHosts(list)
	time.Sleep(hostListTime)
	population := f.Population()
	key, model := population.Workspaces["curators"].Key, population.Models[0]
	p.askForUnending(func(id int) string {
		if id%2 == 0 {
			return p.nextHead(false) + "Connection: close\r\nContent-Length: 0\r\n\r\n"
		}
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":4,"messages":[{"role":"user","content":"%d"}]}`, model, id)
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			key, len(body), body)
	})
}

// hostListTime is the time in which hosts follow a changed host list.
const hostListTime = 3 * time.Second
