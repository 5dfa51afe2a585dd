package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	loopback     = "127.0.0.1"
	startTimeout = 20 * time.Second
	// memoryMB and maxDescriptors are those of a machine of the small deployments.
	memoryMB       = 284
	maxDescriptors = 4100
)

// runningCase is a case with its record and its processes.
type runningCase struct {
	program string // path of the built program
	trouble bool   // the disruption takes place
	start   time.Time
	scratch string // temporary folder

	mu    sync.Mutex
	file  *os.File
	hosts []*host
}

func newCase(program, folder string, trouble bool) (*runningCase, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	scratch, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	return &runningCase{program: program, trouble: trouble, start: time.Now(), scratch: scratch, file: file}, nil
}

// record writes a line to record.txt, with the time since the start.
func (c *runningCase) record(format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.file, "%9.3f  "+format+"\n", append([]any{time.Since(c.start).Seconds()}, arguments...)...)
}

// close ends all processes.
func (c *runningCase) close() {
	for _, h := range c.hosts {
		h.kill()
	}
	_ = os.RemoveAll(c.scratch)
	_ = c.file.Close()
}

// host is one process of the built program.
type host struct {
	command *exec.Cmd
	ended   chan struct{}
	// callers is the address for callers, ready that of the readiness check.
	callers, ready string
}

// freeAddress returns an address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startHost starts a host with the command of the deploy file and the settings that the
// template gives on a machine of a small deployment, and waits until it is ready.
func (c *runningCase) startHost(name, store string) (*host, error) {
	var addresses [3]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	settings := fmt.Sprintf(`{
  "host": %q, "data_center": "obihiro", "listen": %q, "ready_listen": %q, "peer_listen": %q, "platform": %q,
  "processor_share": 0.4, "memory_mb": %d, "max_descriptors": %d, "shutdown_timeout_s": 8,
  "key_confirmation_ms": 5000, "handover_ms": 3000, "retry": {"ratio": 0.2, "window_s": 10, "slack": 56}
}`, name, addresses[0], addresses[1], addresses[2], store, memoryMB, maxDescriptors)
	file := filepath.Join(c.scratch, name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(c.scratch, name+".log"))
	if err != nil {
		return nil, err
	}
	defer output.Close() // the process has its own copy
	h := &host{command: exec.Command(c.program, "gateway"), ended: make(chan struct{}), callers: addresses[0], ready: addresses[1]}
	h.command.Env = append(os.Environ(), "ARBUTUSBANK_CONFIG="+file)
	h.command.Stdout, h.command.Stderr = output, output
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	c.hosts = append(c.hosts, h)
	go func() {
		defer close(h.ended)
		_ = h.command.Wait()
	}()
	for end := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			c.record("%s is ready, process %d", name, h.command.Process.Pid)
			return h, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("%s is not ready", name)
		}
	}
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/arbutusbank/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

func (h *host) kill() {
	_ = h.command.Process.Kill() // fails only if it has ended
	<-h.ended
}
