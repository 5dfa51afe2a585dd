// Package bench measures the cost of an entry host on the request path, compared
// with direct calls of the stand-in engine in the same run.
package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

const (
	callers = 64
	// hostCores limits the host's GOMAXPROCS to the cores of the throughput target.
	hostCores = 4
	// pacedInterval separates the requests of a caller in the overhead
	// measurement, so that it shows latency without queueing at full load.
	pacedInterval = 20 * time.Millisecond
)

type hostProcess struct{ command *exec.Cmd }

// Shutdown implements fleet.RunningHost.
func (p *hostProcess) Shutdown(context.Context) error { p.Kill(); return nil }

// Kill implements fleet.RunningHost.
func (p *hostProcess) Kill() {
	_ = p.command.Process.Kill() // fails only if the process has exited
	_ = p.command.Wait()         // reports that the process was killed
}

// testFleet is a fleet with one host process and one stand-in engine.
type testFleet struct {
	fleet  *fleet.Fleet
	host   string
	engine string
	key    string
	model  string
	pid    int
}

func newTestFleet(b *testing.B) *testFleet {
	b.Helper()
	directory := b.TempDir()
	binary := filepath.Join(directory, "arbutusbank")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/arbutusbank/arbutusbank/cmd/arbutusbank").CombinedOutput(); err != nil {
		b.Fatalf("build: %v: %s", err, out)
	}
	shape := deployment.SeedOffice()
	shape.Hosts, shape.Engines, shape.Models, shape.Adapters = 1, 1, 1, 0
	shape.DataCenters = shape.DataCenters[:1]
	shape.MaxBatch = 4096
	shape.TokenInterval = 0
	shape.Latency = 0
	for i := range shape.Workspaces {
		shape.Workspaces[i].RateTokensPerS, shape.Workspaces[i].BurstTokens = 1e9, 1e9
	}
	f := &testFleet{}
	started, err := fleet.Start(context.Background(), fleet.Options{
		Shape: shape, Seed: 1, DiscardRuns: true,
		StartHost: func(_ context.Context, spec fleet.HostSpec) (fleet.RunningHost, error) {
			data, err := json.Marshal(spec.Settings)
			if err != nil {
				return nil, err
			}
			file := filepath.Join(directory, spec.Settings.Host+".json")
			if err := os.WriteFile(file, data, 0o600); err != nil {
				return nil, err
			}
			command := exec.Command(binary, "serve", file)
			command.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(hostCores))
			command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := command.Start(); err != nil {
				return nil, err
			}
			f.pid = command.Process.Pid
			return &hostProcess{command: command}, nil
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(started.Stop)
	population := started.Population()
	for _, workspace := range population.Workspaces {
		f.key = workspace.Key
		break
	}
	f.fleet, f.host, f.engine, f.model = started, population.Hosts[0], started.Engines[0].Address(), population.Models[0]
	return f
}

func (f *testFleet) body() []byte {
	return fmt.Appendf(nil, `{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":"Which drawer holds lot 17? %s"}]}`,
		f.model, engine.LengthMarker(4))
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * callers, DisableCompression: true}, Timeout: 30 * time.Second}
}

// send sends one request and returns the status of its response.
func (f *testFleet) send(client *http.Client, address string, body []byte, id string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+f.key)
	request.Header.Set("X-Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// waitUntilServed sends requests until the model is loaded and one succeeds.
func (f *testFleet) waitUntilServed(b *testing.B) {
	b.Helper()
	client := newClient()
	for range 50 {
		if status, err := f.send(client, f.host, f.body(), "warm"); err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("the model was not served within 50 attempts")
}

// run sends b.N requests from all callers and returns their sorted latencies. A
// paced caller waits between requests.
func (f *testFleet) run(b *testing.B, address string, paced bool) []time.Duration {
	b.Helper()
	return f.runBody(b, address, f.body(), http.StatusOK, paced)
}

// runBody is run with a given request body and expected status.
func (f *testFleet) runBody(b *testing.B, address string, body []byte, want int, paced bool) []time.Duration {
	b.Helper()
	client := newClient()
	var next, failed atomic.Int64
	latencies := make([][]time.Duration, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			if paced {
				time.Sleep(pacedInterval * time.Duration(i) / callers)
			}
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				start := time.Now()
				status, err := f.send(client, address, body, strconv.FormatInt(n, 10))
				if err != nil || status != want {
					failed.Add(1)
				}
				elapsed := time.Since(start)
				latencies[i] = append(latencies[i], elapsed)
				if paced {
					time.Sleep(pacedInterval - min(elapsed, pacedInterval))
				}
			}
		})
	}
	group.Wait()
	if failed.Load() > 0 {
		b.Fatalf("%d of %d requests failed", failed.Load(), b.N)
	}
	all := slices.Concat(latencies...)
	slices.Sort(all)
	return all
}

