// Package service runs calls to plain services: it routes an HTTP call to one of
// the service's workers and retries it where that is safe. On routes that are not
// idempotent, a call runs at most once.
package service

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/explain"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// Call is a validated call of a route. Header, Path and Query contain nothing that
// must not reach an upstream, such as a caller's key.
type Call struct {
	ID             string
	Workspace      string // "" on open routes, which need no key
	Service        string
	Route          config.Route
	Method         string
	Path           string // relative to the service, starts with "/"
	Query          url.Values
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	Priority       string // a config.Priority constant
	Deadline       time.Time
	Config         *config.Snapshot
	Record         *explain.Record
}

// Response is a worker's complete response.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Runner runs calls to plain services. Run returns either a worker's complete
// response or the refusal to report to the caller.
type Runner interface {
	Run(ctx context.Context, call *Call) (*Response, *problem.Error)
}
