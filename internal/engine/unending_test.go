package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/transport"
)

// Guards against responses without end: the part of a body that was read up to the limit
// was taken for the complete response, and a header could take megabytes.
func TestUnaryResponseWithoutEnd(t *testing.T) {
	block := strings.Repeat("filler ", 1<<10)
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, block); err != nil {
				return // the client disconnected
			}
		}
	})
	stream, err := client.Infer(context.Background(), call("endless"))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	data, err := stream.Next()
	var protocol *ProtocolError
	if !errors.As(err, &protocol) || len(data) != 0 {
		t.Errorf("%d bytes, error %v, want a ProtocolError", len(data), err)
	}
}

func TestResponseHeaderLimit(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		w.Header().Set("X-Long", strings.Repeat("x", 2*transport.MaxHeaderBytes))
	})
	stream, err := client.Infer(context.Background(), call("long"))
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Errorf("stream %v, error %v, want an UnknownOutcomeError", stream, err)
	}
}
