package delivery

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// bufferedBytes is more than the receiver's buffer holds and less than the sender's.
const bufferedBytes = 1 << 20

// connect returns both ends of a TCP connection on loopback, with bytes that were written to the
// peer and that it has not read.
func connect(t *testing.T, written int) (conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	if _, err := dialed.Write(make([]byte, written)); err != nil {
		t.Fatal(err)
	}
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// await returns what Await returned, or fails the test.
func await(t *testing.T, conn net.Conn) error {
	t.Helper()
	result := make(chan error, 1)
	go func() { result <- Await(conn) }()
	select {
	case err := <-result:
		return err
	case <-time.After(5 * time.Second):
		t.Fatal("the wait does not end")
		return nil
	}
}

// Guards against a wait for bytes that the peer's system has received.
func TestAwaitReceived(t *testing.T) {
	for _, written := range []int{0, 1, 1 << 10} {
		conn, peer := connect(t, written)
		if err := peer.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if err := await(t, conn); err != nil {
			t.Errorf("%d bytes: %v", written, err)
		}
	}
}

// Guards against an end of the wait before the peer has made room for all bytes.
func TestAwaitSlowPeer(t *testing.T) {
	const pause = 100 * time.Millisecond
	conn, peer := connect(t, bufferedBytes)
	if err := peer.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	time.AfterFunc(pause, func() { _, _ = io.Copy(io.Discard, peer) })
	if err := await(t, conn); err != nil || time.Since(began) < pause {
		t.Errorf("error %v after %v", err, time.Since(began))
	}
}

// Guards against bytes that count as received although the connection failed.
func TestAwaitFailedConnection(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"reset": func(peer *net.TCPConn) error {
			if err := peer.SetLinger(0); err != nil {
				return err
			}
			return peer.Close()
		},
		"close with unread bytes": (*net.TCPConn).Close,
	} {
		for _, halfClosed := range []bool{false, true} {
			conn, peer := connect(t, bufferedBytes)
			if halfClosed {
				if err := peer.CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			time.AfterFunc(20*time.Millisecond, func() { _ = end(peer) })
			var lost *LostError
			if err := await(t, conn); !errors.As(err, &lost) || lost.Unacknowledged == 0 {
				t.Errorf("%s, half-closed before %v: %v, want a LostError", name, halfClosed, err)
			}
		}
	}
}

// Guards against a wait that outlasts the connection.
func TestAwaitEndsWithTheConnection(t *testing.T) {
	conn, _ := connect(t, bufferedBytes)
	time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
	if err := await(t, conn); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v, want net.ErrClosed", err)
	}
}
