// Package operator implements the administration HTTP API: submission of
// configuration patches, version history, caller keys, host status and diagnostics.
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
	// MaxBodyBytes is the maximum body size of an administration request.
	MaxBodyBytes = 4 << 20
	// requestTimeout limits an administration request. A change continues after
	// its client disconnects, so that it is still pushed to other hosts.
	requestTimeout = 15 * time.Second
)

// Store commits and reads configuration versions. *configstore.Store implements it.
type Store interface {
	Submit(ctx context.Context, submission configstore.Submission) (configstore.Version, error)
	Load(ctx context.Context) (*config.Snapshot, error)
	Head(ctx context.Context) (configstore.Head, error)
	SnapshotAt(ctx context.Context, number uint64) (*config.Snapshot, error)
	Version(ctx context.Context, number uint64) (configstore.Version, error)
	Versions(ctx context.Context, after uint64, limit int) ([]configstore.Version, error)
}

// HostStatus is the configuration status that a host reported, or the last known
// status of a host that did not respond.
type HostStatus struct {
	Host       string    `json:"host"`
	DataCenter string    `json:"data_center"`
	Reachable  bool      `json:"reachable"`
	Version    uint64    `json:"version"`
	Since      time.Time `json:"since,omitzero"`      // when the host applied the version
	Confirmed  bool      `json:"confirmed"`           // the host knows that the version was the newest recently
	Hash       string    `json:"hash,omitempty"`      // hash of the applied document
	LastHeard  time.Time `json:"last_heard,omitzero"` // last contact, as recorded by the responding host
	Detail     string    `json:"detail,omitempty"`    // why the version is not confirmed
}

// Options configures the API. Store, Current and PublishAccepted are required. The
// endpoints of Status, Dump, Explain and Gatherer respond with "not found" if these
// are nil.
type Options struct {
	Store            Store
	Current          func() *config.Snapshot // the version applied on this host; nil if none
	PublishAccepted  func(ctx context.Context, version configstore.Version) error
	Status           func(ctx context.Context) []HostStatus
	Dump             func(ctx context.Context) any                           // state of this host, encoded as JSON
	Explain          func(ctx context.Context, requestID string) (any, bool) // decisions on a request; false if unknown
	ReadinessProblem func() *problem.Error                                   // why this host does not accept requests; nil if it does

	Gatherer   prometheus.Gatherer   // served at /metrics
	Registerer prometheus.Registerer // registers the metrics of the API; optional
	Logger     logr.Logger           // default: discard
	Random     io.Reader             // source of random bytes for keys and IDs; default: crypto/rand
}

// server implements the handlers of the API.
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
	router.POST("/admin/v1/patches", s.endpointHandler("patches", s.submitPatch))
	router.GET("/admin/v1/versions", s.endpointHandler("versions", s.listVersions))
	router.GET("/admin/v1/versions/:number", s.endpointHandler("version", s.showVersion))
	router.GET("/admin/v1/diff", s.endpointHandler("diff", s.diffVersions))
	router.GET("/admin/v1/blame", s.endpointHandler("blame", s.blameValue))
	router.GET("/admin/v1/status", s.endpointHandler("status", s.showStatus))
	router.POST("/admin/v1/workspaces/:workspace/keys", s.endpointHandler("issue-key", s.issueKey))
	router.DELETE("/admin/v1/workspaces/:workspace/keys/:key", s.endpointHandler("withdraw-key", s.withdrawKey))
	router.GET("/admin/v1/dump", s.endpointHandler("dump", s.showDump))
	router.GET("/admin/v1/explain/:request", s.endpointHandler("explain", s.explainRequest))
	router.GET("/debug/pprof/*profile", s.servePprof)
	router.GET("/healthz", s.healthz)
	router.GET("/readyz", s.readyz)
	if s.Gatherer != nil {
		router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	}
	router.NotFound = s.problemHandler(problem.New(problem.NotFound, "there is no such endpoint"))
	router.MethodNotAllowed = s.problemHandler(problem.New(problem.MethodNotAllowed, "the endpoint has other methods"))
	router.PanicHandler = s.handlePanic
	return router
}

// configVersion returns the number of the version applied on this host, or 0 if
// there is none.
func (s *server) configVersion() uint64 {
	if current := s.Current(); current != nil {
		return current.Version
	}
	return 0
}
