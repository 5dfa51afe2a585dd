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

// Guards against crashes that nobody counts: streams that have neither a length nor chunks
// end with their connection, so one of which the engine crashes after an event looks complete.
func TestCrashesInStreamsWithoutStatedEndAreCounted(t *testing.T) {
	const engines, allowed = 7, 4
	f := newTestFleet(t, 1)
	f.store.Remove("servers", f.engine.ID)
	workers := make([]*rawWorker, 0, engines)
	for i := range engines {
		listener, err := net.Listen("tcp", f.loopback+":0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		w := &rawWorker{id: fmt.Sprintf("unframed-%d", i), address: listener.Addr().String()}
		w.answer = func(conn net.Conn, request *http.Request) {
			_, _ = io.WriteString(conn, answerHeader(request)+"\r\n\r\nid: 1\ndata: token 1\n\n")
			if strings.Contains(request.Header.Get("Prompt-Prefix"), "bad") {
				_ = listener.Close()
			}
			_ = conn.Close()
		}
		go w.serve(listener)
		w.entry = f.ledgers[0].Entry("ready")
		w.entry["service"], w.entry["address"] = "llm", w.address
		w.entry["models"] = []any{map[string]any{"name": "m1", "version": 1, "adapters": []string{}}}
		f.store.Set("servers", w.id, w.entry)
		workers = append(workers, w)
	}
	time.Sleep(tableReadTime)
	sound := 0
	for i := range 12 {
		id := fmt.Sprintf("bad-%d", i)
		f.sendModelRequest(0, "/chat/"+id, id, "m1", "Prompt-Prefix", fmt.Sprintf("first:50,bad:20,own%d:10", i))
		id = fmt.Sprintf("sound-%d", i)
		got := f.sendModelRequest(0, "/chat/"+id, id, "m1", "Prompt-Prefix", fmt.Sprintf("first:50,doc:20,own%d:10", i))
		if got.status == http.StatusOK {
			sound++
		}
		time.Sleep(400 * time.Millisecond)
	}
	crashes := 0
	for _, w := range workers {
		w.mu.Lock()
		for _, run := range w.runs {
			if strings.HasPrefix(run.id, "bad-") {
				crashes++
			}
		}
		w.mu.Unlock()
	}
	if crashes < 3 || crashes > allowed || sound < 10 {
		t.Errorf("%d engines crashed, want 3 to %d; %d of 12 sound requests served", crashes, allowed, sound)
	}
}
