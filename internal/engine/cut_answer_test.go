package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// Guards against a short object, complete to the caller, of an engine whose answer states
// no length and ends with the connection.
func TestUnaryAnswerThatEndsWithItsConnection(t *testing.T) {
	for body, complete := range map[string]bool{
		``:                              false,
		`{"object":"text_comp`:          false,
		`{"object":"text_completion"}`:  true,
		`{"object":"text_completion"} `: true,
	} {
		client := serve(t, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Error(err)
				return
			}
			conn, buffer, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\n\r\n%s", HeaderRequestID, r.Header.Get(HeaderRequestID), body)
			_ = buffer.Flush() // a failed write ends the test with an error of the client
		})
		stream, err := client.Infer(context.Background(), call("r1"))
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		_, err = readAll(stream)
		var interrupted *InterruptedError
		if errors.Is(err, io.EOF) != complete || errors.As(err, &interrupted) == complete {
			t.Errorf("body %q: %v, want complete %v", body, err, complete)
		}
	}
}
