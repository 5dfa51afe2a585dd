package gateway

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coldstart"
	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/internal/pace"
	"github.com/arbutusbank/arbutusbank/internal/slowstart"
	"github.com/arbutusbank/arbutusbank/internal/statement"
)

// serveInternal serves the readiness check or the metrics until the listener is closed.
func (g *Gateway) serveInternal(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	if err := server.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
		g.log.Error(err, "Internal HTTP server failed.", "address", listener.Addr().String())
	}
}

func (g *Gateway) readyHandler() http.Handler {
	router := httprouter.New()
	router.GET(g.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

func (g *Gateway) metricsHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))
	router.GET("/state", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(g.State()); err != nil {
			g.log.Info("Failed to write the state dump.", "error", err.Error())
		}
	})
	router.POST("/route", g.serveRouteQuery)
	return router
}

// State is the state dump of a host.
type State struct {
	Host          string `json:"host"`
	Ready         bool   `json:"ready"`
	ConfigVersion int64  `json:"config_version"`
	ConfigAgeMS   int64  `json:"config_age_ms"`
	// ConfigNewestKnown is the newest version of the configuration that any host is known to have.
	ConfigNewestKnown int64 `json:"config_newest_known"`
	// TableGeneration is the generation of the table service; GenerationPending reports that
	// its confirmations don't count yet.
	TableGeneration    int64        `json:"table_generation"`
	GenerationPending  bool         `json:"generation_pending"`
	Lease              lease.Status `json:"lease"`
	CoordinatorReached bool         `json:"coordinator_reached"`
	InFlight           int64        `json:"requests_in_flight"`
	ViewEpoch          int64        `json:"view_epoch"`
	ViewVersion        int64        `json:"view_version"`
	Upstreams          int          `json:"upstreams"`
	// Hosts is the number of hosts with shares of the allowances, of the last exchange.
	Hosts int64 `json:"hosts"`
	// Quarantines are the requests and prompt segments that this host refuses.
	Quarantines []QuarantineDump `json:"quarantines"`
	// Queues are the queues in which requests wait for a slot of an upstream.
	Queues []admission.BacklogDump `json:"queues"`
	// Statements are what upstreams have said of themselves.
	Statements []statement.Dump `json:"statements"`
	// Evacuations are the data centers whose upstreams get nothing more.
	Evacuations []EvacuationDump `json:"evacuations"`
	// ColdUpstreams are the upstreams to which requests are limited.
	ColdUpstreams []coldstart.Dump `json:"cold_upstreams"`
	// Paces are the upstreams that answer notably faster or slower than usual.
	Paces []pace.Dump `json:"paces"`
	// SlowStarts are the windows of upstreams that started or recovered.
	SlowStarts []slowstart.Dump `json:"slow_starts"`
}

// State returns the state dump.
func (g *Gateway) State() State {
	epoch, version := g.registry.ViewVersion()
	return State{
		Host: g.settings.Host, Ready: g.Ready(), ConfigVersion: g.config.version(), ConfigAgeMS: g.config.age().Milliseconds(),
		ConfigNewestKnown: g.config.newestKnown(), TableGeneration: g.config.replica.Position().Generation, GenerationPending: g.config.generationPending(),
		Lease: g.elector.Status(), CoordinatorReached: g.exchanger.Reached(), InFlight: g.inFlight.Load(),
		ViewEpoch: epoch, ViewVersion: version, Upstreams: len(g.registry.Upstreams()),
		Hosts: g.exchanger.hostCount.Load(), Quarantines: g.exchanger.quarantine.dump(),
		Queues:     g.slots.dump(),
		Statements: g.registry.statements.Dump(clock.SinceBoot()), Evacuations: g.registry.evacuationDump(),
		ColdUpstreams: g.registry.cold.dump(), Paces: g.registry.paceDump(), SlowStarts: g.registry.slowStartDump(),
	}
}
