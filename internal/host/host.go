// Package host assembles a host, the process of "arbutusbank serve": the HTTP interfaces
// for callers and operators, the request path, the control goroutine, and the
// communication with other hosts. A gateway host is the other program, "arbutusbank
// gateway" (package gateway).
package host

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/caller"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/explain"
	"github.com/arbutusbank/arbutusbank/internal/idempotency"
	"github.com/arbutusbank/arbutusbank/internal/inference"
	"github.com/arbutusbank/arbutusbank/internal/intake"
	"github.com/arbutusbank/arbutusbank/internal/liveness"
	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/membership"
	"github.com/arbutusbank/arbutusbank/internal/peer"
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/quota"
	"github.com/arbutusbank/arbutusbank/internal/retry"
	"github.com/arbutusbank/arbutusbank/internal/routing"
	"github.com/arbutusbank/arbutusbank/internal/scaling"
	"github.com/arbutusbank/arbutusbank/internal/service"
	"github.com/arbutusbank/arbutusbank/internal/settings"
)

const (
	// explainRecords is the number of recent requests whose decisions are kept
	// for operators; a record takes about 1 KB.
	explainRecords = 4096
	// workerDialTimeout bounds a connection attempt to a plain service.
	workerDialTimeout = time.Second
)

// Host serves callers and operators and takes part in the control of the system:
// configuration, placement of models, quota and membership. It is created by New;
// Run serves until its context ends.
type Host struct {
	settings    settings.Settings
	options     Options
	log         logr.Logger
	clock       clock.Clock
	incarnation uint64
	started     time.Time
	registry    *prometheus.Registry

	// Clients of the platform, the engines and the other hosts.
	platform *platform.Client
	engines  *engineClients
	mesh     *peer.Mesh
	owners   owners

	// Control state, modified only by the control goroutine.
	control             *controlLoop
	store               *configstore.Store
	follower            *configstore.Follower
	members             *membership.Table
	monitor             *engine.Monitor
	loading             *loading.Manager
	previouslyWaiting   map[string]bool
	weightsWithCapacity map[loading.Weights]bool // weights with replicas or announced loads at the last update
	targets             []engine.Target

	// Request path state, safe for concurrent use.
	quota     *quota.Manager
	limiter   *quota.Limiter
	ledger    *quota.Ledger
	admission *admission.Controller
	tracker   *routing.Tracker
	suspects  *retry.Suspects
	budgets   *retry.Budgets
	claims    *idempotency.Store
	watcher   *inference.Watcher
	active    *caller.ActiveRequests
	explain   *explain.Log
	replicas  *replicas
	hints     *loadHints
	callers   *caller.Handler
	handler   http.Handler

	platformRespondedAt atomic.Int64 // time of the platform's last response, in ns since started
	ready               atomic.Bool
	draining            atomic.Bool
	signs               atomic.Pointer[[]*peerpb.Sign] // signs to send in heartbeats
	slotSyncRequests    chan struct{}
	waitingSlots        prometheus.Gauge
	// lastReportedWaiting is used only by the goroutine of runSlotSync.
	lastReportedWaiting int
	liveSet             atomic.Pointer[liveSet]
	failedCalls         sync.Map // host name -> time of the last failed call
	loadedCounts        sync.Map // engine address -> number of loaded weights
	background          conc.WaitGroup
	killed              chan struct{}
	idleConns           *idleConns
	intake              *intake.Guard
	addresses           atomic.Pointer[Addresses]
}

// Addresses holds the listen addresses of a running host.
type Addresses struct {
	Listen     string `json:"listen"`
	PeerListen string `json:"peer_listen"`
}

// New returns a host with the given options. It performs no I/O. It returns an
// error if the scaling policy of the settings is invalid.
func New(options Options) (*Host, error) {
	scalingPolicy, err := scaling.New(options.Settings.Policies.Scaling)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings:         options.Settings,
		options:          options,
		log:              options.Logger.WithName("host").WithValues("host", options.Settings.Host),
		clock:            clock.System{},
		started:          time.Now(),
		registry:         prometheus.NewRegistry(),
		control:          newControlLoop(),
		slotSyncRequests: make(chan struct{}, 1),
		killed:           make(chan struct{}),
		idleConns:        newIdleConns(),
	}
	// The start time is unique among incarnations: a process cannot restart
	// within the same nanosecond.
	h.incarnation = uint64(h.started.UnixNano())
	h.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	h.intake = intake.New(intake.Options{
		Memory: int64(h.settings.MemoryMB) << 20, Descriptors: h.settings.MaxDescriptors, Prefix: "arbutusbank_",
		Timeouts: func() intake.Timeouts { return intake.Timeouts{Head: readHeaderTimeout, Idle: idleTimeout} },
	})
	h.registry.MustRegister(h.intake.Collectors()...)
	h.buildPeers()
	h.buildConfiguration()
	h.buildUpstreams(scalingPolicy)
	h.buildTraffic()
	h.buildHandlers()
	return h, nil
}

func (h *Host) buildPeers() {
	h.platform = platform.NewClient(h.settings.AddressMap.Resolve(h.settings.Platform))
	h.engines = newEngineClients(h.settings.AddressMap)
	identity := peer.Identity{Host: h.settings.Host, DataCenter: h.settings.DataCenter, Incarnation: h.incarnation}
	h.mesh = peer.NewMesh(identity, h.peerHandlers(), peer.Options{Log: h.log, Registerer: h.registry})
}

