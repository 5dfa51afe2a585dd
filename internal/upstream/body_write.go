package upstream

import "net"

// bodyWrite is the write of a request whose body is long, beside the reading of the response. A nil
// bodyWrite has succeeded.
type bodyWrite struct {
	done chan struct{}
	err  error // set before done is closed
}

// startBodyWrite writes a request to a socket.
func startBodyWrite(socket net.Conn, header, body []byte) *bodyWrite {
	w := &bodyWrite{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		buffers := net.Buffers{header, body}
		_, w.err = buffers.WriteTo(socket)
	}()
	return w
}

// wait waits for the end of the write, which the end of the connection causes, and returns its
// error.
func (w *bodyWrite) wait() error {
	if w == nil {
		return nil
	}
	<-w.done
	return w.err
}

// succeeded reports whether the request has been written completely. It does not wait.
func (w *bodyWrite) succeeded() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}
