// Package intake bounds what the callers of a host take: memory of bodies, responses and
// request heads, and connections. It sits between the callers' listener and an HTTP server and
// applies the decisions of package membudget.
package intake

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/membudget"
)

const (
	// fileDescriptors are kept for files and the listeners.
	fileDescriptors = 200
	// callersPart is the part of the other descriptors that connections of callers may use; the
	// rest is for upstreams, the store and other hosts.
	callersPart = 0.75
	// minConnections applies where the descriptors would leave fewer.
	minConnections = 64
	// silentGrace is how long a new connection, or one with an incomplete head, is not closed for
	// lack of connections; idleGrace applies to those between two requests.
	silentGrace = 500 * time.Millisecond
	idleGrace   = time.Second
	// bodyGrace is how long a body may wait for its first bytes, and a response for its caller to
	// read, before it counts as stalled.
	bodyGrace = time.Second
	// lingerTime is how long a connection that is closed with unread bytes stays half open: a full
	// close would reset it before the caller has read the refusal.
	lingerTime = 500 * time.Millisecond
)

// Timeouts bound how long a connection waits for a head and, between requests, for the next
// one.
type Timeouts struct{ Head, Idle time.Duration }

// Options configure a Guard.
type Options struct {
	// Memory is the host's memory in bytes; 0: not limited.
	Memory int64
	// Descriptors is the number of descriptors of the process; 0: its resource limit.
	Descriptors int
	// Timeouts returns the current timeouts.
	Timeouts func() Timeouts
	// Prefix begins the names of the metrics.
	Prefix string
}

// Guard bounds what callers take. It is safe for concurrent use.
type Guard struct {
	options     Options
	budget      *membudget.Budget
	start       time.Time
	connections atomic.Int64
	patient     atomic.Bool  // a response waits for patientWait
	lingering   atomic.Int64 // connections that are closed and stay half open for lingerTime
	refusals    *prometheus.CounterVec
}

// New returns a guard.
func New(options Options) *Guard {
	limits := membudget.LimitsOf(options.Memory, maxConnections(options.Descriptors))
	return &Guard{
		options: options, budget: membudget.New(limits), start: time.Now(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: options.Prefix + "intake_refusals_total",
			Help: "Requests and connections of callers that were refused or closed, by reason (memory, stalled, too_large, connections).",
		}, []string{"reason"}),
	}
}

// maxConnections returns the number of callers' connections for a number of descriptors.
func maxConnections(descriptors int) int {
	if descriptors <= 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return 1 << 20 // unknown; accepting fails where there are none left
		}
		descriptors = int(min(limit.Cur, 1<<30))
	}
	return max(int(float64(descriptors-fileDescriptors)*callersPart), minConnections)
}

// Collectors returns the metrics.
func (g *Guard) Collectors() []prometheus.Collector {
	collectors := []prometheus.Collector{g.refusals, prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: g.options.Prefix + "caller_connections", Help: "Open connections of callers."},
		func() float64 { return float64(g.connections.Load()) },
	)}
	return append(collectors, &reservedCollector{g.budget, prometheus.NewDesc(
		g.options.Prefix+"reserved_bytes", "Memory reserved for callers, by kind.", []string{"kind"}, nil,
	)})
}

// reservedCollector exports the reserved bytes of each kind.
type reservedCollector struct {
	budget      *membudget.Budget
	description *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *reservedCollector) Describe(to chan<- *prometheus.Desc) { to <- c.description }

// Collect implements prometheus.Collector.
func (c *reservedCollector) Collect(to chan<- prometheus.Metric) {
	for _, kind := range membudget.Kinds {
		to <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, float64(c.budget.Used(kind)), kind.String())
	}
}

func (g *Guard) now() time.Duration { return time.Since(g.start) }

func (g *Guard) count(reason string) { g.refusals.WithLabelValues(reason).Inc() }

// connKey is the context key of a connection.
type connKey struct{}

// Attach makes a server use the guard. It is called before the server serves, after everything
// else that sets its hooks. The guard's timeouts replace those of the server.
func (g *Guard) Attach(server *http.Server) {
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	connState, connContext, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*conn); ok {
			guarded.observe(state)
		}
		if connState != nil {
			connState(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if guarded, ok := c.(*conn); ok {
			ctx = context.WithValue(ctx, connKey{}, guarded)
		}
		return ctx
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if c.evicted.Load() {
			_ = c.turnAway() // the request does not run
			panic(http.ErrAbortHandler)
		}
		exchange := &Exchange{guard: g, conn: c}
		c.exchange.Store(exchange)
		defer exchange.close()
		if r.ProtoAtLeast(1, 1) {
			handler.ServeHTTP(w, r)
			return
		}
		c.unframed.begin(c)
		handler.ServeHTTP(w, r)
		c.unframed.handled.Store(true) // not after a panic
	})
}

// Listener returns a listener that bounds the connections accepted from another one.
func (g *Guard) Listener(inner net.Listener) net.Listener { return &listener{inner, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. A connection for which there is no room is told that its
// request has not run, and closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit returns the guarded connection, nil if there is no room for it.
func (g *Guard) admit(inner net.Conn) *conn {
	c := &conn{Conn: inner, guard: g}
	if address, err := netip.ParseAddrPort(inner.RemoteAddr().String()); err == nil {
		c.source = address.Addr().Unmap()
	}
	c.account = g.budget.Open(membudget.Connections, c.source, c.evict)
	decision := c.account.Reserve(membudget.ConnectionBytes, g.now())
	for _, evict := range decision.Evict {
		evict()
	}
	g.connections.Add(1)
	if !decision.Granted {
		g.count("connections")
		c.refuse(unavailableResponse)
		return nil
	}
	c.await(silentGrace, g.options.Timeouts().Head)
	return c
}
