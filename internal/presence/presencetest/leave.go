// Package presencetest ends callers' connections in each way that a host must notice.
package presencetest

import (
	"io"
	"net"
	"time"
)

// trailingPause separates the arrival of further bytes from that of the close.
const trailingPause = 20 * time.Millisecond

// WaysToLeave returns the ways in which a caller can leave, by name.
func WaysToLeave() map[string]func(caller *net.TCPConn) error {
	return map[string]func(caller *net.TCPConn) error{
		"close":                      (*net.TCPConn).Close,
		"half-close":                 (*net.TCPConn).CloseWrite,
		"reset":                      reset,
		"close behind further bytes": closeBehindBytes,
	}
}

func reset(caller *net.TCPConn) error {
	if err := caller.SetLinger(0); err != nil {
		return err
	}
	return caller.Close()
}

// closeBehindBytes sends bytes after the request. They keep net/http from reading on.
func closeBehindBytes(caller *net.TCPConn) error {
	if _, err := io.WriteString(caller, "\r\n"); err != nil {
		return err
	}
	time.Sleep(trailingPause)
	return caller.Close()
}
