package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// rawWorker is a worker whose answers are bytes of the test's choice. It records what
// reaches it and when its connections end.
type rawWorker struct {
	id      string
	address string
	answer  func(conn net.Conn, request *http.Request)
	// early makes it answer before it has read the body, and once on each connection.
	early bool
	entry map[string]any

	mu   sync.Mutex
	runs []*rawRun
}

// rawRun is a request that reached a worker completely.
type rawRun struct {
	id           string
	began, ended time.Time // ended is zero while the worker is busy with the request
}

// newRawWorker starts a worker and makes it the only one of the plain service, or the
// only engine, with model m1 and adapter a1 of it.
func (f *testFleet) newRawWorker(service string, answer func(net.Conn, *http.Request)) *rawWorker {
	f.t.Helper()
	if service == "llm" {
		f.store.Remove("servers", f.engine.ID)
	} else {
		for _, ledger := range f.ledgers {
			f.store.Remove("servers", ledger.ID)
		}
	}
	return f.addRawWorker("raw-"+service, service, answer)
}

// addRawWorker starts a worker of a service, beside those that it has.
func (f *testFleet) addRawWorker(id, service string, answer func(net.Conn, *http.Request)) *rawWorker {
	f.t.Helper()
	return f.startRawWorker(&rawWorker{id: id, answer: answer}, service)
}

// startRawWorker starts a worker with an ID and an answer.
func (f *testFleet) startRawWorker(w *rawWorker, service string) *rawWorker {
	f.t.Helper()
	listener, err := net.Listen("tcp", f.loopback+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	w.address = listener.Addr().String()
	f.t.Cleanup(func() { _ = listener.Close() })
	go w.serve(listener)
	w.entry = f.ledgers[0].Entry("ready")
	w.entry["service"], w.entry["address"] = service, w.address
	if service == "llm" {
		w.entry["models"] = []any{map[string]any{"name": "m1", "version": 1, "adapters": []string{"a1"}}}
	}
	f.store.Set("servers", w.id, w.entry)
	time.Sleep(tableReadTime)
	return w
}

// tableReadTime is the time in which hosts read a changed table.
const tableReadTime = 800 * time.Millisecond

// moveWorker changes the address in a worker's entry.
func (f *testFleet) moveWorker(w *rawWorker, address string) {
	f.t.Helper()
	w.entry["address"] = address
	f.store.Set("servers", w.id, w.entry)
	time.Sleep(tableReadTime)
}

// fullListener returns an address at which connection attempts are not answered: the
// listener's queue is full.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the listener's queue does not fill")
	return ""
}

func (w *rawWorker) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the test ends
		}
		go w.serveConn(conn)
	}
}

func (w *rawWorker) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // the host disconnected
		}
		control := strings.HasPrefix(request.URL.Path, "/arbutusbank/")
		if !w.early || control {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		if control {
			answerControl(conn, request)
			continue
		}
		run := w.begin(request.Header.Get("Request-Id"))
		w.answer(conn, request)
		w.end(run)
		if w.early {
			return
		}
	}
}

// answerControl answers a call of the coordinator: a report, or the refusal of an order.
func answerControl(conn net.Conn, request *http.Request) {
	status, body := "409 Conflict", ""
	if request.URL.Path == "/arbutusbank/report" {
		status = "200 OK"
		body = `{"stage":"unified","models":[{"name":"m1","version":1,"adapters":["a1"]}],"busy":false,"seq":0,"born":1}`
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func (w *rawWorker) begin(id string) *rawRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := &rawRun{id: id, began: time.Now()}
	w.runs = append(w.runs, run)
	return run
}

func (w *rawWorker) end(run *rawRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run.ended = time.Now()
}

// runsSoFar returns the runs; those in progress count as ended now.
func (w *rawWorker) runsSoFar() []rawRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make([]rawRun, len(w.runs))
	for i, run := range w.runs {
		runs[i] = *run
		if run.ended.IsZero() {
			runs[i].ended = time.Now()
		}
	}
	return runs
}

// atWork returns the number of requests that the worker is still busy with.
func (w *rawWorker) atWork() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, run := range w.runs {
		if run.ended.IsZero() {
			count++
		}
	}
	return count
}

// arrived returns the number of requests that reached the worker since a time.
func (w *rawWorker) arrived(since time.Time) int {
	count := 0
	for _, run := range w.runsSoFar() {
		if run.began.After(since) {
			count++
		}
	}
	return count
}

// untilClosed returns when the host has closed the connection.
func untilClosed(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// rawCaller is a caller's connection to a host.
type rawCaller struct {
	*net.TCPConn
	reader *bufio.Reader
}

func (f *testFleet) dialHost(host int) *rawCaller {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.hosts[host].settings.Listen)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return newRawCaller(conn)
}

func newRawCaller(conn net.Conn) *rawCaller {
	return &rawCaller{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// send writes a request; a model request if model is not "".
func (c *rawCaller) send(t *testing.T, path, id, model string) {
	t.Helper()
	if _, err := c.Write(rawRequest(path, id, model, "body")); err != nil {
		t.Fatal(err)
	}
}

func rawRequest(path, id, model, body string) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: seed.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3500\r\n", path, id)
	fmt.Fprintf(&text, "Authorization: Bearer %s\r\nContent-Length: %d\r\n", testKey, len(body))
	if model != "" {
		fmt.Fprintf(&text, "Model: %s\r\nToken-Count: 100,20\r\nPrompt-Prefix: a1:50,b2:50\r\n", model)
	}
	text.WriteString("\r\n" + body)
	return text.Bytes()
}

// receive reads a response and returns its status.
func (c *rawCaller) receive(t *testing.T) int {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

// metric returns the value of a host's counter, summed over its labels.
func (f *testFleet) metric(host int, name string) float64 {
	f.t.Helper()
	response, err := http.Get("http://" + f.hosts[host].settings.MetricsListen + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	sum := 0.0
	for line := range strings.Lines(string(text)) {
		var value float64
		if strings.HasPrefix(line, name) {
			if _, err := fmt.Sscanf(line[strings.LastIndexByte(line, ' ')+1:], "%g", &value); err != nil {
				f.t.Fatal(err)
			}
			sum += value
		}
	}
	return sum
}
