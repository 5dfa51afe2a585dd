package platform

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

// callTime bounds the calls with one malformed answer.
const callTime = 2 * time.Second

// Guards against malformed answers of the platform that are taken for rows, or for the outcome of
// a commit.
func TestMalformedAnswers(t *testing.T) {
	answer := stricthttptest.Response{Fields: "Content-Type: application/json\r\n", Body: `{"revision":7}`}
	for name, text := range answer.Malformed() {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		client := NewClient(stricthttptest.Serve(t, func(*http.Request) string { return text }))
		var unknown *UnknownOutcomeError
		if revision, err := client.Commit(ctx, nil, nil); !errors.As(err, &unknown) {
			t.Errorf("%s: revision %d of a commit, error %v; want an unknown outcome", name, revision, err)
		}
		if row, err := client.Read(ctx, "k"); err == nil {
			t.Errorf("%s: row %v", name, row)
		}
	}
}
