package fleet

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a link that closes connections or loses data while it is down, and
// against a relay that does not apply the latency of the link.
func TestRelayDelaysAndResumes(t *testing.T) {
	echo, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	const latency = 10 * time.Millisecond
	link := NewLink(latency)
	relay, err := NewRelay(link, echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	conn, err := net.Dial("tcp", relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	sendLine := func(text string) string {
		if _, err := conn.Write([]byte(text + "\n")); err != nil {
			t.Fatal(err)
		}
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return line
	}
	started := time.Now()
	if got := sendLine("before"); got != "before\n" || time.Since(started) < 2*latency {
		t.Fatalf("received %q after %v", got, time.Since(started))
	}
	link.SetDown(true)
	restored := time.AfterFunc(100*time.Millisecond, func() { link.SetDown(false) })
	defer restored.Stop()
	started = time.Now()
	if got := sendLine("during"); got != "during\n" || time.Since(started) < 100*time.Millisecond {
		t.Fatalf("received %q after %v", got, time.Since(started))
	}
}
