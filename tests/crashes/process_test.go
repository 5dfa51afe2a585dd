// Package crashes starts the built program as separate processes, some of whose requests crash
// engines, and kills, stops, suspends and cuts off hosts meanwhile.
package crashes

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/internal/table"
	"github.com/arbutusbank/arbutusbank/platform"
	"github.com/arbutusbank/arbutusbank/platform/platformtest"
	"github.com/arbutusbank/arbutusbank/tests/testbinary"
)

const (
	apiKey       = "key-of-curators"
	readyTimeout = 30 * time.Second
	// shutdownTimeout is the time that a host has to stop.
	shutdownTimeout = 4 * time.Second
)

// binary is the path of the program, which TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(testbinary.Run(m, &binary)) }

// host is a host of the fleet: a process, and after a restart another one.
type host struct {
	fleet           *fleet
	name, directory string
	address, ready  string
	store           *link

	mu          sync.Mutex
	command     *exec.Cmd
	ended       chan struct{}
	binary      string    // path of the program
	disturbedAt time.Time // end of the last disturbance
	disturbing  bool
}

// fleet is some hosts, engines and a store.
type fleet struct {
	t       *testing.T
	store   *platformtest.Store
	reader  *platform.Store
	hosts   []*host
	engines []*platformtest.Worker
	callers *http.Client
	// keyBound is the time after which a key that was taken away is refused; 0: none.
	keyBound time.Duration
}

// newFleet starts hosts and engines that a segment of prompts crashes.
func newFleet(t *testing.T, hosts, engines int, crashSegment string, onCrash func()) *fleet {
	t.Helper()
	f := &fleet{t: t, store: platformtest.NewStore(), callers: &http.Client{Timeout: 8 * time.Second}}
	f.start(hosts, engines, crashSegment, onCrash)
	return f
}

func (f *fleet) start(hosts, engines int, crashSegment string, onCrash func()) {
	t := f.t
	t.Helper()
	t.Cleanup(f.store.Close)
	f.store.Set(lease.Table, lease.MarkerKey(1), struct{}{}) // hosts have held the lease before
	f.reader = platform.NewStore(f.store.Address())
	f.writeConfig(1, []string{"m1"}, apiKey)
	for i := range engines {
		engine := platformtest.NewWorker(fmt.Sprintf("engine-%d", i), "llm", "m1")
		t.Cleanup(engine.Close)
		engine.EventInterval, engine.Events = 150*time.Millisecond, 5
		engine.SetFaults(platformtest.WorkerFaults{CrashSegment: crashSegment})
		engine.OnCrash = func() {
			onCrash()
			f.store.Set("servers", engine.ID, engine.Entry("ready"))
		}
		f.store.Set("servers", engine.ID, engine.Entry("ready"))
		f.engines = append(f.engines, engine)
	}
	for i := range hosts {
		f.addHost(fmt.Sprintf("host-%d", i))
	}
	for _, h := range f.hosts {
		h.awaitReady()
	}
}

// writeConfig writes a version of the configuration with models and the keys of the workspace.
func (f *fleet) writeConfig(version int, models []string, keys ...string) {
	list := []any{}
	for _, name := range models {
		list = append(list, map[string]any{"name": name, "weightsMb": 30000, "loadS": 0.1, "adapters": 0, "adapterMb": 40, "warmS": 0.05, "diskS": 0.05})
	}
	f.store.Set("op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "chat", "host": "seed.example", "prefix": "/chat/", "kind": "streaming", "timeoutMs": 6000, "sloMs": 500, "priority": 1,
			"service": "llm", "attempts": 1, "public": false, "gapTargetMs": 250,
		}},
		"services": []any{map[string]any{"name": "llm", "maxConns": 200, "engine": map[string]any{
			"slots": 64, "kvCapacity": 900000, "weightsMb": 200000, "adapterSlots": 4, "loadsPerS": 6, "models": list,
		}}},
		"limits":  map[string]any{"bodyBytes": 4096},
		"tenants": []any{map[string]any{"name": "curators", "apiKeys": keys, "unit": "token_stream", "plainTokens": 200}},
	})
}

// logDirectory is kept with the settings and logs of all hosts.
var logDirectory = flag.String("log-dir", "", "folder to keep the hosts' logs in; default: they are not kept")

