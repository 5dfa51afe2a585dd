package host

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// Guards against losing a request that is sent on a keep-alive connection just
// before a shutdown closes the connection.
func TestIdleConnectionsAreRefused(t *testing.T) {
	idle := newIdleConns()
	server := &http.Server{ConnState: idle.observe, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() { _ = server.Serve(listener) }() // returns after Close
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := http.ReadResponse(reader, nil); err != nil {
		t.Fatal(err)
	}
	for tracked := 0; tracked == 0; {
		idle.mu.Lock()
		tracked = len(idle.conns)
		idle.mu.Unlock()
	}
	idle.refuse(7)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no response on the idle connection: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestTimeout || response.Header.Get("Content-Type") != problem.ContentType || !response.Close {
		t.Errorf("response %d %v", response.StatusCode, response.Header)
	}
}
