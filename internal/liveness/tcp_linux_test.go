package liveness

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against connections without the TCP settings that detect a dead peer.
func TestDialerSetsSocketOptions(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := NewDialer(time.Second).DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	want := map[int]int{
		syscall.TCP_KEEPIDLE:  1,
		syscall.TCP_KEEPINTVL: 1,
		syscall.TCP_KEEPCNT:   3,
		tcpUserTimeout:        3000,
	}
	err = raw.Control(func(fd uintptr) {
		for option, value := range want {
			if got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option); err != nil || got != value {
				t.Errorf("option %#x is %d (%v), want %d", option, got, err, value)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
