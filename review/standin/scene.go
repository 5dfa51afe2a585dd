package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	contact = 3 * time.Second // contactMs of the small deployments
	drainMS = 2 * time.Second // drainMs
	apiKey  = "key-of-curators"
)

// scene is a small deployment with a record of what was sent, answered and run.
type scene struct {
	trouble bool
	folder  string
	start   time.Time
	store   *store
	workers []*worker
	hosts   []*host

	recordMu sync.Mutex
	record   *bufio.Writer

	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
	answers  []answer
}

// answer is the end of a client's attempt.
type answer struct {
	id       string
	sentAt   time.Time
	status   int // 0: none
	complete bool
	events   int
	body     string
	host     string
	endedAt  time.Time
	leaving  bool // the worker said in the answer that it leaves
}

// attempt is one attempt of a client.
type attempt struct {
	path, id, key string
	deadline      time.Duration
	headers       []string
	quiet         bool // only an answer other than a refusal is recorded
}

type host struct {
	name, front, ready, ip string
	settings               string
	process                *exec.Cmd
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	endAll()
	os.Exit(2)
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
	folder    string
)

// endAll ends the processes that this one has started.
func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, process := range started {
		_ = process.Process.Kill()
	}
	for _, process := range started {
		_ = process.Wait()
	}
	started = nil
	if folder != "" {
		_ = os.RemoveAll(folder)
	}
}

func newScene(recordFile string) *scene {
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	file, err := os.Create(recordFile)
	if err != nil {
		cannotRun("%v", err)
	}
	s.record = bufio.NewWriter(file)
	if s.folder, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("%v", err)
	}
	folder = s.folder
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { <-signals; cannotRun("ended by a signal") }()
	s.store = newStore(s.ip(201))
	s.log("trouble: %v", s.trouble)
	return s
}

// ip returns a loopback address of this run.
func (s *scene) ip(n int) string {
	pid := os.Getpid()
	return net.IPv4(127, byte(100+pid>>16&15), byte(pid>>8), byte(n)).String()
}

func (s *scene) log(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
	_ = s.record.Flush()
}

func (s *scene) say(format string, args ...any) {
	s.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (s *scene) arrived(a arrival) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.log("request %s reaches %s, runs: %v, parts %s", a.id, a.worker, a.ran, a.parts)
}

func (s *scene) crashed(w *worker, id, request string) {
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	n := len(s.crashes)
	s.mu.Unlock()
	s.log("crash %d: worker %s at %s, by %s", n, id, w.address, request)
}

// writeConfig writes the first configuration.
func (s *scene) writeConfig() { s.configure(3, 0, apiKey) }

// configure writes a version of the configuration with some keys, and with further routes
// besides those that clients use.
func (s *scene) configure(version, further int, keys ...string) {
	route := func(name, prefix, kind, service string, timeout, objective, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "seed.example", "prefix": prefix, "kind": kind, "timeoutMs": timeout, "sloMs": objective,
			"priority": 1, "service": service, "attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false, "gapTargetMs": 250}
	}
	routes := []any{
		route("chat", "/chat/", "streaming", "models", 15000, 500, 1),
		route("withdraw", "/withdraw/", "unsafe", "ledger", 3000, 300, 1),
		route("lookup", "/lookup/", "safe", "ledger", 3000, 300, 2),
	}
	for i := range further {
		routes = append(routes, route(fmt.Sprintf("r-%d", i), fmt.Sprintf("/further/%d/", i), "safe", "ledger", 3000, 300, 2))
	}
	s.store.put("op", "config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "models", "healthPath": "/health", "maxConns": 370, "engine": map[string]any{
				"slots": 64, "kvCapacity": 140000, "weightsMb": 200000, "adapterSlots": 8, "loadsPerS": 6,
				"models": []any{map[string]any{"name": "m1", "weightsMb": 65000, "loadS": 6, "diskS": 0.5, "warmS": 0.5, "adapters": 0, "adapterMb": 40}},
			}},
			map[string]any{"name": "ledger", "healthPath": "/health", "maxConns": 110},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "curators", "apiKeys": keys, "unit": "token_stream", "plainTokens": 200}},
	})
}

var section = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)

// settingsOf fills in the project's template as the platform does.
func (s *scene) settingsOf(name, ip string, ports []int) string {
	template, err := os.ReadFile("deploy/host.jsonc")
	if err != nil {
		cannotRun("%v", err)
	}
	fields := map[string]string{
		"node": name, "zone": "zone-1", "ip": ip, "portRange.0": fmt.Sprint(ports[2]),
		"listen.front": fmt.Sprintf("%s:%d", ip, ports[0]), "listen.ready": fmt.Sprintf("%s:%d", ip, ports[1]),
		"provider.address": s.store.listen(s.ip(201), name), "limits.cpuShare": "0.4", "limits.memoryMb": "284", "bounds.graceS": "8",
		"bounds.revokeStrict": "true", "bounds.revokeMs": "5000", "bounds.leaseMs": "3000", "bounds.retryBudgetRatio": "0.2",
		"bounds.budgetWindowS": "10", "bounds.retrySlack": "56",
	}
	text := section.ReplaceAllStringFunc(string(template), func(found string) string {
		parts := section.FindStringSubmatch(found)
		if _, ok := fields[parts[1]]; !ok {
			return "" // as the platform does for a field without a value
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fields[parts[1]])
	})
	for field, value := range fields {
		text = strings.ReplaceAll(text, "{{"+field+"}}", value)
	}
	return text
}

