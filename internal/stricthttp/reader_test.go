package stricthttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"golang.org/x/net/http/httpguts"
)

// malformedHeads are responses of which net/http reads some otherwise than their sender may
// have meant, and some not at all.
var malformedHeads = []string{
	"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 099 Low\r\n\r\n",
	"HTTP/1.1 600 High\r\n\r\n",
	"HTTP/1.1 +20 OK\r\n\r\n",
	"HTTP/1.1 20 OK\r\n\r\n",
	"HTTP/1.1 2000 OK\r\n\r\n",
	"HTTP/1.1  200 OK\r\n\r\n",
	"HTTP/1.1 200\tOK\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	"HTTP/2.0 200 OK\r\n\r\n",
	"\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\n X-Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Even: 1\r\n X-Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Even: 1\r\n\tX-Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Even: 1\r\n \r\nX-Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX\xc3Odd: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Odd: \x01\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Odd: \x7f\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Odd: 1\r2\r\n\r\n",
	"HTTP/1.1 200 OK\r\n: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Odd\r\n\r\n",
	"HTTP/1.1 200 OK\r\n\rX-Odd: 1\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n\r\n",
}

// interimHead is the head of an interim response.
const interimHead = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"

// Guards against interim responses without end, for each of which net/http allocates memory.
func TestInterimHeads(t *testing.T) {
	for count, sound := range map[int]bool{maxInterim: true, maxInterim + 1: false} {
		response, _, err := parse(strings.NewReader(strings.Repeat(interimHead, count) + "HTTP/1.1 200 OK\r\n\r\n"))
		if (err == nil) != sound {
			t.Errorf("%d interim heads: response %v, error %v", count, response, err)
		}
	}
}

// soundHeads are responses that net/http must get unchanged.
var soundHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0 200\r\n\r\nHTTP/1.1 000 None\r\nX Odd: 1\r\n\r\n",
	"HTTP/1.1 503 \r\n!#$%&'*+-.^_`|~aZ09:\r\n\r\n",
	"HTTP/1.1 599 Odd\nX-Even: \xc3\xa9 a:b \t\n\n x: y",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
}

// onlyHead is the number of the head that parse expects.
const onlyHead = 1

// parse has net/http read the response after interim ones through a Reader.
func parse(source io.Reader) (*http.Response, *Reader, error) {
	reader := NewReader(source)
	if _, err := reader.ExpectHead(nil); err != nil {
		return nil, reader, err
	}
	buffered := bufio.NewReader(reader)
	for {
		response, err := http.ReadResponse(buffered, nil)
		if err != nil || response.StatusCode >= 200 {
			return response, reader, err
		}
	}
}

// Guards against malformed heads that net/http takes for a response, whether they arrive in one
// piece or byte by byte.
func TestMalformedHeads(t *testing.T) {
	for _, text := range malformedHeads {
		for name, source := range map[string]io.Reader{"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text))} {
			response, reader, err := parse(source)
			if err == nil || reader.HeadRead(onlyHead) {
				t.Errorf("%q, %s: response %v, want an error", text, name, response)
			}
			_, err = reader.Read(make([]byte, 1))
			var malformed *MalformedError
			if !errors.As(err, &malformed) {
				t.Errorf("%q, %s: next read: error %v, want a MalformedError", text, name, err)
			}
		}
	}
}

// Guards against sound responses that are rejected or changed, and against checks of bodies.
func TestSoundHeads(t *testing.T) {
	for _, text := range soundHeads {
		for name, source := range map[string]io.Reader{"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text))} {
			reader := NewReader(source)
			head, err := reader.ExpectHead(nil)
			if err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(reader)
			if err != nil || string(data) != text || !reader.HeadRead(head) {
				t.Errorf("%q, %s: read %q, error %v", text, name, data, err)
			}
		}
	}
}

// Guards against a head that is not checked because it was read with the response before it.
func TestBufferedHead(t *testing.T) {
	reader := NewReader(strings.NewReader(""))
	var malformed *MalformedError
	if _, err := reader.ExpectHead([]byte("HTTP/1.1 000 None\r\n\r\n")); !errors.As(err, &malformed) {
		t.Errorf("error %v, want a MalformedError", err)
	}
	if _, err := reader.Read(make([]byte, 1)); !errors.As(err, &malformed) {
		t.Errorf("next read: error %v, want a MalformedError", err)
	}
}

// Guards against the begin of a head that counts as a head.
func TestHeadRead(t *testing.T) {
	response, reader, err := parse(strings.NewReader("HTTP/1.1 200 OK\r\nX-Even: 1\r\n"))
	if err == nil || reader.HeadRead(onlyHead) {
		t.Errorf("response %v, head read %v; want an incomplete head", response, reader.HeadRead(onlyHead))
	}
}

// Guards against bytes for which the reader and net/http disagree on where the head ends, or
// that net/http takes for a response with an impossible status or field name.
func FuzzReader(f *testing.F) {
	for _, text := range append(malformedHeads, soundHeads...) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		response, reader, err := parse(bytes.NewReader(data))
		if err != nil {
			return // rejected
		}
		if !reader.HeadRead(onlyHead) || response.StatusCode > 599 {
			t.Errorf("status %d, head read %v", response.StatusCode, reader.HeadRead(onlyHead))
		}
		for name := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("field %q", name)
			}
		}
	})
}
