package liveness

import (
	"fmt"
	"strings"
	"syscall"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, whose value is in
// milliseconds; package syscall does not define it for all architectures.
const tcpUserTimeout = 0x12

// SocketOptionError reports that a socket option could not be set.
type SocketOptionError struct {
	Option string
	Cause  error
}

// Error implements error.
func (e *SocketOptionError) Error() string { return fmt.Sprintf("set %s: %v", e.Option, e.Cause) }

// Unwrap returns the cause.
func (e *SocketOptionError) Unwrap() error { return e.Cause }

// setUserTimeout sets TCP_USER_TIMEOUT. It is a net.Dialer.Control function.
func setUserTimeout(network, _ string, c syscall.RawConn) error {
	if !strings.HasPrefix(network, "tcp") {
		return nil
	}
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return &SocketOptionError{Option: "TCP_USER_TIMEOUT", Cause: err}
	}
	return nil
}
