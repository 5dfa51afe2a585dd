package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// newRawServer serves each connection with a function. It returns its address.
func newRawServer(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) string {
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
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// discardRequest reads a complete request. It returns false at the end of the
// connection.
func discardRequest(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func send(t *testing.T, pool *Pool, address string, body string) (string, *Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, &Request{
		Key: "u1", Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body),
	})
	if err != nil {
		return "", nil, err
	}
	defer response.Close()
	data, err := io.ReadAll(response)
	return string(data), response, err
}

func TestConnectionIsReused(t *testing.T) {
	address := newRawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		for discardRequest(requests) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok")
		}
	})
	pool := NewPool()
	for i := range 3 {
		body, response, err := send(t, pool, address, "b")
		if err != nil || body != "ok" || response.NewConnection != (i == 0) {
			t.Fatalf("send %d: %q, new connection %v, %v", i, body, response.NewConnection, err)
		}
	}
}

// Bytes after a complete response belong to no request: the next request must not
// receive them.
func TestExtraResponseIsNotUsedForNextRequest(t *testing.T) {
	for _, late := range []bool{false, true} {
		address := newRawServer(t, func(conn net.Conn, requests *bufio.Reader) {
			discardRequest(requests)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if late {
				time.Sleep(30 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
			discardRequest(requests)
		})
		pool := NewPool()
		if _, _, err := send(t, pool, address, "b"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(60 * time.Millisecond)
		if body, response, err := send(t, pool, address, "b"); err != nil || body != "ok" || !response.NewConnection {
			t.Errorf("late %v: second response %q, %v", late, body, err)
		}
	}
}

func TestIncompleteResponses(t *testing.T) {
	for _, text := range []string{
		"", "garbage\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
	} {
		address := newRawServer(t, func(conn net.Conn, requests *bufio.Reader) {
			discardRequest(requests)
			_, _ = io.WriteString(conn, text)
		})
		_, _, err := send(t, NewPool(), address, "b")
		var incomplete *IncompleteResponseError
		if !errors.As(err, &incomplete) {
			t.Errorf("%q: error %v, want an IncompleteResponseError", text, err)
		}
	}
}

func TestDialError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close() // nothing listens here any more
	_, _, err = send(t, NewPool(), address, "b")
	var dial *DialError
	if !errors.As(err, &dial) {
		t.Errorf("error %v, want a DialError", err)
	}
}

// An upstream may respond before it has read a long body. The connection can't be
// reused then.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	address := newRawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := requests.ReadString('\n'); err != nil {
			return // the sender disconnected
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		time.Sleep(300 * time.Millisecond)
	})
	pool := NewPool()
	for range 2 {
		body, response, err := send(t, pool, address, strings.Repeat("x", 8<<20))
		if err != nil || body != "no" || response.Status != 413 || !response.NewConnection {
			t.Errorf("response %q, %v", body, err)
		}
	}
}

func TestIdleTimeKeepsAMargin(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": defaultIdleTime, "timeout=10": 8500 * time.Millisecond, "timeout=2, max=5": time.Second, "timeout=0": 0,
	} {
		if got := idleTimeOf(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

// Guards against a header value that adds lines to a request.
func TestLineBreaksInHeaderValues(t *testing.T) {
	encoded := string(encodeHeader(&Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Last-Event-Id": {"5\r\nTenant: other"}}}))
	if strings.Contains(encoded, "\nTenant") {
		t.Errorf("request %q", encoded)
	}
}