func (h *Host) buildConfiguration() {
	h.store = configstore.NewStore(configstore.StoreOptions{
		Table: h.platform, Objects: h.platform, Logger: h.log, Registerer: h.registry,
	})
	h.follower = configstore.NewFollower(configstore.FollowerOptions{
		Store: h.store, Peers: configPeers{h}, Host: h.settings.Host, DataCenter: h.settings.DataCenter,
		ShouldPoll: h.shouldPoll, Usable: h.peerUsable, Logger: h.log, Registerer: h.registry,
	})
	h.follower.OnApply(h.applyConfiguration)
}

func (h *Host) buildUpstreams(policy scaling.Policy) {
	h.members = membership.NewTable()
	h.monitor = engine.NewMonitor(engine.MonitorOptions{
		Clock: h.clock, Logger: h.log, Registerer: h.registry, Client: h.engines.client,
		Callbacks: engine.Callbacks{
			OnReport: h.handleEngineReport, OnRestart: h.handleEngineRestart,
			OnRefused: h.handleEngineRefusal, OnCacheEvents: h.handleCacheEvents,
		},
	})
	h.loading = loading.New(loading.Options{
		Table: h.platform, View: h.monitor.View, PollNow: h.monitor.PollNow,
		Client:  func(address string) loading.OrderSender { return h.engines.client(address) },
		Config:  h.follower.Current,
		IsOwner: h.ownsModel, Peers: demandPeers{h},
		Host: h.settings.Host, DataCenter: h.settings.DataCenter,
		Logger: h.log, Registerer: h.registry, Scaling: policy,
	})
	h.hints = newLoadHints()
	h.replicas = &replicas{host: h, loading: h.loading}
	h.replicas.view.Store(newUpstreamView(nil))
}

func (h *Host) buildTraffic() {
	policies, limits := h.settings.Policies, h.settings.Limits
	h.quota = quota.NewManager(h.clock, h.settings.Host, h.incarnation)
	h.limiter = quota.NewLimiter(h.quota, h.mesh, quota.Policy(policies.Quota), h.registry)
	h.waitingSlots = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "arbutusbank_quota_slots_waiting",
		Help: "Quota slots that the configuration gives to this host and that are not in use yet.",
	})
	h.registry.MustRegister(h.waitingSlots)
	h.ledger = quota.NewLedger(h.platform, h.quota)
	h.admission = admission.NewController(h.clock, admission.Policy(policies.Admission),
		admission.Limits{Waiting: limits.QueueTotal, WaitingPerWorkspace: limits.QueuePerWorkspace}, h.registry)
	h.tracker = routing.NewTracker(routing.DefaultIndexBlocks, h.settings.Host+"-", h.registry)
	h.suspects = retry.NewSuspects(h.registry)
	h.suspects.Segments().SetOwner(h.ownsTrials)
	h.budgets = &retry.Budgets{}
	h.claims = idempotency.NewStore(idempotency.Config{
		Table: h.platform, Objects: h.platform, Clock: h.clock,
		Incarnation: incarnationName(h.settings.Host, h.incarnation), Registerer: h.registry, Log: h.log,
	})
	h.watcher = inference.NewWatcher(h.clock, h.freshReport, liveness.NewMetrics(h.registry))
	h.active = caller.NewActiveRequests()
	h.explain = explain.NewLog(explainRecords)
}

func (h *Host) buildHandlers() {
	retries := retry.NewMetrics(h.registry)
	params := routing.DefaultParams
	params.Policy = routing.Policy(h.settings.Policies.Routing)
	h.callers = caller.New(caller.Options{
		HostName: h.settings.Host, Incarnation: h.incarnation,
		Current: h.follower.Current, Isolated: h.isolatedFor,
		Inference: inference.NewExecutor(inference.Options{
			DataCenter: h.settings.DataCenter, Credential: h.options.Credential, Clock: h.clock,
			Limiter: h.limiter, Admission: h.admission, Replicas: engineReplicas{h.replicas},
			Upstreams: engineUpstreams{h}, Tracker: h.tracker, Routing: params,
			Suspects: h.suspects, Budgets: h.budgets, Retries: retries, Watcher: h.watcher, Logger: h.log,
		}),
		Services: service.NewExecutor(service.Options{
			DataCenter: h.settings.DataCenter, Clock: h.clock, Limiter: h.limiter, Admission: h.admission,
			Workers: serviceWorkers{h.replicas}, Tracker: h.tracker, Routing: params, Claims: h.claims,
			Transport: mappedTransport{
				addresses: h.settings.AddressMap,
				client:    service.NewClient(h.options.Credential, liveness.NewDialer(workerDialTimeout)),
			},
			Suspects: h.suspects, Budgets: h.budgets, Retries: retries, Logger: h.log,
		}),
		Active: h.active, Explain: h.explain, Metrics: caller.NewMetrics(h.registry), Logger: h.log,
		MaxConcurrent: h.settings.Limits.MaxConnections,
	})
	h.handler = h.newHandler()
}

// freshReport fetches an engine's report over a new connection, not a pooled one.
func (h *Host) freshReport(ctx context.Context, address string) (*engine.Report, error) {
	return h.engines.client(address).ReportOverNewConnection(ctx)
}
