// Package fleet runs a complete deployment in one process over loopback: stand-ins
// for the platform, the engines and the services, a simulated network between data
// centres, and real entry hosts. Experiments, tests and the demo use it.
package fleet

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/deployment"
	"github.com/arbutusbank/arbutusbank/internal/loadgen"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/settings"
	"github.com/arbutusbank/arbutusbank/internal/standin/engine"
	standinplatform "github.com/arbutusbank/arbutusbank/internal/standin/platform"
	"github.com/arbutusbank/arbutusbank/internal/standin/service"
)

const (
	anyLoopbackPort = "127.0.0.1:0"
	// Credential is the credential that the hosts send to upstreams.
	Credential        = "system-credential"
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	shutdownTimeout   = 30 * time.Second

	// Behaviour of the stand-ins that deployment.Shape does not set.
	reportInterval     = 100 * time.Millisecond
	cacheEventDelay    = 200 * time.Millisecond
	cacheEventGapRatio = 0.02
	prefillPerToken    = 50 * time.Microsecond
	diskSlots          = 16
	hostMemorySlots    = 3
	restartTime        = time.Second
	unloadTime         = 10 * time.Millisecond
	hostListLag        = 500 * time.Millisecond
	serviceLatency     = 5 * time.Millisecond
	platformLatency    = time.Millisecond
	ownerOnlyMode      = 0o600
	bootstrapFile      = "bootstrap.json"
	credentialFile     = "credential"
	tempDirPattern     = "arbutusbank-fleet-*"
)

// CacheBlocks is the capacity of the prefix cache of each engine, in blocks of
// routing.BlockBytes; about 32,000 tokens.
const CacheBlocks = 2048

// Options configure a fleet.
type Options struct {
	Shape     deployment.Shape // Shape.Hosts is the number of entry hosts
	Seed      uint64
	Policies  settings.Policies // zero value: the defaults of the hosts
	StartHost StartHost
	// DiscardRuns disables the engines' record of each run.
	DiscardRuns bool
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment *deployment.Deployment
	Platform   *standinplatform.Server
	Store      *engine.WeightStore
	Engines    []*engine.Engine
	Services   []*service.Service
	Started    time.Time // time before the first host was started

	options         Options
	platformServer  *http.Server
	platformAddress string
	network         *network
	tempDir         string
	specs           []HostSpec
	hosts           []RunningHost
}

// Start starts the deployment and waits until every host is ready. On an error it
// stops what was started. Errors are *SetupError, *NotReadyError or those of
// Options.StartHost.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{options: options, network: newNetwork(options.Shape.Latency)}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	addresses, err := reserveAddresses(f.options.Shape.Hosts)
	if err != nil {
		return err
	}
	f.Deployment = deployment.Generate(f.options.Shape, f.options.Seed, addresses)
	steps := []func() error{f.startPlatform, f.startEngines, f.startServices, f.connectNetwork, f.writeFiles}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	f.Platform.SetHosts(f.hostList())
	f.Started = time.Now()
	if err := f.startHosts(ctx); err != nil {
		return err
	}
	for i := range f.specs {
		if err := f.waitReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// reserveAddresses finds free ports for the hosts. The configuration of every host
// contains them, so they are chosen, and released again, before the hosts listen.
// They are on a loopback address that no other process uses: on 127.0.0.1 an
// outgoing connection or another fleet could take a released port.
func reserveAddresses(hosts int) ([]deployment.HostAddress, error) {
	list := make([]deployment.HostAddress, hosts)
	for i := range list {
		for _, address := range []*string{&list[i].Address, &list[i].PeerAddress} {
			listener, err := net.Listen("tcp", HostLoopback()+":0")
			if err != nil {
				return nil, &SetupError{Step: "reserve a port", Cause: err}
			}
			defer listener.Close()
			*address = listener.Addr().String()
		}
	}
	return list, nil
}

// HostLoopback returns a loopback IP derived from the process ID. Outgoing connections use
// 127.0.0.1, so none of them can take a port there between its choice and its use.
func HostLoopback() string {
	const first = 64 // second octets 64 to 127
	pid := os.Getpid()
	return net.IPv4(127, byte(first+pid>>16&63), byte(pid>>8), byte(max(1, pid&255))).String()
}

func (f *Fleet) startPlatform() error {
	f.Platform = standinplatform.New(f.options.Seed)
	f.SetPlatformFaults(standinplatform.Faults{})
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return &SetupError{Step: "platform", Cause: err}
	}
	f.platformAddress = listener.Addr().String()
	f.platformServer = &http.Server{Handler: f.Platform}
	go func() { _ = f.platformServer.Serve(listener) }() // returns an error after Close
	return nil
}

// SetPlatformFaults replaces the faults that the platform injects. The normal
// latency and host list lag are added to those of the faults.
func (f *Fleet) SetPlatformFaults(faults standinplatform.Faults) {
	faults.LatencyMS += int(platformLatency.Milliseconds())
	faults.ListLagMS += int(hostListLag.Milliseconds())
	f.Platform.SetFaults(faults)
}

