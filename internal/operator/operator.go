// Package operator is the administration HTTP API: submission of configuration
// patches, history, keys, status and diagnostics.
package operator

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const (
	// MaxBodyBytes bounds the body of an administration request.
	MaxBodyBytes = 4 << 20
	// requestTimeout bounds an administration request. A change goes on when
	// its caller disconnects, so that it is pushed to other hosts.
	requestTimeout = 15 * time.Second
)

// Store commits and reads configuration versions; *configstore.Store does.
type Store interface {
	Submit(ctx context.Context, submission configstore.Submission) (configstore.Version, error)
	Load(ctx context.Context) (*config.Snapshot, error)
	Head(ctx context.Context) (configstore.Head, error)
	SnapshotAt(ctx context.Context, number uint64) (*config.Snapshot, error)
	Version(ctx context.Context, number uint64) (configstore.Version, error)
	Versions(ctx context.Context, after uint64, limit int) ([]configstore.Version, error)
}

// HostStatus is what a host says about its configuration, or what is known of a
// host that did not answer.
type HostStatus struct {
	Host       string    `json:"host"`
	DataCenter string    `json:"data_center"`
	Reachable  bool      `json:"reachable"`
	Version    uint64    `json:"version"`
	Since      time.Time `json:"since,omitzero"`      // the version is in force at the host
	Confirmed  bool      `json:"confirmed"`           // the host would have learned of a newer version
	Hash       string    `json:"hash,omitempty"`      // of the document in force
	LastHeard  time.Time `json:"last_heard,omitzero"` // by the host that was asked
	Detail     string    `json:"detail,omitempty"`    // why the version is not confirmed
}

// Options are what the API works with. Store, Current and Accepted are
// required; parts left out answer with "not found".
type Options struct {
	Store            Store
	Current          func() *config.Snapshot // the version in force at this host, nil before any
	PublishAccepted  func(ctx context.Context, version configstore.Version) error
	Status           func(ctx context.Context) []HostStatus
	Dump             func(ctx context.Context) any                           // state of this host
	Explain          func(ctx context.Context, requestID string) (any, bool) // decisions on a request; false: unknown
	ReadinessProblem func() *problem.Error                                   // why this host takes no requests, nil if it does

	Gatherer   prometheus.Gatherer   // served at /metrics
	Registerer prometheus.Registerer // for the API's own metrics
	Logger     logr.Logger           // default: discards
	Random     io.Reader             // source of keys; default: crypto/rand
}

// server holds the handlers of the API.
type server struct {
	Options
	metrics *metrics
}

// New returns the handler of the administration API. It serves /admin/v1,
// /debug/pprof, /metrics, /healthz and /readyz.
func New(options Options) http.Handler {
	if options.Logger.GetSink() == nil {
		options.Logger = logr.Discard()
	}
	options.Logger = options.Logger.WithName("operator")
	if options.Random == nil {
		options.Random = rand.Reader
	}
	s := &server{Options: options, metrics: newMetrics(options.Registerer)}
	return s.routes()
}

func (s *server) routes() http.Handler {
	router := httprouter.New()
	router.POST("/admin/v1/patches", s.operatorCall("patches", s.submitPatch))
	router.GET("/admin/v1/versions", s.operatorCall("versions", s.listVersions))
	router.GET("/admin/v1/versions/:number", s.operatorCall("version", s.showVersion))
	router.GET("/admin/v1/diff", s.operatorCall("diff", s.diffVersions))
	router.GET("/admin/v1/blame", s.operatorCall("blame", s.blameValue))
	router.GET("/admin/v1/status", s.operatorCall("status", s.showStatus))
	router.POST("/admin/v1/workspaces/:workspace/keys", s.operatorCall("issue-key", s.issueKey))
	router.DELETE("/admin/v1/workspaces/:workspace/keys/:key", s.operatorCall("withdraw-key", s.withdrawKey))
	router.GET("/admin/v1/dump", s.operatorCall("dump", s.showDump))
	router.GET("/admin/v1/explain/:request", s.operatorCall("explain", s.explainRequest))
	router.GET("/debug/pprof/*profile", s.profile)
	router.GET("/healthz", s.healthz)
	router.GET("/readyz", s.readyz)
	if s.Gatherer != nil {
		router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	}
	router.NotFound = s.refuseAll(problem.New(problem.NotFound, "there is no such endpoint"))
	router.MethodNotAllowed = s.refuseAll(problem.New(problem.MethodNotAllowed, "the endpoint has other methods"))
	router.PanicHandler = s.recovered
	return router
}

// configVersion returns the version in force, 0 before any.
func (s *server) configVersion() uint64 {
	if current := s.Current(); current != nil {
		return current.Version
	}
	return 0
}
