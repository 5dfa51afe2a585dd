package capacity

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap returns the bytes of reachable objects and goroutine stacks.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the second cycle frees objects that were kept for finalizers
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// timePerCall returns the CPU seconds of one call, averaged over at least the
// given time.
func timePerCall(b *testing.B, atLeast time.Duration, call func()) float64 {
	b.Helper()
	call()
	start, before, calls := time.Now(), cpuTime(b), 0
	for time.Since(start) < atLeast {
		call()
		calls++
	}
	return (cpuTime(b) - before).Seconds() / float64(calls)
}

// counters counts the payload bytes of accepted connections.
type counters struct{ read, written atomic.Int64 }

func (c *counters) total() int64 { return c.read.Load() + c.written.Load() }

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	counters *counters
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counters: l.counters}, nil
}

type countingConn struct {
	net.Conn
	counters *counters
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.written.Add(int64(n))
	return n, err
}
