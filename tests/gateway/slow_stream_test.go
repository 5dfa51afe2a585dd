package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against cutting a stream that is slow, with pauses beyond its route's target, but
// sound.
func TestSlowStreamIsNotCut(t *testing.T) {
	f := newTestFleet(t, 1)
	f.newRawWorker("llm", func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "%s\r\nTransfer-Encoding: chunked\r\n\r\n", answerHeader(request))
		for id := 1; id <= 4; id++ {
			time.Sleep(700 * time.Millisecond) // the target is 250 ms
			event := fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
	})
	for _, path := range []string{"/chat/1", "/review/1"} {
		got := f.sendModelRequest(0, path, "slow"+path, "m1", "Deadline-Ms", "4000")
		if got.status != http.StatusOK || got.truncated || got.body != completeStream {
			t.Errorf("%s: status %d, truncated %v, body %q", path, got.status, got.truncated, got.body)
		}
	}
}

// Guards against a stalled stream that sends a byte now and then and never ends: bytes that
// complete no event are no progress, and the request ends at its deadline.
func TestStalledStreamEndsAtItsDeadline(t *testing.T) {
	for name, filler := range map[string]string{"half an event": "x", "comments": ": wait\n"} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			w := f.newRawWorker("llm", func(conn net.Conn, request *http.Request) {
				fmt.Fprintf(conn, "%s\r\n\r\nid: 1\ndata: a\n\ndata: ", answerHeader(request))
				for {
					time.Sleep(150 * time.Millisecond)
					if _, err := fmt.Fprint(conn, filler); err != nil {
						return // the host has ended the run
					}
				}
			})
			got := f.sendModelRequest(0, "/chat/1", "stalled", "m1", "Deadline-Ms", "1500")
			if !got.truncated || got.elapsed > 2*time.Second {
				t.Errorf("truncated %v after %v, want a cut at the deadline of 1.5 s", got.truncated, got.elapsed)
			}
			f.waitFor("the run ends", func() bool { return w.atWork() == 0 })
		})
	}
}
