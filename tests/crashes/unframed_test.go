package crashes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a stream that ends because its host is killed, and that a caller of HTTP/1.0, which
// knows its end by that of the connection, takes for complete (checks MIXED and ORDER).
func TestKilledHostBreaksOffStreamsOverHTTP10(t *testing.T) {
	f := newFleet(t, 1, 1, "", func() {})
	conn, err := net.Dial("tcp", f.hosts[0].address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(readyTimeout)) // a TCP connection supports it
	if _, err := fmt.Fprintf(conn, "POST /chat/1 HTTP/1.0\r\nHost: seed.example\r\nRequest-Id: old\r\nDeadline-Ms: 5000\r\n"+
		"Authorization: Bearer %s\r\nModel: m1\r\nToken-Count: 100,20\r\nContent-Length: 6\r\n\r\nprompt", apiKey); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for line := ""; !strings.HasPrefix(line, "data:"); {
		if line, err = reader.ReadString('\n'); err != nil {
			t.Fatalf("no event: %q, %v", line, err)
		}
	}
	f.hosts[0].kill()
	if rest, err := io.ReadAll(reader); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q, error %v; want a reset connection", rest, err)
	}
}