func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// BenchmarkOverhead compares the latency of warm unary requests through a host
// with that of direct calls, for 64 paced callers.
func BenchmarkOverhead(b *testing.B) {
	f := newTestFleet(b)
	f.waitUntilServed(b)
	b.ResetTimer()
	direct := f.run(b, f.engine, true)
	viaHost := f.run(b, f.host, true)
	b.ReportMetric(quantile(direct, 0.5), "direct-p50-us")
	b.ReportMetric(quantile(direct, 0.99), "direct-p99-us")
	b.ReportMetric(quantile(viaHost, 0.5)-quantile(direct, 0.5), "overhead-p50-us")
	b.ReportMetric(quantile(viaHost, 0.99)-quantile(direct, 0.99), "overhead-p99-us")
}

// BenchmarkThroughput measures warm unary requests per second through one host
// on 4 cores, with 64 callers that send requests back to back.
func BenchmarkThroughput(b *testing.B) {
	f := newTestFleet(b)
	f.waitUntilServed(b)
	before := cpuSeconds(b, f.pid)
	b.ResetTimer()
	start := time.Now()
	f.run(b, f.host, false)
	total := time.Since(start).Seconds()
	used := cpuSeconds(b, f.pid) - before
	b.ReportMetric(float64(b.N)/total, "requests/s")
	b.ReportMetric(used/float64(b.N)*1e6, "host-cpu-us/request")
	b.ReportMetric(float64(b.N)/used*hostCores, "requests/s-at-4-full-cores")
}

// BenchmarkRefusal measures the host's CPU time for a request that is refused
// because its model is unknown, compared with a served unary request and a served
// stream of 64 tokens, each with 64 callers.
func BenchmarkRefusal(b *testing.B) {
	f := newTestFleet(b)
	f.waitUntilServed(b)
	b.ResetTimer()
	served := f.cpuPerRequest(b, f.body(), http.StatusOK)
	stream := f.cpuPerRequest(b, f.streamBody(), http.StatusOK)
	refused := f.cpuPerRequest(b, []byte(`{"model":"unknown","max_tokens":4,"prompt":"x","messages":[]}`), http.StatusNotFound)
	b.ReportMetric(refused*1e6, "refused-cpu-us")
	b.ReportMetric(refused/served, "refused/unary-cpu")
	b.ReportMetric(refused/stream, "refused/stream-cpu")
}

// streamBody returns the body of a request for a stream of 64 tokens.
func (f *testFleet) streamBody() []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":64,"messages":[{"role":"user","content":"%s"}]}`,
		f.model, engine.LengthMarker(64))
}

// cpuPerRequest returns the host's CPU time for one request, in seconds.
func (f *testFleet) cpuPerRequest(b *testing.B, body []byte, status int) float64 {
	b.Helper()
	before := cpuSeconds(b, f.pid)
	f.runBody(b, f.host, body, status, false)
	return (cpuSeconds(b, f.pid) - before) / float64(b.N)
}

// BenchmarkIdleMemory reports the resident memory of an idle host.
func BenchmarkIdleMemory(b *testing.B) {
	f := newTestFleet(b)
	time.Sleep(3 * time.Second)
	for range b.N {
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(kilobytes/1024, "rss-MiB")
		}
	}
}

// clockTicksPerSecond is the unit of CPU times in /proc on Linux.
const clockTicksPerSecond = 100

// cpuSeconds returns the user and system time of a process.
func cpuSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	var ticks float64
	for _, field := range fields[11:13] {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil {
			b.Fatal(err)
		}
		ticks += value
	}
	return ticks / clockTicksPerSecond
}
