// Package drain ends an HTTP server without cutting off requests that it has accepted.
// Closing a listener resets the connections that wait to be accepted, and Shutdown of
// net/http closes connections whose request is read after it was called, without an answer.
package drain

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// settleTime is the time for which a closing listener goes on to accept, in which opening
// connections are completed.
const settleTime = 5 * time.Millisecond

// Listener is a TCP listener whose Close takes effect once all waiting connections have been
// returned by Accept. Accept must be called by one goroutine until it fails.
type Listener struct {
	*net.TCPListener
	closing atomic.Bool
	waiting []net.Conn // taken from the backlog at the end
	closed  bool       // the TCP listener; used by Accept only
}

// Wrap returns a Listener for a TCP listener, and other listeners unchanged.
func Wrap(listener net.Listener) net.Listener {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return listener
	}
	return &Listener{TCPListener: tcp}
}

// Listen listens on a TCP address.
func Listen(network, address string) (net.Listener, error) {
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return Wrap(listener), nil
}

// Accept implements net.Listener. After Close it returns the connections that wait, and then
// net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.closed {
		conn, err := l.TCPListener.Accept()
		if err == nil || !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		l.closed = true
		l.takeWaiting()
		if err := l.TCPListener.Close(); err != nil && len(l.waiting) == 0 {
			return nil, err
		}
	}
	if len(l.waiting) == 0 {
		return nil, net.ErrClosed
	}
	conn := l.waiting[0]
	l.waiting = l.waiting[1:]
	return conn, nil
}

// Close makes Accept return the waiting connections and then fail.
func (l *Listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	return l.TCPListener.SetDeadline(time.Now().Add(settleTime))
}

// takeWaiting accepts the connections that wait now, without waiting for further ones.
func (l *Listener) takeWaiting() {
	raw, err := l.SyscallConn()
	if err != nil {
		return // the listener is closed already
	}
	_ = raw.Control(func(fd uintptr) { // fails only for a closed listener
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				return // none is left
			}
			if conn := connOf(accepted); conn != nil {
				l.waiting = append(l.waiting, conn)
			}
		}
	})
}

// connOf returns the connection of a socket, nil if it can't be used.
func connOf(socket int) net.Conn {
	file := os.NewFile(uintptr(socket), "connection")
	defer file.Close() // FileConn duplicates the socket
	conn, err := net.FileConn(file)
	if err != nil {
		return nil // the caller has reset it
	}
	return conn
}
