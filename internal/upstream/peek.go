package upstream

import (
	"errors"
	"net"
	"syscall"
)

// hasPendingData reports whether a socket has unread bytes, was closed by the peer or
// has failed.
func hasPendingData(socket net.Conn) bool {
	source, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = !errors.Is(err, syscall.EAGAIN)
	})
	return pending || err != nil
}
