package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against holding it against an upstream that it cut off a stream which this host did
// not read because its caller did not.
func TestStreamThatItsCallerDoesNotReadIsNoLostRun(t *testing.T) {
	f := newTestFleet(t, 1)
	w := f.newRawWorker("llm", func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "%s\r\nTransfer-Encoding: chunked\r\n\r\n", answerHeader(request))
		for id := 1; ; id++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 64<<10))
			_ = conn.SetWriteDeadline(time.Now().Add(1500 * time.Millisecond)) // a TCP connection supports it
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				_ = conn.(*net.TCPConn).SetLinger(0) // as above
				_ = conn.Close()
				return
			}
		}
	})
	caller := f.dialHost(0)
	caller.send(t, "/patient/1", "unread", "m1")
	f.waitFor("the worker has cut off the stream", func() bool { return len(w.runsSoFar()) > 0 && w.atWork() == 0 })
	if n, err := io.Copy(io.Discard, caller); n < 1<<20 {
		t.Fatalf("only %d bytes arrived, %v", n, err)
	}
	f.waitFor("the request ends", func() bool { return f.hosts[0].State().InFlight == 0 })
	if lost := f.metric(0, "gateway_lost_runs_total"); lost != 0 {
		t.Errorf("%v lost runs, want none", lost)
	}
}
