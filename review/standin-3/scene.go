package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	stopAll()
	_ = os.RemoveAll(temporary)
	os.Exit(2)
}

// host is a front machine: one process of the system.
type host struct {
	name, zone, ip, front, ready string
	settings                     string
	process                      *exec.Cmd
	exited                       chan struct{}
}

// scene is a small deployment.
type scene struct {
	record *recorder
	store  *store
	hosts  []*host
	dir    string
}

var (
	temporary string // the folder of the scene; "": none yet
	runningMu sync.Mutex
	running   = map[*exec.Cmd]chan struct{}{}
)

func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for process, exited := range running {
		select {
		case <-exited:
		default:
			_ = process.Process.Kill()
			<-exited
		}
	}
}

func newScene(recordFile string) *scene {
	file, err := os.Create(recordFile)
	if err != nil {
		fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fail("%v", err)
	}
	temporary = dir
	return &scene{record: &recorder{file: file, began: time.Now()}, store: newStore(), dir: dir}
}

func (s *scene) close() {
	stopAll()
	_ = os.RemoveAll(temporary)
}

// freePort returns a port of an address that is free now.
func freePort(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

var zones = []string{"obihiro", "sapporo", "asahikawa"}

// startHosts starts the machines with the settings that deploy/host.jsonc gives.
func (s *scene) startHosts(n int) {
	for i := range n {
		h := &host{name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: fmt.Sprintf("127.0.%d.%d", 77, i+1)}
		h.front, h.ready = freePort(h.ip), freePort(h.ip)
		peer, metrics := freePort(h.ip), freePort(h.ip)
		h.settings = filepath.Join(s.dir, h.name+".jsonc")
		text := fmt.Sprintf(`{
  "host": %q, "data_center": %q, "listen": %q, "ready_listen": %q, "peer_listen": %q, "metrics_listen": %q, "platform": %q,
  "processor_share": 0.4, "memory_mb": 284, "max_descriptors": 4100, "shutdown_timeout_s": 8, "key_confirmation_ms": 5000, "handover_ms": 3000,
  "retry": {"ratio": 0.2, "window_s": 10, "slack": 56},
}`, h.name, h.zone, h.front, h.ready, peer, metrics, s.store.address)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			fail("%v", err)
		}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
}

// start starts the process of a machine.
func (s *scene) start(h *host) {
	program, err := filepath.Abs("target/arbutusbank")
	if err != nil {
		fail("%v", err)
	}
	h.process = exec.Command(program, "gateway")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "ARBUTUSBANK_CONFIG=" + h.settings}
	log, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		fail("%v", err)
	}
	exited := make(chan struct{})
	h.exited = exited
	runningMu.Lock()
	running[h.process] = exited
	runningMu.Unlock()
	process := h.process
	go func() { _ = process.Wait(); _ = log.Close(); close(exited) }()
	s.record.add("host %s started", h.name)
}

// signal sends a signal to the process of a machine.
func (s *scene) signal(h *host, signal syscall.Signal) {
	s.record.add("host %s gets %s", h.name, signal)
	if err := h.process.Process.Signal(signal); err != nil {
		fail("%v", err)
	}
}

func (s *scene) host(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// waitReady waits until all machines say that they are ready.
func (s *scene) waitReady(limit time.Duration) {
	until := time.Now().Add(limit)
	for _, h := range s.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				fail("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.ready + "/arbutusbank/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// attempt is one client attempt.
type attempt struct {
	id, key, host string
	sentAt        time.Time
	status        int // 0: no answer
	signature     string
	body          string
	err           error
}

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// send makes one client attempt and waits for its end.
func (s *scene) send(h *host, method, path, key, model string, deadline time.Duration) attempt {
	a := attempt{id: newID(), key: key, host: h.name}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, nil)
	if err != nil {
		fail("%v", err)
	}
	r.Host = "ficu95.example"
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	if model != "" {
		r.Header.Set("Model", model)
		r.Header.Set("Token-Count", "40,9")
		r.Header.Set("Prompt-Prefix", newID()+":40")
	}
	a.sentAt = time.Now()
	s.record.add("sent request=%s key=%s to=%s %s %s model=%s", a.id, key, h.name, method, path, model)
	response, err := callers.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.signature, a.body = response.StatusCode, response.Header.Get("Response-Signature"), string(body)
	}
	a.err = err
	s.record.add("answered request=%s status=%d signature=%s body=%q error=%v", a.id, a.status, a.signature, a.body, err)
	return a
}
