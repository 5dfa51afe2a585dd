package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	standinplatform "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// enginesVariable is the environment variable that makes the test binary serve
// the platform stand-in and the given number of engines. They run in a child
// process so that their CPU time is not counted with that of the hosts.
const enginesVariable = "ARBUTUSBANK_CAPACITY_ENGINES"

func TestMain(m *testing.M) {
	if engines := os.Getenv(enginesVariable); engines != "" {
		serveUpstreams(engines)
		return
	}
	os.Exit(m.Run())
}

// upstreamAddresses is printed by the child process on its standard output.
type upstreamAddresses struct {
	Platform string   `json:"platform"`
	Engines  []string `json:"engines"`
}

// upstreamCounts holds the counters of the child process.
type upstreamCounts struct {
	standinplatform.Stats
	ListReads     uint64 `json:"list_reads"`
	Reports       uint64 `json:"reports"`
	CacheReads    uint64 `json:"cache_reads"`
	PlatformBytes int64  `json:"platform_bytes"`
	EngineBytes   int64  `json:"engine_bytes"`
}

// upstreams is a running child process.
type upstreams struct {
	upstreamAddresses
	command *exec.Cmd
	stdin   io.Closer
}

func startUpstreams(b *testing.B, engines int) *upstreams {
	b.Helper()
	u := &upstreams{command: exec.Command(os.Args[0])}
	u.command.Env = append(os.Environ(), enginesVariable+"="+strconv.Itoa(engines))
	u.command.Stderr = os.Stderr
	stdin, err := u.command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	u.stdin = stdin
	stdout, err := u.command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := u.command.Start(); err != nil {
		b.Fatal(err)
	}
	if err := json.NewDecoder(stdout).Decode(&u.upstreamAddresses); err != nil {
		b.Fatal(err)
	}
	return u
}

// stop ends the child process, which serves until its standard input closes.
func (u *upstreams) stop(b *testing.B) {
	b.Helper()
	_ = u.stdin.Close()
	if err := u.command.Wait(); err != nil {
		b.Error(err)
	}
}

func (u *upstreams) counts(b *testing.B) upstreamCounts {
	b.Helper()
	response, err := http.Get("http://" + u.Platform + "/count")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var counts upstreamCounts
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		b.Fatal(err)
	}
	return counts
}

// fakeEngines serves the reports of engines with one model, one adapter and two
// running requests each.
type fakeEngines struct {
	reports, cacheReads atomic.Uint64
	bytes               counters
	models, adapters    int
}

func (f *fakeEngines) handler(index int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/report", func(w http.ResponseWriter, _ *http.Request) {
		f.reports.Add(1)
		_ = json.NewEncoder(w).Encode(fakeReport(index, f.models, f.adapters)) // fails only if the client has disconnected
	})
	mux.HandleFunc("GET /control/cache-events", func(w http.ResponseWriter, _ *http.Request) {
		f.cacheReads.Add(1)
		_ = json.NewEncoder(w).Encode(engine.CacheEvents{Events: []engine.CacheEvent{}})
	})
	return mux
}

// fakeReport returns the report of one engine.
func fakeReport(index, models, adapters int) *engine.Report {
	model, adapter := fmt.Sprintf("model-%d", index%models), fmt.Sprintf("adapter-%d", index%adapters)
	return &engine.Report{
		BootID: "boot-" + strconv.Itoa(index), TimeMS: time.Now().UnixMilli(), MemoryBytes: 80e9, MemoryUsedBytes: 9e9,
		Resident: []engine.Resident{
			{Model: model, Version: "1", State: engine.ResidentLoaded, Bytes: 8e9},
			{Model: baseModelName(index%adapters, models), Adapter: adapter, Version: "1", State: engine.ResidentLoaded, Bytes: 5e7},
		},
		Disk:     []string{model},
		Running:  []engine.Running{{RequestID: "h1-0000000001", Tokens: 100}, {RequestID: "h2-0000000002", Tokens: 7}},
		MaxBatch: 8,
	}
}

func baseModelName(adapter, models int) string { return fmt.Sprintf("model-%d", adapter%models) }

func serveUpstreams(engines string) {
	count, err := strconv.Atoi(engines)
	if err != nil {
		panic(err)
	}
	fakes := &fakeEngines{models: documentModels, adapters: documentModels}
	var addresses upstreamAddresses
	var hosts []platform.HostEntry
	for i := range count {
		address := serveCounted(fakes.handler(i), &fakes.bytes)
		addresses.Engines = append(addresses.Engines, address)
		hosts = append(hosts, platform.HostEntry{
			Address: address, Kind: platform.KindEngine, Service: "assistant",
			DataCenter: dataCenterName(i), State: platform.StateLive,
		})
	}
	server := standinplatform.New(1)
	server.SetHosts(hosts)
	addresses.Platform = servePlatform(server, fakes)
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		panic(err)
	}
	_, _ = io.Copy(io.Discard, os.Stdin) // until the parent closes it
}

func servePlatform(server *standinplatform.Server, fakes *fakeEngines) string {
	var bytes counters
	var listReads atomic.Uint64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		listReads.Add(1)
		server.ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /count", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(upstreamCounts{
			Stats: server.Stats(), ListReads: listReads.Load(), Reports: fakes.reports.Load(),
			CacheReads: fakes.cacheReads.Load(), PlatformBytes: bytes.total(), EngineBytes: fakes.bytes.total(),
		})
	})
	mux.Handle("/", server)
	return serveCounted(mux, &bytes)
}

func serveCounted(handler http.Handler, bytes *counters) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(countingListener{listener, bytes}, handler) }() // ends with the process
	return listener.Addr().String()
}
