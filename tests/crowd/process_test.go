// Package crowd starts the built program with lowered limits and sends it crowds of callers
// that fill memory and descriptors. It checks only what does not depend on the machine's
// speed: that the process lives, what it takes, and that ordinary requests are served.
package crowd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/platform"
	"github.com/arbutusbank/arbutusbank/platform/platformtest"
	"github.com/arbutusbank/arbutusbank/tests/testbinary"
)

const (
	memoryMB       = 64
	maxDescriptors = 600
	bodyLimit      = 1 << 20
	// largeResponse is the size of the gateway's large responses; those of the other program
	// echo a body.
	largeResponse = 8<<20 - 1000
	startTimeout  = 30 * time.Second
	// serveTimeout ends a test whose ordinary request is refused again and again.
	serveTimeout = time.Minute
)

// binary is the path of the program, which TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(testbinary.Run(m, &binary)) }

// program is a running process of the product.
type program struct {
	t       *testing.T
	command *exec.Cmd
	ended   chan struct{}
	address string
	// head returns the request line and the header fields of a request, without the last line
	// break; a large one has a response of at least bodyLimit bytes.
	head func(id int, large bool) string
	// largeBody is the size of the body that makes the response large.
	largeBody int
	requests  atomic.Int64 // sent
}

// Kill and Shutdown implement fleet.RunningHost.
func (p *program) Kill() {
	_ = p.command.Process.Kill() // fails only if the process has ended
	<-p.ended
}

func (p *program) Shutdown(context.Context) error { p.Kill(); return nil }

