package deployment

import (
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

const (
	keyRandomBytes         = 16
	keysPerWorkspace       = 2
	unfencedEngineInterval = 3 // every n-th engine does not check fences
	highReplicaInterval    = 5 // every n-th model may have highMaxReplicas
	highMaxReplicas        = 4
	defaultMaxReplicas     = 2
	modelVersion           = "1"
	routeTimeoutMS         = 5000
)

// HostAddress holds the addresses that an entry host listens on, as "IP:port".
type HostAddress struct {
	Address     string
	PeerAddress string
}

// EngineSpec describes one engine of the deployment.
type EngineSpec struct {
	DataCenter  string
	MemoryBytes int64
	HostMemory  []string // models whose weights are initially cached in host memory
	Disk        []string // models whose weights are initially cached on local disk
	ChecksFence bool     // whether the engine rejects orders with an outdated fence
}

// PlainInstanceSpec describes one instance of the plain service.
type PlainInstanceSpec struct{ DataCenter string }

// Deployment is a generated deployment with its plaintext keys.
type Deployment struct {
	Shape          Shape
	Document       *config.Document
	CallerKeys     map[string][]string // plaintext keys by workspace; the document names them k1, k2, ...
	OperatorKeys   map[string]string   // plaintext key by operator
	HostNames      []string            // in the order of the addresses passed to Generate
	ModelNames     []string            // in the order of generation
	AdapterNames   []string
	Engines        []EngineSpec
	PlainInstances []PlainInstanceSpec
}

// Generate generates a deployment with one host per address; Shape.Hosts is not
// used. The same shape, seed and addresses give the same result.
func Generate(shape Shape, seed uint64, hosts []HostAddress) *Deployment {
	g := &generator{
		random: rand.New(rand.NewPCG(seed, 0)),
		deployment: &Deployment{
			Shape:        shape,
			CallerKeys:   map[string][]string{},
			OperatorKeys: map[string]string{},
		},
	}
	g.deployment.Document = &config.Document{
		Deployment: shape.Name,
		Defaults: config.Defaults{
			DeadlineMS: 30000, MaxDeadlineMS: 120000, MaxBodyBytes: 1 << 20, MaxTokens: 256, ClaimRetentionS: 86400,
		},
		Quota: config.Quota{Slots: shape.Slots, SlotsPerWorkspace: shape.Slots},
		WeightStore: config.WeightStore{
			LoadsPerS:            shape.LoadsPerS,
			ConcurrentLoads:      shape.ConcurrentLoads,
			AdapterLoadsInFlight: shape.AdapterLoadsInFlight,
		},
	}
	g.hosts(hosts)
	g.services()
	g.models()
	g.adapters()
	g.workspaces()
	g.operators()
	g.upstreams()
	return g.deployment
}

// DataCenter returns the data centre of the i-th host, engine or plain instance.
func (s Shape) DataCenter(i int) string { return s.DataCenters[i%len(s.DataCenters)] }

type generator struct {
	random     *rand.Rand
	deployment *Deployment
}

func (g *generator) hosts(addresses []HostAddress) {
	hosts := make(map[string]config.Host, len(addresses))
	for i, address := range addresses {
		name := fmt.Sprintf("h%d", i+1)
		g.deployment.HostNames = append(g.deployment.HostNames, name)
		hosts[name] = config.Host{
			Address:     address.Address,
			PeerAddress: address.PeerAddress,
			DataCenter:  g.deployment.Shape.DataCenter(i),
			Slots:       assignedSlots(i, len(addresses), g.deployment.Shape.Slots),
		}
	}
	g.deployment.Document.Hosts = hosts
}

// assignedSlots returns the slots of a host. The slots are distributed evenly
// over the hosts.
func assignedSlots(host, hosts, slots int) []int {
	assigned := []int{}
	for slot := host; slot < slots; slot += hosts {
		assigned = append(assigned, slot)
	}
	return assigned
}

func (g *generator) services() {
	shape := g.deployment.Shape
	plain := config.Service{Kind: config.ServicePlain}
	for _, route := range shape.Routes {
		plain.Routes = append(plain.Routes, config.Route{
			Method: route.Method, Path: route.Path, Idempotent: route.Idempotent, Open: route.Open, TimeoutMS: routeTimeoutMS,
		})
		if route.Open {
			g.deployment.Document.OpenRoutes = append(g.deployment.Document.OpenRoutes, config.OpenRoute{
				Service: shape.PlainService, Method: route.Method, Path: route.Path,
			})
		}
	}
	g.deployment.Document.Services = map[string]config.Service{
		shape.EngineService: {Kind: config.ServiceEngine},
		shape.PlainService:  plain,
	}
}

func (g *generator) models() {
	shape := g.deployment.Shape
	models := make(map[string]config.Model, shape.Models)
	for i := range shape.Models {
		name := fmt.Sprintf("m%02d", i+1)
		g.deployment.ModelNames = append(g.deployment.ModelNames, name)
		bytes := g.modelBytes()
		replicas := defaultMaxReplicas
		if i%highReplicaInterval == 0 {
			replicas = highMaxReplicas
		}
		models[name] = config.Model{
			Service:     shape.EngineService,
			Bytes:       bytes,
			Version:     modelVersion,
			MaxReplicas: replicas,
			LoadMS:      int(float64(bytes) / shape.StoreBytesPerS * float64(time.Second/time.Millisecond)),
		}
	}
	g.deployment.Document.Models = models
}

// modelBytes returns a random size, uniformly distributed on a logarithmic scale.
func (g *generator) modelBytes() int64 {
	low, high := math.Log(float64(g.deployment.Shape.MinModelBytes)), math.Log(float64(g.deployment.Shape.MaxModelBytes))
	return int64(math.Exp(low + g.random.Float64()*(high-low)))
}

func (g *generator) adapters() {
	adapters := make(map[string]config.Adapter, g.deployment.Shape.Adapters)
	for i := range g.deployment.Shape.Adapters {
		name := fmt.Sprintf("a%02d", i+1)
		g.deployment.AdapterNames = append(g.deployment.AdapterNames, name)
		adapters[name] = config.Adapter{
			Model:   g.deployment.ModelNames[g.random.IntN(len(g.deployment.ModelNames))],
			Bytes:   g.deployment.Shape.AdapterBytes,
			Version: modelVersion,
		}
	}
	g.deployment.Document.Adapters = adapters
}

func (g *generator) workspaces() {
	workspaces := make(map[string]config.Workspace, len(g.deployment.Shape.Workspaces))
	for _, shape := range g.deployment.Shape.Workspaces {
		keys := make(map[string]config.Key, keysPerWorkspace)
		for i := range keysPerWorkspace {
			plaintext := g.newKey(shape.Name)
			keys[fmt.Sprintf("k%d", i+1)] = config.Key{SHA256: config.HashKey(plaintext)}
			g.deployment.CallerKeys[shape.Name] = append(g.deployment.CallerKeys[shape.Name], plaintext)
		}
		workspaces[shape.Name] = config.Workspace{
			RateTokensPerS: shape.RateTokensPerS,
			BurstTokens:    shape.BurstTokens,
			Weight:         shape.Weight,
			Priority:       shape.Priority,
			Models:         []string{"*"},
			Services:       []string{"*"},
			Keys:           keys,
			Isolation:      config.Isolation{Mode: config.IsolationServe},
		}
	}
	g.deployment.Document.Workspaces = workspaces
}

func (g *generator) operators() {
	operators := make(map[string]config.Operator, len(g.deployment.Shape.Operators))
	for _, name := range g.deployment.Shape.Operators {
		plaintext := g.newKey(name)
		g.deployment.OperatorKeys[name] = plaintext
		operators[name] = config.Operator{KeySHA256: config.HashKey(plaintext)}
	}
	g.deployment.Document.Operators = operators
}

// newKey returns a plaintext key. It can be reproduced from the seed, so it is only
// for tests and demonstrations.
func (g *generator) newKey(owner string) string {
	random := make([]byte, keyRandomBytes)
	for i := range random {
		random[i] = byte(g.random.Uint32())
	}
	return "key-" + owner + "-" + hex.EncodeToString(random)
}

func (g *generator) upstreams() {
	shape := g.deployment.Shape
	for i := range shape.Engines {
		spec := EngineSpec{
			DataCenter:  shape.DataCenter(i),
			MemoryBytes: shape.EngineMemoryBytes,
			ChecksFence: i%unfencedEngineInterval != unfencedEngineInterval-1,
		}
		for _, model := range g.deployment.ModelNames {
			switch draw := g.random.Float64(); {
			case draw < shape.HostMemoryProbability:
				spec.HostMemory = append(spec.HostMemory, model)
			case draw < shape.HostMemoryProbability+shape.DiskProbability:
				spec.Disk = append(spec.Disk, model)
			}
		}
		g.deployment.Engines = append(g.deployment.Engines, spec)
	}
	for i := range shape.PlainInstances {
		g.deployment.PlainInstances = append(g.deployment.PlainInstances, PlainInstanceSpec{DataCenter: shape.DataCenter(i)})
	}
}
