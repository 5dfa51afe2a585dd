package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
	"github.com/arbutusbank/arbutusbank/internal/host"
	"github.com/arbutusbank/arbutusbank/internal/settings"
)

const (
	settleTime     = 3 * time.Second // for the first polls and the adoption of weights that engines have loaded
	measureTime    = 4 * time.Second
	changesPerSize = 10 // configuration changes per fleet size
	changeInterval = 200 * time.Millisecond
)

// testFleet is a number of complete hosts that run in this process.
type testFleet struct {
	hosts     []*host.Host
	upstreams *upstreams
	stop      context.CancelFunc
	running   conc.WaitGroup
}

func startFleet(b *testing.B, s shape, engines int) *testFleet {
	b.Helper()
	f := &testFleet{upstreams: startUpstreams(b, engines)}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	doc := s.document()
	for i := range s.hosts {
		entry, err := host.New(f.options(i, doc))
		if err != nil {
			b.Fatal(err)
		}
		f.hosts = append(f.hosts, entry)
		f.running.Go(func() {
			if err := entry.Run(ctx); err != nil {
				b.Error(err)
			}
		})
	}
	f.awaitReady(b)
	return f
}

func (f *testFleet) options(i int, doc *config.Document) host.Options {
	s := settings.Default()
	s.Host, s.DataCenter = hostName(i), dataCenterName(i)
	s.Listen, s.PeerListen, s.Platform = loopbackAddress(i, callerPort), loopbackAddress(i, peerPort), f.upstreams.Platform
	options := host.Options{Settings: s, Credential: "credential", Logger: logr.Discard()}
	if i == 0 {
		options.Bootstrap = doc
	}
	return options
}

func (f *testFleet) awaitReady(b *testing.B) {
	b.Helper()
	const limit = 30 * time.Second
	for start := time.Now(); time.Since(start) < limit; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			if h.Ready() {
				ready++
			}
		}
		if ready == len(f.hosts) {
			return
		}
	}
	b.Fatal("hosts are not ready within 30 s")
}

func (f *testFleet) close(b *testing.B) {
	b.Helper()
	f.stop()
	f.running.Wait()
	f.upstreams.stop(b)
}

// measureIdle adds the idle cost per host to a series.
func (f *testFleet) measureIdle(b *testing.B, s *series, size float64, heapBefore float64) {
	b.Helper()
	hosts := float64(len(f.hosts))
	time.Sleep(settleTime)
	s.add("heap bytes per host", size, (liveHeap()-heapBefore)/hosts)
	before, cpu, start := f.upstreams.counts(b), cpuTime(b), time.Now()
	time.Sleep(measureTime)
	elapsed := time.Since(start).Seconds()
	cpuUsed, after := cpuTime(b)-cpu, f.upstreams.counts(b)
	s.add("CPU percent of a core per host", size, 100*cpuUsed.Seconds()/elapsed/hosts)
	s.add("table reads/s of the fleet", size, float64(after.Reads-before.Reads)/elapsed)
	s.add("table commits/s of the fleet", size, float64(after.Commits-before.Commits)/elapsed)
	s.add("host list reads/s of the fleet", size, float64(after.ListReads-before.ListReads)/elapsed)
	s.add("platform bytes/s per host", size, float64(after.PlatformBytes-before.PlatformBytes)/elapsed/hosts)
	s.add("engine bytes/s per host", size, float64(after.EngineBytes-before.EngineBytes)/elapsed/hosts)
	s.add("reports/s of the fleet", size, float64(after.Reports-before.Reports)/elapsed)
}

// submit sends a patch to the first host's administration API and returns the
// version that it creates.
func (f *testFleet) submit(b *testing.B, base uint64, n int) uint64 {
	b.Helper()
	body, err := json.Marshal(map[string]any{
		"base_version": base, "submission_id": fmt.Sprintf("change-%d", n), "reason": "capacity",
		"patch": json.RawMessage(fmt.Sprintf(`[{"op":"replace","path":"/models/model-1/version","value":"%d"}]`, n+2)),
	})
	if err != nil {
		b.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+loopbackAddress(0, callerPort)+"/admin/v1/patches", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+configtest.OperatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		b.Fatal("patch: ", response.Status)
	}
	return base + 1
}

// measureChanges measures the time from the submission of a change until it is
// in force at every host.
func (f *testFleet) measureChanges(b *testing.B, s *series, size float64) {
	b.Helper()
	var slowest time.Duration
	before := f.upstreams.counts(b)
	cpu := cpuTime(b)
	for n := range changesPerSize {
		start := time.Now()
		version := f.submit(b, uint64(n), n)
		slowest = max(slowest, f.awaitVersion(b, version, start))
		time.Sleep(changeInterval)
	}
	cpuUsed, after := cpuTime(b)-cpu, f.upstreams.counts(b)
	s.add("slowest change in force everywhere, s", size, slowest.Seconds())
	s.add("CPU per change and host with status queries, ms", size, 1000*cpuUsed.Seconds()/changesPerSize/float64(len(f.hosts)))
	s.add("commits per change", size, float64(after.Commits-before.Commits)/changesPerSize)
}

// awaitVersion polls the first host for the status of all hosts until the version
// is in force at each, and returns the time since start.
func (f *testFleet) awaitVersion(b *testing.B, version uint64, start time.Time) time.Duration {
	b.Helper()
	const limit = 10 * time.Second
	for time.Since(start) < limit {
		var last time.Time
		behind := 0
		for _, status := range f.hosts[0].Status(context.Background()) {
			if status.Version < version {
				behind++
			}
			if status.Since.After(last) {
				last = status.Since
			}
		}
		if behind == 0 {
			return last.Sub(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Error("a version is not in force at every host within 10 s")
	return limit
}

// BenchmarkHosts measures complete idle hosts without engines: heartbeats, polls,
// loading, slots and sweeps, and then configuration changes.
func BenchmarkHosts(b *testing.B) {
	s := newSeries("hosts", "host", growthHosts)
	s.fitFrom = 32
	for range b.N {
		for _, size := range []int{8, 32, 64, 128, 256} {
			heap := liveHeap()
			fleet := startFleet(b, currentShape(size), 0)
			fleet.measureIdle(b, s, float64(size), heap)
			fleet.measureChanges(b, s, float64(size))
			fleet.close(b)
		}
	}
	s.print()
}

// BenchmarkEngines measures eight idle hosts with increasing numbers of engines.
func BenchmarkEngines(b *testing.B) {
	const hosts = 8
	s := newSeries("engines", "engine", growthEngines)
	for range b.N {
		for _, size := range []int{18, 72, 144, 288} {
			heap := liveHeap()
			fleet := startFleet(b, currentShape(hosts), size)
			fleet.measureIdle(b, s, float64(size), heap)
			fleet.close(b)
		}
	}
	s.print()
}
