package crowd

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

const (
	// attempts is how often a member of a crowd connects anew after its connection was closed.
	attempts = 3
	// sendTimeout ends the sending of a member whose bytes are not read.
	sendTimeout = 20 * time.Second
	// holdTime is how long a crowd stays after it has sent its part, so that the host reads what
	// the kernel holds.
	holdTime = 3 * time.Second
	// missing is how far the bodies stop short of their end.
	missing = 1000
)

// member is one of the callers of a crowd: it sends its part on a connection, which then
// stays open. reads reports whether it reads what the host sends.
type member struct {
	size  int // number of such callers
	reads bool
	send  func(p *program, conn net.Conn) error
}

var (
	block = bytes.Repeat([]byte("b"), bodyLimit)
	// oneByteChunks is a quarter of the largest body.
	oneByteChunks = bytes.Repeat([]byte("1\r\nb\r\n"), bodyLimit/4)
	wholeChunk    = fmt.Appendf(nil, "%x\r\n%s\r\n", bodyLimit, block)
	// These chunks stop short of their end; the second one announces more than the limit.
	shortChunk = wholeChunk[:len(wholeChunk)-missing]
	longChunk  = fmt.Appendf(nil, "%x\r\n%s", 10*bodyLimit, block[missing:])
)

var crowds = map[string][]member{
	"StatedLength": {
		{120, true, func(p *program, conn net.Conn) error { return sendBody(p, conn, bodyLimit, block[missing:]) }},
		{60, true, sendPiecewise},
	},
	"Chunked": {
		{120, true, func(p *program, conn net.Conn) error { return sendChunked(p, conn, shortChunk) }},
		{100, true, func(p *program, conn net.Conn) error { return sendChunked(p, conn, oneByteChunks) }},
	},
	"OverLimit": {
		{60, true, func(p *program, conn net.Conn) error { return sendBody(p, conn, 10*bodyLimit, block[missing:]) }},
		{60, true, func(p *program, conn net.Conn) error { return sendBody(p, conn, 10*bodyLimit, block, block, block) }},
		{60, true, func(p *program, conn net.Conn) error {
			return sendChunked(p, conn, wholeChunk, wholeChunk, wholeChunk, wholeChunk)
		}},
		{60, true, func(p *program, conn net.Conn) error { return sendChunked(p, conn, longChunk) }},
	},
	"Heads":           {{1000, true, trickleHead}},
	"UnreadResponses": {{120, false, requestLarge}},
}

func sendBody(p *program, conn net.Conn, length int, parts ...[]byte) error {
	if _, err := io.WriteString(conn, p.nextHead(false)+fmt.Sprintf("Content-Length: %d\r\n\r\n", length)); err != nil {
		return err
	}
	return sendAll(conn, parts)
}

func sendChunked(p *program, conn net.Conn, parts ...[]byte) error {
	if _, err := io.WriteString(conn, p.nextHead(false)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	return sendAll(conn, parts)
}

func sendAll(conn net.Conn, parts [][]byte) error {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

func sendPiecewise(p *program, conn net.Conn) error {
	const piece = 16 << 10
	err := sendBody(p, conn, bodyLimit)
	for sent := 0; err == nil && sent+piece < bodyLimit; sent += piece {
		time.Sleep(time.Millisecond)
		_, err = conn.Write(block[:piece])
	}
	return err
}

// trickleHead sends nearly all of the longest head, and then byte by byte.
func trickleHead(p *program, conn net.Conn) error {
	_, err := io.WriteString(conn, p.nextHead(false))
	for i := 0; err == nil && i < 28; i++ {
		_, err = fmt.Fprintf(conn, "X-Filler-%d: %s\r\n", i, block[:2000])
	}
	for i := 0; err == nil && i < 20; i++ {
		time.Sleep(50 * time.Millisecond)
		_, err = conn.Write(block[:1])
	}
	return err
}

func requestLarge(p *program, conn net.Conn) error {
	_ = conn.(*net.TCPConn).SetReadBuffer(4096) // supported on every system that the tests run on
	_, err := io.WriteString(conn, p.nextHead(true)+fmt.Sprintf("Content-Length: %d\r\n\r\n", p.largeBody))
	if err != nil {
		return err
	}
	return sendAll(conn, [][]byte{block[:p.largeBody]})
}

// gather starts a crowd and returns once each caller has sent its part or was turned away. The
// returned function ends it.
func gather(p *program, members []member) (disperse func()) {
	ended := make(chan struct{})
	var sent, gone sync.WaitGroup
	for _, m := range members {
		for range m.size {
			sent.Add(1)
			gone.Go(func() {
				once := sync.OnceFunc(sent.Done)
				defer once()
				for range attempts {
					if m.attend(p, ended, once) {
						return
					}
				}
			})
		}
	}
	sent.Wait()
	return func() {
		close(ended)
		gone.Wait()
	}
}

// attend connects once. It reports whether the crowd has ended; otherwise the host has closed
// the connection.
func (m *member) attend(p *program, ended <-chan struct{}, sent func()) bool {
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // a TCP connection supports it
	if err := m.send(p, conn); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	sent()
	closed := make(chan struct{})
	if m.reads {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn) // ends with the connection
		}()
	}
	select {
	case <-ended:
		return true
	case <-closed:
		return false
	}
}

// Guards against callers that make a process run out of memory or descriptors, or keep it
// from serving others: bodies and heads that stop short of their end, bodies over the limit,
// responses that are not read.
func TestCrowds(t *testing.T) {
	all := []member{}
	for _, members := range crowds {
		all = append(all, members...)
	}
	for name, start := range map[string]func(*testing.T) *program{"Gateway": startGateway, "Serve": startServe} {
		t.Run(name, func(t *testing.T) {
			for crowd, members := range crowds {
				t.Run(crowd, func(t *testing.T) { testCrowd(t, start(t), members) })
			}
			t.Run("All", func(t *testing.T) { testCrowd(t, start(t), all) })
		})
	}
}

func testCrowd(t *testing.T, p *program, members []member) {
	p.checkResources("before the crowd")
	disperse := gather(p, members)
	p.checkServed("with the crowd", false)
	p.checkServed("with the crowd", true)
	time.Sleep(holdTime)
	p.checkResources("with the crowd")
	p.checkServed("with the crowd", false)
	disperse()
	p.checkServed("after the crowd", false)
	p.checkServed("after the crowd", true)
	p.checkResources("after the crowd")
}

// Guards against limits that refuse a single request which is inside them.
func TestLargestRequestIsServed(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *program{"Gateway": startGateway, "Serve": startServe} {
		t.Run(name, func(t *testing.T) {
			p := start(t)
			for _, chunked := range []bool{false, true} {
				if status, _ := p.ask(false, bodyLimit, chunked); status != 200 {
					t.Errorf("chunked %v: status %d, want 200", chunked, status)
				}
			}
			p.checkServed("in calm", true)
			p.checkResources("in calm")
		})
	}
}