func (f *fleet) hostDirectory(name string) string {
	if *logDirectory == "" {
		return f.t.TempDir()
	}
	directory := filepath.Join(*logDirectory, filepath.Base(f.t.Name()), name)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		f.t.Fatal(err)
	}
	return directory
}

func (f *fleet) addHost(name string) {
	f.t.Helper()
	addresses := freeAddresses(f.t, nextLoopback(), 3)
	h := &host{fleet: f, binary: binary, name: name, directory: f.hostDirectory(name), address: addresses[0], ready: addresses[1], store: newLink(f.t, f.store.Address())}
	settings, err := json.Marshal(map[string]any{
		"host": name, "data_center": "z1", "listen": h.address, "ready_listen": h.ready, "peer_listen": addresses[2],
		"platform": h.store.address(), "shutdown_timeout_s": shutdownTimeout.Seconds(), "key_confirmation_ms": f.keyBound.Milliseconds(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(h.settings(), settings, 0o600); err != nil {
		f.t.Fatal(err)
	}
	if *otherBinary != "" && len(f.hosts)%2 == 1 {
		h.binary = *otherBinary
	}
	h.start()
	f.t.Cleanup(h.kill)
	f.hosts = append(f.hosts, h)
}

var loopbackCount atomic.Uint32

// nextLoopback returns a loopback IP that no other host of this process has: ports of outgoing
// connections are not taken there.
func nextLoopback() string {
	n := loopbackCount.Add(1)
	pid := os.Getpid()
	return net.IPv4(127, byte(64+pid>>8&63), byte(pid), byte(1+n%254)).String()
}

// freeAddresses returns different addresses at a loopback IP that nobody listens at. They are
// chosen together: the system may choose a port again as soon as it is free.
func freeAddresses(t *testing.T, ip string, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// coordinator returns the host that holds the lease; nil: none.
func (f *fleet) coordinator() *host {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	page, err := f.reader.Read(ctx, lease.Table)
	at := slices.IndexFunc(page.Rows, func(row table.Row) bool { return row.Key == lease.Key })
	if err != nil || at < 0 {
		return nil
	}
	var record lease.Record
	if json.Unmarshal(page.Rows[at].Value, &record) != nil || record.Released {
		return nil
	}
	for _, h := range f.hosts {
		if h.name == record.Holder {
			return h
		}
	}
	return nil
}

func (h *host) settings() string { return filepath.Join(h.directory, "host.json") }

// start starts a process of the host.
func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.directory, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.fleet.t.Error(err)
		return
	}
	defer log.Close()
	command, ended := exec.Command(h.binary, "gateway", h.settings()), make(chan struct{})
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		h.fleet.t.Error(err)
		return
	}
	go func() {
		defer close(ended)
		_ = command.Wait() // the soak ends processes by signals
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command, h.ended = command, ended
}

func (h *host) signal(s syscall.Signal) (ended chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(s) // fails only if the process has ended
	return h.ended
}

func (h *host) kill() { <-h.signal(syscall.SIGKILL) }

func (h *host) awaitReady() {
	h.fleet.t.Helper()
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close() // only the status matters
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	h.fleet.t.Fatalf("%s is not ready", h.name)
}

// link is a proxy between a host and the store that can be cut: what arrives then is not passed on.
type link struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut chan struct{} // closed at the end of the cut; nil: there is none
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go l.serve()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return // the test has ended
		}
		go l.forward(conn)
	}
}

func (l *link) forward(caller net.Conn) {
	defer caller.Close()
	store, err := net.Dial("tcp", l.target)
	if err != nil {
		return // the caller sees a closed connection
	}
	defer store.Close()
	go func() {
		defer caller.Close()
		l.copy(caller, store)
	}()
	l.copy(store, caller)
}

// copy copies bytes as they arrive, and holds them back while the link is cut.
func (l *link) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if cut := l.currentCut(); cut != nil {
			<-cut
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *link) currentCut() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// cutFor cuts the link for a time.
func (l *link) cutFor(d time.Duration) {
	cut := make(chan struct{})
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
	time.Sleep(d)
	l.mu.Lock()
	l.cut = nil
	l.mu.Unlock()
	close(cut)
}
