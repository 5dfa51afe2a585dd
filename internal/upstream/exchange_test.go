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

// rawServer answers each connection by a function; it returns its address.
func rawServer(t *testing.T, serve func(conn net.Conn, requests *bufio.Reader)) string {
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

// readRequest reads a request whole; it returns false at the connection's end.
func readRequest(requests *bufio.Reader) bool {
	request, err := http.ReadRequest(requests)
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
	answer, err := pool.Do(ctx, &Request{
		Key: "u1", Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body),
	})
	if err != nil {
		return "", nil, err
	}
	defer answer.Close()
	data, err := io.ReadAll(answer)
	return string(data), answer, err
}

func TestConnectionIsKept(t *testing.T) {
	address := rawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		for readRequest(requests) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok")
		}
	})
	pool := NewPool()
	for i := range 3 {
		body, answer, err := send(t, pool, address, "b")
		if err != nil || body != "ok" || answer.NewConnection != (i == 0) {
			t.Fatalf("send %d: %q, fresh %v, %v", i, body, answer.NewConnection, err)
		}
	}
}

// Bytes after a whole answer belong to no request: the next one must not get them.
func TestExtraAnswerIsNotTakenForTheNext(t *testing.T) {
	for _, late := range []bool{false, true} {
		address := rawServer(t, func(conn net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if late {
				time.Sleep(30 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
			readRequest(requests)
		})
		pool := NewPool()
		if _, _, err := send(t, pool, address, "b"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(60 * time.Millisecond)
		if body, answer, err := send(t, pool, address, "b"); err != nil || body != "ok" || !answer.NewConnection {
			t.Errorf("late %v: second answer %q, %v", late, body, err)
		}
	}
}

func TestBrokenAnswersAreLost(t *testing.T) {
	for _, text := range []string{
		"", "garbage\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
	} {
		address := rawServer(t, func(conn net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			_, _ = io.WriteString(conn, text)
		})
		_, _, err := send(t, NewPool(), address, "b")
		var lost *IncompleteResponseError
		if !errors.As(err, &lost) {
			t.Errorf("%q: error %v, want a LostError", text, err)
		}
	}
}

func TestNothingSentWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close() // nobody listens now
	_, _, err = send(t, NewPool(), address, "b")
	var dial *DialError
	if !errors.As(err, &dial) {
		t.Errorf("error %v, want a DialError", err)
	}
}

// An upstream may answer before it has read a long body; the connection then
// carries no other request.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	address := rawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := requests.ReadString('\n'); err != nil {
			return // the caller left
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		time.Sleep(300 * time.Millisecond)
	})
	pool := NewPool()
	for range 2 {
		body, answer, err := send(t, pool, address, strings.Repeat("x", 8<<20))
		if err != nil || body != "no" || answer.Status != 413 || !answer.NewConnection {
			t.Errorf("answer %q, %v", body, err)
		}
	}
}

func TestIdleTimeKeepsAMargin(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": defaultIdle, "timeout=10": 8500 * time.Millisecond, "timeout=2, max=5": time.Second, "timeout=0": 0,
	} {
		if got := idleTime(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}
