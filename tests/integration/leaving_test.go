package integration

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/presence/presencetest"
)

// maxWorkAfterLeaving bounds the work for a caller that has left.
const maxWorkAfterLeaving = 500 * time.Millisecond

// Guards against engines that go on with responses whose callers have left (GONE), for
// each way to leave an entry host.
func TestRunEndsWhenCallerLeaves(t *testing.T) {
	f := startFleet(t, nil)
	population := f.Population()
	key, model := f.Deployment.CallerKeys["curators"][0], population.Models[0]
	if res := sendChat(t, population.Hosts[0], key, model, "warm up", true, 4); res.status != 200 {
		t.Fatalf("status %d", res.status)
	}
	for name, leave := range presencetest.WaysToLeave() {
		t.Run(name, func(t *testing.T) { testRunEnds(t, f, population.Hosts[0], key, model, leave) })
	}
}

func testRunEnds(t *testing.T, f *fleet.Fleet, address, key, model string, leave func(*net.TCPConn) error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1000,"messages":[{"role":"user","content":"long"}]}`, model)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		key, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); running(f) == 0; {
		if time.Now().After(end) {
			t.Fatal("the request does not run")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err := leave(conn.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(maxWorkAfterLeaving)
	if n := running(f); n != 0 {
		t.Errorf("engines work on %d requests", n)
	}
}

// running returns the number of requests that engines are working on.
func running(f *fleet.Fleet) int {
	count := 0
	for _, e := range f.Engines {
		for _, run := range e.Record().Runs {
			if run.Ended.IsZero() {
				count++
			}
		}
	}
	return count
}