func (f *Fleet) startEngines() error {
	shape := f.options.Shape
	f.Store = engine.NewWeightStore(engine.WeightStoreOptions{
		BytesPerS:            shape.StoreBytesPerS,
		LoadsPerS:            shape.LoadsPerS,
		ConcurrentLoads:      shape.ConcurrentLoads,
		AdapterLoadTime:      shape.AdapterLoadTime,
		AdapterLoadsInFlight: shape.AdapterLoadsInFlight,
	})
	for i, spec := range f.Deployment.Engines {
		e, err := engine.Start(f.engineOptions(i, spec))
		if err != nil {
			return &SetupError{Step: "engine", Cause: err}
		}
		f.Engines = append(f.Engines, e)
	}
	return nil
}

func (f *Fleet) engineOptions(i int, spec deployment.EngineSpec) engine.Options {
	shape := f.options.Shape
	return engine.Options{
		Address:             anyLoopbackPort,
		MemoryBytes:         spec.MemoryBytes,
		HostMemory:          spec.HostMemory,
		Disk:                spec.Disk,
		HostMemorySlots:     hostMemorySlots,
		DiskSlots:           diskSlots,
		HostMemoryBytesPerS: shape.HostMemoryBytesPerS,
		DiskBytesPerS:       shape.DiskBytesPerS,
		Store:               f.Store,
		UnloadTime:          unloadTime,
		MaxBatch:            shape.MaxBatch,
		TokenInterval:       shape.TokenInterval,
		PrefillPerToken:     prefillPerToken,
		ReportInterval:      reportInterval,
		CacheBlocks:         CacheBlocks,
		CacheEventDelay:     cacheEventDelay,
		CacheEventGapRatio:  cacheEventGapRatio,
		ChecksFence:         spec.ChecksFence,
		RestartTime:         restartTime,
		DiscardRuns:         f.options.DiscardRuns,
		Seed:                f.options.Seed + uint64(i),
	}
}

func (f *Fleet) startServices() error {
	for range f.Deployment.PlainInstances {
		s, err := service.Start(service.Options{Address: anyLoopbackPort, Latency: serviceLatency, RestartTime: restartTime})
		if err != nil {
			return &SetupError{Step: "service", Cause: err}
		}
		f.Services = append(f.Services, s)
	}
	return nil
}

// connectNetwork sets up the simulated network: an address is reached directly from
// its own data centre, and through a relay over a link from any other.
func (f *Fleet) connectNetwork() error {
	for _, entry := range f.hostList() {
		if entry.Kind != platform.KindEntry {
			f.network.setLocation(entry.Address, entry.DataCenter)
		}
	}
	for _, name := range f.Deployment.HostNames {
		host := f.Deployment.Document.Hosts[name]
		f.network.setLocation(host.PeerAddress, host.DataCenter)
	}
	f.network.setLocation(f.platformAddress, platformLocation)
	return f.network.startRelays(f.options.Shape.DataCenters)
}

func (f *Fleet) writeFiles() error {
	tempDir, err := os.MkdirTemp("", tempDirPattern)
	if err != nil {
		return &SetupError{Step: "temporary directory", Cause: err}
	}
	f.tempDir = tempDir
	document, err := f.Deployment.Document.Canonical()
	if err != nil {
		return &SetupError{Step: "bootstrap configuration", Cause: err}
	}
	if err := os.WriteFile(filepath.Join(tempDir, bootstrapFile), document, ownerOnlyMode); err != nil {
		return &SetupError{Step: "bootstrap configuration", Cause: err}
	}
	if err := os.WriteFile(filepath.Join(tempDir, credentialFile), []byte(Credential), ownerOnlyMode); err != nil {
		return &SetupError{Step: "credential", Cause: err}
	}
	return nil
}

func (f *Fleet) hostList() []platform.HostEntry {
	var list []platform.HostEntry
	shape := f.options.Shape
	for i, e := range f.Engines {
		list = append(list, platform.HostEntry{
			Address: e.Address(), Kind: platform.KindEngine, Service: shape.EngineService,
			DataCenter: f.Deployment.Engines[i].DataCenter, State: platform.StateLive,
		})
	}
	for i, s := range f.Services {
		list = append(list, platform.HostEntry{
			Address: s.Address(), Kind: platform.KindService, Service: shape.PlainService,
			DataCenter: f.Deployment.PlainInstances[i].DataCenter, State: platform.StateLive,
		})
	}
	for _, name := range f.Deployment.HostNames {
		host := f.Deployment.Document.Hosts[name]
		list = append(list, platform.HostEntry{
			Address: host.Address, Kind: platform.KindEntry, DataCenter: host.DataCenter, State: platform.StateLive,
		})
	}
	return list
}

