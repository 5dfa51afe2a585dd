// Package delivery tells whether the peer of a connection has received what was written to it. A
// write that succeeded shows only that the system has taken the bytes.
package delivery

import (
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// pollInterval is the time between two looks at a connection.
const pollInterval = 2 * time.Millisecond

// LostError reports that a connection failed before its peer had received all that was written.
type LostError struct {
	// Unacknowledged is the number of bytes whose receipt is not known.
	Unacknowledged int
}

// Error implements error.
func (e *LostError) Error() string {
	return "connection failed with " + strconv.Itoa(e.Unacknowledged) + " unacknowledged bytes"
}

// Await waits until the peer of a TCP connection has acknowledged all that was written, which it
// may do long after it has closed its sending direction. It returns a LostError if the connection
// fails, or an error that wraps net.ErrClosed once this side closes it. Where the system does not
// tell, and for other connections, it returns nil at once.
func Await(conn net.Conn) error {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "await delivery")
	}
	for {
		delivered, err := look(raw)
		if err != nil {
			return eris.Wrap(err, "await delivery")
		}
		if delivered {
			return nil
		}
		time.Sleep(pollInterval)
	}
}

// look reports whether a connection has no unacknowledged bytes.
func look(raw syscall.RawConn) (delivered bool, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		// A failed connection keeps its count, so the order of the calls does not matter.
		unacknowledged, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		delivered = ioctlErr != nil || unacknowledged == 0
		if !delivered && hasFailed(int(fd)) {
			err = &LostError{Unacknowledged: unacknowledged}
		}
	})
	if controlErr != nil {
		return false, controlErr
	}
	return delivered, err
}

// hasFailed reports whether a connection has ended in both directions, which this side did not do.
func hasFailed(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd)}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0 && poll[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
}