// startHosts starts hosts with the run line of the deploy file, and waits until they are ready.
func (s *scene) startHosts(n int) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	line := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(deploy)
	if line == nil {
		cannotRun("no run line in the deploy file")
	}
	words := strings.Fields(string(line[1]))
	for i := range n {
		h := &host{name: fmt.Sprintf("front-%d", i+1), ip: s.ip(i + 1)}
		var ports []int
		for range 3 {
			listener, err := net.Listen("tcp", h.ip+":0")
			if err != nil {
				cannotRun("%v", err)
			}
			defer listener.Close()
			ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
			_ = listener.Close()
		}
		h.front, h.ready = fmt.Sprintf("%s:%d", h.ip, ports[0]), fmt.Sprintf("%s:%d", h.ip, ports[1])
		h.settings = filepath.Join(s.folder, h.name+".json")
		if err := os.WriteFile(h.settings, []byte(s.settingsOf(h.name, h.ip, ports)), 0o600); err != nil {
			cannotRun("%v", err)
		}
		logs, err := os.Create(filepath.Join(s.folder, h.name+".log"))
		if err != nil {
			cannotRun("%v", err)
		}
		h.process = exec.Command(words[0], words[1:]...)
		h.process.Env = append(os.Environ(), "ARBUTUSBANK_CONFIG="+h.settings)
		h.process.Stdout, h.process.Stderr = logs, logs
		if err := h.process.Start(); err != nil {
			cannotRun("%v", err)
		}
		startedMu.Lock()
		started = append(started, h.process)
		startedMu.Unlock()
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		s.waitReady(h)
	}
	s.log("%d hosts are ready", n)
}

func (s *scene) waitReady(h *host) {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + "/arbutusbank/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun("host %s is not ready", h.name)
}

var callers = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true}}

// send sends one client attempt and waits for its end.
func (s *scene) send(h *host, path, id string, deadline time.Duration, headers ...string) answer {
	return s.sendAttempt(h, attempt{path: path, id: id, key: apiKey, deadline: deadline, headers: headers})
}

func (s *scene) sendAttempt(h *host, t attempt) answer {
	id := t.id
	a := answer{id: id, sentAt: time.Now(), host: h.name}
	request, err := http.NewRequest(http.MethodPost, "http://"+h.front+t.path, bytes.NewReader([]byte("body of "+id)))
	if err != nil {
		cannotRun("%v", err)
	}
	request.Host = "seed.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(t.deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+t.key)
	for i := 0; i+1 < len(t.headers); i += 2 {
		request.Header.Set(t.headers[i], t.headers[i+1])
	}
	if !t.quiet {
		s.log("request %s sent to %s", id, h.name)
	}
	client := callers
	client.Timeout = t.deadline
	response, err := client.Do(request)
	if err == nil {
		a.status = response.StatusCode
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.complete, a.body = readErr == nil, string(body)
		a.leaving = response.Header.Get("Server-Leaving") == "1"
		a.events = strings.Count(string(body), "\n\n")
	}
	a.endedAt = time.Now()
	if t.quiet && a.status != http.StatusOK {
		return a
	}
	if t.quiet {
		s.log("request %s was sent to %s at %.3f s", id, h.name, a.sentAt.Sub(s.start).Seconds())
	}
	s.log("request %s ends at %s: status %d, complete %v, %d events, leaving %v %s", id, h.name, a.status, a.complete, a.events, a.leaving, refusalText(a))
	s.mu.Lock()
	s.answers = append(s.answers, a)
	s.mu.Unlock()
	return a
}

func refusalText(a answer) string {
	if a.status == http.StatusOK {
		return ""
	}
	return strings.TrimSpace(a.body)
}

// chat sends a streaming request with the parts of its prompt.
func (s *scene) chat(h *host, id, parts string) answer {
	return s.send(h, "/chat/"+id, id, 15*time.Second, "Model", "m1", "Token-Count", "1460,80", "Prompt-Prefix", parts)
}

// repeat calls f in each interval, n times at most, until the end; each call in a goroutine.
func repeat(group *sync.WaitGroup, interval time.Duration, until time.Time, f func(i int)) {
	group.Go(func() {
		var calls sync.WaitGroup
		for i := 0; time.Now().Before(until); i++ {
			calls.Go(func() { f(i) })
			time.Sleep(interval)
		}
		calls.Wait()
	})
}

// finish ends all processes and exits: 1 if the rule was broken.
func (s *scene) finish(broken bool) {
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		_ = exec.Command("cp", "-r", s.folder, keep).Run()
	}
	endAll()
	if broken {
		s.say("the rule was BROKEN")
		os.Exit(1)
	}
	s.say("the rule held")
	os.Exit(0)
}