// start starts a command of the program with a settings file.
func (p *program) start(command string, settings any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(p.t.TempDir(), "host.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	p.command, p.ended = exec.Command(binary, command, file), make(chan struct{})
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if os.Getenv("ARBUTUSBANK_TEST_LOG") != "" {
		p.command.Stderr = os.Stderr
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		defer close(p.ended)
		_ = p.command.Wait() // the tests look whether it has ended
	}()
	return nil
}

// startGateway starts a gateway host with a store and a worker that it can use.
func startGateway(t *testing.T) *program {
	t.Helper()
	return startGatewayWith(t, func(*platformtest.Store) {})
}

// startGatewayWith is startGateway with more in the store.
func startGatewayWith(t *testing.T, add func(*platformtest.Store)) *program {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	worker := httptest.NewServer(http.HandlerFunc(serveWorker))
	t.Cleanup(worker.Close)
	store.Set("servers", "ledger-1", map[string]any{
		"service": "ledger", "address": strings.TrimPrefix(worker.URL, "http://"), "zone": "z1", "version": "v1", "slots": 1000, "state": "ready",
		"coldLeftMs": 0, "models": []any{}, "seq": 1, "born": 1, "available": map[string]any{"onDisk": []string{}, "inMemory": []string{}},
	})
	store.Set("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "ledger", "host": "seed.example", "prefix": "/", "kind": "unsafe", "timeoutMs": 60000, "sloMs": 500, "service": "ledger", "attempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "ledger", "maxConns": 2000}},
		"limits":   map[string]any{"bodyBytes": bodyLimit, "headerBytes": 64 << 10, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	})
	add(store)
	p := &program{t: t, address: freeAddress(t)}
	p.head = func(id int, large bool) string {
		path := "/small"
		if large {
			path = "/large"
		}
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: seed.example\r\nRequest-Id: r%d\r\nDeadline-Ms: 60000\r\n", path, id)
	}
	ready := freeAddress(t)
	if err := p.start("gateway", map[string]any{
		"host": "host-1", "data_center": "z1", "listen": p.address, "ready_listen": ready, "peer_listen": freeAddress(t),
		"platform": store.Address(), "memory_mb": memoryMB, "max_descriptors": maxDescriptors,
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	deadline := time.Now().Add(startTimeout)
	for {
		response, err := http.Get("http://" + ready + platform.ReadyPath)
		if err == nil {
			_ = response.Body.Close() // only the status matters
			if response.StatusCode == http.StatusOK {
				return p
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("the gateway is not ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// serveWorker answers requests like a worker of a plain service.
func serveWorker(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the gateway has disconnected
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Instance-Id", "ledger-1")
	w.Header().Set("Response-Signature", "sig.ledger-1")
	size := 16
	if r.URL.Path == "/large" {
		size = largeResponse
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	block := bytes.Repeat([]byte("x"), min(size, 64<<10))
	for ; size > 0; size -= len(block) {
		if _, err := w.Write(block[:min(size, len(block))]); err != nil {
			return // the gateway has disconnected
		}
	}
}

// startServe starts a host of the program's own interface, with a fleet around it.
func startServe(t *testing.T) *program {
	t.Helper()
	p, _ := startServeInFleet(t)
	return p
}

func startServeInFleet(t *testing.T) (*program, *fleet.Fleet) {
	t.Helper()
	p := &program{t: t, largeBody: bodyLimit - 1}
	shape := deployment.SeedOffice()
	shape.Hosts, shape.Engines, shape.Models, shape.Adapters, shape.PlainInstances = 1, 1, 1, 0, 1
	shape.DataCenters = shape.DataCenters[:1]
	for i := range shape.Workspaces {
		shape.Workspaces[i].RateTokensPerS, shape.Workspaces[i].BurstTokens = 1e9, 1e9
	}
	started, err := fleet.Start(context.Background(), fleet.Options{
		Shape: shape, Seed: 1, DiscardRuns: true,
		StartHost: func(_ context.Context, spec fleet.HostSpec) (fleet.RunningHost, error) {
			spec.Settings.MemoryMB, spec.Settings.MaxDescriptors = memoryMB, maxDescriptors
			return p, p.start("serve", spec.Settings)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Stop)
	population := started.Population()
	p.address = population.Hosts[0]
	key := population.Workspaces["curators"].Key
	p.head = func(int, bool) string {
		return "POST /services/drawer-ledger/withdrawals HTTP/1.1\r\nHost: seed.example\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer " + key + "\r\n"
	}
	return p, started
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", fleet.HostLoopback()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// nextHead returns the head of a new request.
func (p *program) nextHead(large bool) string { return p.head(int(p.requests.Add(1)), large) }

// ask sends a request on a new connection. A status of 0 means that there was no answer.
func (p *program) ask(large bool, bodyBytes int, chunked bool) (status int, length int64) {
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return 0, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(serveTimeout)) // a TCP connection supports it
	body := strings.Repeat("b", bodyBytes)
	request := p.nextHead(large) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bodyBytes, body)
	if chunked {
		request = p.nextHead(large) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bodyBytes, body)
	}
	_, _ = io.WriteString(conn, request) // a refusal may come before the end of the body
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	length, err = io.Copy(io.Discard, response.Body)
	if err != nil {
		return 0, length
	}
	return response.StatusCode, length
}

// checkServed checks that an ordinary request is served, however often it has to be sent: its
// refusals must be ones that have not run.
func (p *program) checkServed(when string, large bool) {
	p.t.Helper()
	body := 1000
	if large {
		body = max(body, p.largeBody)
	}
	for end := time.Now().Add(serveTimeout); ; time.Sleep(100 * time.Millisecond) {
		status, length := p.ask(large, body, false)
		if status == http.StatusOK && (!large || length >= bodyLimit) {
			return
		}
		if time.Now().After(end) {
			p.t.Errorf("%s: an ordinary request (large: %v) is not served, last status %d", when, large, status)
			return
		}
	}
}

// checkResources checks that the process lives and what it has taken.
func (p *program) checkResources(when string) {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Fatalf("%s: the process has ended: %v", when, p.command.ProcessState)
	default:
	}
	resident, peak := p.memoryMB("VmRSS"), p.memoryMB("VmHWM")
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Logf("%s: %d MB resident, %d MB at most, %d descriptors", when, resident, peak, len(descriptors))
	if peak > memoryMB {
		p.t.Errorf("%s: up to %d MB resident, want at most %d", when, peak, memoryMB)
	}
	if len(descriptors) > maxDescriptors {
		p.t.Errorf("%s: %d descriptors, want at most %d", when, len(descriptors), maxDescriptors)
	}
}

// memoryMB returns a figure of the process's status file in MB, rounded up.
func (p *program) memoryMB(name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == name+":" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err != nil {
				p.t.Fatal(err)
			}
			return (kilobytes + 1023) / 1024
		}
	}
	p.t.Fatalf("no %s", name)
	return 0
}
