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

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// ConnContext is the ConnContext of an http.Server. It makes Left work for the requests
// of a connection.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
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

// Left reports whether the caller has closed, half-closed or reset the connection of the
// request with this context, or the context has ended. It makes one system call and
// does not block.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	raw, ok := ctx.Value(connectionKey{}).(syscall.RawConn)
	return ok && disconnected(raw)
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
