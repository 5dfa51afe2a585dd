// Package presence tells whether the caller of an HTTP request is still connected. It
// looks at the socket itself: net/http notices a disconnected caller in a goroutine of
// its own, which may run long after the request's handler, and not at all once the
// caller has sent further bytes.
package presence

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionKey is the context key of a connection, requestKey that of a watched request.
type (
	connectionKey struct{}
	requestKey    struct{}
)

// LeftError is the cause of the end of a request's context whose caller has left.
type LeftError struct{}

// Error implements error.
func (e *LeftError) Error() string { return "the caller has left" }

// connContext is the ConnContext of a server whose requests are watched.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return ctx // the connection has been closed; its requests fail when they are read
	}
	return context.WithValue(ctx, connectionKey{}, raw)
}

// Left reports whether the context of a request has ended, or its caller has closed,
// half-closed or reset the connection. In the second case it ends the request's context.
// It makes one system call and does not block. Where Watch was not called it knows the context only.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	r, ok := ctx.Value(requestKey{}).(*request)
	return ok && r.look()
}

// request is a watched request.
type request struct {
	raw    syscall.RawConn
	cancel context.CancelCauseFunc
}

// look ends the request's context if the caller has left. It reports whether it has.
func (r *request) look() bool {
	if !disconnected(r.raw) {
		return false
	}
	r.cancel(&LeftError{})
	return true
}

// disconnected reports whether the peer of a socket has closed its sending direction or
// reset the connection. Unread bytes before the close do not hide it.
func disconnected(raw syscall.RawConn) bool {
	left := false
	err := raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(poll, 0)
		left = pollErr == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil // Control fails after the connection was closed on this side
}
