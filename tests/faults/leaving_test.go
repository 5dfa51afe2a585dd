package faults

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against running calls that a host reads after their callers have left (GONE):
// here the host's process stood still while they gave up.
func TestUnreadCallsAreNotRun(t *testing.T) {
	f := newTestFleet(t, nil)
	address, key := f.addresses()[0], f.key("curators")
	withdraw := func(lot string) result {
		return f.do("POST", "http://"+address+"/services/drawer-ledger/withdrawals", key, map[string]string{"X-Deadline-Ms": "8000"}, []byte(lot))
	}
	if res := withdraw("first"); res.status != 200 { // opens a connection to a worker
		t.Fatalf("status %d, %v", res.status, res.err)
	}
	p := f.cluster.host(hostNameAt(f, address))
	p.signal(syscall.SIGSTOP)
	const calls = 20
	for n := range calls {
		sendAndLeave(t, address, key, fmt.Sprintf("unread-%d", n))
	}
	time.Sleep(600 * time.Millisecond)
	p.signal(syscall.SIGCONT)
	if res := withdraw("after"); res.status != 200 {
		t.Errorf("status %d, %v", res.status, res.err)
	}
	time.Sleep(300 * time.Millisecond)
	unread := 0
	for _, service := range f.fleet.Services {
		for _, run := range service.Record().Runs {
			if strings.HasPrefix(run.Body, "unread") {
				unread++
			}
		}
	}
	if unread != 0 {
		t.Errorf("%d of %d calls ran after their callers had left", unread, calls)
	}
}

// hostNameAt returns the name of the host with an address.
func hostNameAt(f *testFleet, address string) string {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	for name, spec := range f.cluster.specs {
		if spec.Settings.Listen == address {
			return name
		}
	}
	f.t.Fatalf("no host listens on %s", address)
	return ""
}

// sendAndLeave sends a call and closes the connection.
func sendAndLeave(t *testing.T, address, key, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /services/drawer-ledger/withdrawals HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+
		"X-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
}
