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
	keyRandomBytes    = 16
	keysPerWorkspace  = 2
	fencedEngineEvery = 3 // one engine of so many ignores fencing numbers
	largeReplicaEvery = 5 // one model of so many may have more replicas
	manyReplicas      = 4
	fewReplicas       = 2
	modelVersion      = "1"
	routeTimeoutMS    = 5000
)

// HostAddress is where one entry host listens, as "IP:port".
type HostAddress struct {
	Address     string
	PeerAddress string
}

// EngineSpec describes one engine of the deployment.
type EngineSpec struct {
	DataCenter  string
	MemoryBytes int64
	HostMemory  []string // models whose checkpoints are in its host memory
	Disk        []string // models whose checkpoints are on its disk
	ChecksFence bool
}

// PlainInstanceSpec describes one instance of the plain service.
type PlainInstanceSpec struct{ DataCenter string }

// Deployment is a generated deployment with its clear keys.
type Deployment struct {
	Shape          Shape
	Document       *config.Document
	CallerKeys     map[string][]string // clear keys by workspace; keys are named k1, k2, ...
	OperatorKeys   map[string]string   // clear key by operator
	HostNames      []string            // in the order of the addresses given
	ModelNames     []string            // in order of generation
	AdapterNames   []string
	Engines        []EngineSpec
	PlainInstances []PlainInstanceSpec
}

// Generate builds a deployment. The same shape, seed and addresses give the
// same result. The shape's number of hosts is that of the addresses.
func Generate(shape Shape, seed uint64, hosts []HostAddress) *Deployment {
	g := &generator{
		random: rand.New(rand.NewPCG(seed, 0)),
		out: &Deployment{
			Shape:        shape,
			CallerKeys:   map[string][]string{},
			OperatorKeys: map[string]string{},
		},
	}
	g.out.Document = &config.Document{
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
	return g.out
}

// DataCenter returns the data centre of the i-th host or upstream.
func (s Shape) DataCenter(i int) string { return s.DataCenters[i%len(s.DataCenters)] }

type generator struct {
	random *rand.Rand
	out    *Deployment
}

func (g *generator) hosts(addresses []HostAddress) {
	hosts := make(map[string]config.Host, len(addresses))
	for i, address := range addresses {
		name := fmt.Sprintf("h%d", i+1)
		g.out.HostNames = append(g.out.HostNames, name)
		hosts[name] = config.Host{
			Address:     address.Address,
			PeerAddress: address.PeerAddress,
			DataCenter:  g.out.Shape.DataCenter(i),
			Slots:       slotsOf(i, len(addresses), g.out.Shape.Slots),
		}
	}
	g.out.Document.Hosts = hosts
}

// slotsOf deals the slots out evenly.
func slotsOf(host, hosts, slots int) []int {
	owned := []int{}
	for slot := host; slot < slots; slot += hosts {
		owned = append(owned, slot)
	}
	return owned
}

func (g *generator) services() {
	shape := g.out.Shape
	plain := config.Service{Kind: config.ServicePlain}
	for _, route := range shape.Routes {
		plain.Routes = append(plain.Routes, config.Route{
			Method: route.Method, Path: route.Path, Idempotent: route.Idempotent, Open: route.Open, TimeoutMS: routeTimeoutMS,
		})
		if route.Open {
			g.out.Document.OpenRoutes = append(g.out.Document.OpenRoutes, config.OpenRoute{
				Service: shape.PlainService, Method: route.Method, Path: route.Path,
			})
		}
	}
	g.out.Document.Services = map[string]config.Service{
		shape.EngineService: {Kind: config.ServiceEngine},
		shape.PlainService:  plain,
	}
}

func (g *generator) models() {
	shape := g.out.Shape
	models := make(map[string]config.Model, shape.Models)
	for i := range shape.Models {
		name := fmt.Sprintf("m%02d", i+1)
		g.out.ModelNames = append(g.out.ModelNames, name)
		bytes := g.modelBytes()
		replicas := fewReplicas
		if i%largeReplicaEvery == 0 {
			replicas = manyReplicas
		}
		models[name] = config.Model{
			Service:     shape.EngineService,
			Bytes:       bytes,
			Version:     modelVersion,
			MaxReplicas: replicas,
			LoadMS:      int(float64(bytes) / shape.StoreBytesPerS * float64(time.Second/time.Millisecond)),
		}
	}
	g.out.Document.Models = models
}

// modelBytes draws a size that is uniform on a logarithmic scale.
func (g *generator) modelBytes() int64 {
	low, high := math.Log(float64(g.out.Shape.MinModelBytes)), math.Log(float64(g.out.Shape.MaxModelBytes))
	return int64(math.Exp(low + g.random.Float64()*(high-low)))
}

func (g *generator) adapters() {
	adapters := make(map[string]config.Adapter, g.out.Shape.Adapters)
	for i := range g.out.Shape.Adapters {
		name := fmt.Sprintf("a%02d", i+1)
		g.out.AdapterNames = append(g.out.AdapterNames, name)
		adapters[name] = config.Adapter{
			Model:   g.out.ModelNames[g.random.IntN(len(g.out.ModelNames))],
			Bytes:   g.out.Shape.AdapterBytes,
			Version: modelVersion,
		}
	}
	g.out.Document.Adapters = adapters
}

func (g *generator) workspaces() {
	workspaces := make(map[string]config.Workspace, len(g.out.Shape.Workspaces))
	for _, shape := range g.out.Shape.Workspaces {
		keys := make(map[string]config.Key, keysPerWorkspace)
		for i := range keysPerWorkspace {
			clear := g.key(shape.Name)
			keys[fmt.Sprintf("k%d", i+1)] = config.Key{SHA256: config.HashKey(clear)}
			g.out.CallerKeys[shape.Name] = append(g.out.CallerKeys[shape.Name], clear)
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
	g.out.Document.Workspaces = workspaces
}

func (g *generator) operators() {
	operators := make(map[string]config.Operator, len(g.out.Shape.Operators))
	for _, name := range g.out.Shape.Operators {
		clear := g.key(name)
		g.out.OperatorKeys[name] = clear
		operators[name] = config.Operator{KeySHA256: config.HashKey(clear)}
	}
	g.out.Document.Operators = operators
}

// key returns a clear key. It is reproducible from the seed, so it protects
// nothing outside tests and demonstrations.
func (g *generator) key(owner string) string {
	random := make([]byte, keyRandomBytes)
	for i := range random {
		random[i] = byte(g.random.Uint32())
	}
	return "key-" + owner + "-" + hex.EncodeToString(random)
}

func (g *generator) upstreams() {
	shape := g.out.Shape
	for i := range shape.Engines {
		spec := EngineSpec{
			DataCenter:  shape.DataCenter(i),
			MemoryBytes: shape.EngineMemoryBytes,
			ChecksFence: i%fencedEngineEvery != fencedEngineEvery-1,
		}
		for _, model := range g.out.ModelNames {
			switch draw := g.random.Float64(); {
			case draw < shape.HostMemoryProbability:
				spec.HostMemory = append(spec.HostMemory, model)
			case draw < shape.HostMemoryProbability+shape.DiskProbability:
				spec.Disk = append(spec.Disk, model)
			}
		}
		g.out.Engines = append(g.out.Engines, spec)
	}
	for i := range shape.PlainInstances {
		g.out.PlainInstances = append(g.out.PlainInstances, PlainInstanceSpec{DataCenter: shape.DataCenter(i)})
	}
}
