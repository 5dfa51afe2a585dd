package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

// readMalformed reads a response that a server sends before it closes the connection. It reports
// whether the response failed as an incomplete one, and whether as a malformed one.
func readMalformed(t *testing.T, text string) (incomplete, malformed bool) {
	t.Helper()
	address := newRawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		discardRequest(requests)
		_, _ = io.WriteString(conn, text)
	})
	_, _, err := send(t, NewPool(), address, "b")
	var lost *IncompleteResponseError
	var odd *MalformedResponseError
	return errors.As(err, &lost), errors.As(err, &odd)
}

// Guards against a malformed response that counts as a lost connection, that is, as a crash.
func TestMalformedResponseIsNoLostConnection(t *testing.T) {
	for name, text := range (stricthttptest.Response{Body: "whole"}).Malformed() {
		if incomplete, malformed := readMalformed(t, text); !incomplete || !malformed {
			t.Errorf("%s: incomplete %v, malformed %v", name, incomplete, malformed)
		}
	}
}

// Guards against a lost connection, that is, a possible crash, that counts as a malformed response.
func TestCutResponseIsNotMalformed(t *testing.T) {
	for _, sound := range []string{
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2;x=1\r\nle\r\n0\r\nX-Even: 1\r\n\r\n",
	} {
		for length := range len(sound) {
			if incomplete, malformed := readMalformed(t, sound[:length]); !incomplete || malformed {
				t.Errorf("%q: incomplete %v, malformed %v", sound[:length], incomplete, malformed)
			}
		}
	}
}
