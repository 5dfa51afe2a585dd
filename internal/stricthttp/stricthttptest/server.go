package stricthttptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Cut at the end of a text makes Serve close the connection after the text before it.
const Cut = "\x00cut"

// Serve answers each request with the text of a function and keeps the connection. It returns
// the address.
func Serve(t testing.TB, answer func(*http.Request) string) (address string) {
	t.Helper()
	return serve(t, func(conn net.Conn) { serveConn(conn, answer) })
}

// serve serves each connection with a function, after which it is closed.
func serve(t testing.TB, serveConn func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test ends
			}
			go func() {
				defer conn.Close()
				serveConn(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func serveConn(conn net.Conn, answer func(*http.Request) string) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // the client disconnected
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		text, cut := strings.CutSuffix(answer(request), Cut)
		if _, err := io.WriteString(conn, text); err != nil || cut {
			return
		}
	}
}