// MarkLeaving sets the state of an upstream to leaving in the platform's host list.
func (f *Fleet) MarkLeaving(address string) {
	list := f.hostList()
	for i := range list {
		if list[i].Address == address {
			list[i].State = platform.StateLeaving
		}
	}
	f.Platform.SetHosts(list)
}

func (f *Fleet) startHosts(ctx context.Context) error {
	for _, name := range f.Deployment.HostNames {
		spec := f.hostSpec(name)
		host, err := f.options.StartHost(ctx, spec)
		if err != nil {
			return err
		}
		f.specs = append(f.specs, spec)
		f.hosts = append(f.hosts, host)
	}
	return nil
}

func (f *Fleet) hostSpec(name string) HostSpec {
	host := f.Deployment.Document.Hosts[name]
	s := settings.Default()
	s.Host = name
	s.DataCenter = host.DataCenter
	s.Listen = host.Address
	s.PeerListen = host.PeerAddress
	s.AddressMap = f.network.addressMap(host.DataCenter)
	s.Platform = s.AddressMap.Resolve(f.platformAddress)
	s.BootstrapConfig = filepath.Join(f.tempDir, bootstrapFile)
	s.UpstreamCredentialFile = filepath.Join(f.tempDir, credentialFile)
	s.ShutdownTimeoutS = int(shutdownTimeout.Seconds())
	if f.options.Policies != (settings.Policies{}) {
		s.Policies = f.options.Policies
	}
	for _, other := range f.Deployment.HostNames {
		if other != name {
			s.BootstrapPeers = append(s.BootstrapPeers, f.Deployment.Document.Hosts[other].PeerAddress)
		}
	}
	return HostSpec{Settings: s}
}

// waitReady polls /readyz of a host until it returns status 200. It returns
// *NotReadyError after readyTimeout.
func (f *Fleet) waitReady(ctx context.Context, i int) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	listen := f.specs[i].Settings.Listen
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(readyPollInterval) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listen+"/readyz", nil)
		if err != nil {
			return &SetupError{Step: "readiness", Cause: err}
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close() // only the status matters
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return &NotReadyError{Host: f.specs[i].Settings.Host, Address: listen}
}

// ReplaceHost shuts down the i-th host gracefully and starts it again with the same
// settings. It returns the time from the start until the host was ready.
func (f *Fleet) ReplaceHost(ctx context.Context, i int) (time.Duration, error) {
	shutdown, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := f.hosts[i].Shutdown(shutdown); err != nil {
		return 0, err
	}
	started := time.Now()
	host, err := f.options.StartHost(ctx, f.specs[i])
	if err != nil {
		return 0, err
	}
	f.hosts[i] = host
	err = f.waitReady(ctx, i)
	return time.Since(started), err
}

// SetDataCenterPartitioned partitions a data centre from the platform and from all
// other data centres, or restores its links.
func (f *Fleet) SetDataCenterPartitioned(name string, partitioned bool) {
	f.network.setPartitioned(name, partitioned)
}

// Population returns the addresses, models and workspaces that a load generator
// uses. Base models and "model:adapter" names alternate, in the order of generation.
func (f *Fleet) Population() *loadgen.Target {
	d := f.Deployment
	population := &loadgen.Target{Workspaces: map[string]loadgen.Workspace{}}
	for _, name := range d.HostNames {
		population.Hosts = append(population.Hosts, d.Document.Hosts[name].Address)
	}
	population.Models = interleaveModelNames(d)
	for name, keys := range d.CallerKeys {
		population.Workspaces[name] = loadgen.Workspace{
			Key: keys[0], RateTokensPerS: d.Document.Workspaces[name].RateTokensPerS,
		}
	}
	return population
}

// interleaveModelNames alternates base models and adapters, so that both kinds are
// among the popular and the rare names of a load generator.
func interleaveModelNames(d *deployment.Deployment) []string {
	names := make([]string, 0, len(d.ModelNames)+len(d.AdapterNames))
	for i := range max(len(d.ModelNames), len(d.AdapterNames)) {
		if i < len(d.ModelNames) {
			names = append(names, d.ModelNames[i])
		}
		if i < len(d.AdapterNames) {
			adapter := d.AdapterNames[i]
			names = append(names, d.Document.Adapters[adapter].Model+":"+adapter)
		}
	}
	return names
}

// Stop kills the hosts and stops all stand-ins and relays.
func (f *Fleet) Stop() {
	for _, host := range f.hosts {
		host.Kill()
	}
	f.network.close()
	for _, e := range f.Engines {
		e.Stop()
	}
	for _, s := range f.Services {
		s.Stop()
	}
	if f.platformServer != nil {
		_ = f.platformServer.Close() // the stand-in holds no persistent state
	}
	if f.tempDir != "" {
		_ = os.RemoveAll(f.tempDir) // temporary files only
	}
}

// PrefillPerToken returns the time that an engine takes per prompt token that
// is not cached.
func (f *Fleet) PrefillPerToken() time.Duration { return prefillPerToken }
