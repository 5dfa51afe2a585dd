// Package deployment generates configuration documents and upstream
// specifications with the sizes and limits of the deployments that arbutusbank
// serves. The demo, experiments and tests use it.
package deployment

import "time"

const (
	gigabyte = 1_000_000_000
	megabyte = 1_000_000
)

// WorkspaceShape describes one workspace.
type WorkspaceShape struct {
	Name           string
	RateTokensPerS float64
	BurstTokens    float64
	Weight         float64
	Priority       string // a priority of config.Workspace
}

// RouteShape describes one route of the plain service.
type RouteShape struct {
	Method     string
	Path       string
	Idempotent bool
	Open       bool
}

// Shape describes a deployment by its sizes and limits.
type Shape struct {
	Name        string
	DataCenters []string
	Hosts       int // entry hosts, distributed over the data centres
	// Latency is the one-way delay between data centres.
	Latency time.Duration

	EngineService     string
	Engines           int
	EngineMemoryBytes int64
	MaxBatch          int
	TokenInterval     time.Duration
	PlainService      string
	PlainInstances    int
	Routes            []RouteShape

	Models        int
	Adapters      int
	MinModelBytes int64
	MaxModelBytes int64
	AdapterBytes  int64

	// The weight store transfers each model at StoreBytesPerS while at most
	// ConcurrentLoads are in progress.
	StoreBytesPerS       float64
	LoadsPerS            float64
	ConcurrentLoads      int
	AdapterLoadTime      time.Duration
	AdapterLoadsInFlight int
	HostMemoryBytesPerS  float64
	DiskBytesPerS        float64
	// HostMemoryProbability and DiskShare are the probabilities, per model and
	// engine, that the engine's host has the weights cached.
	HostMemoryProbability float64
	DiskProbability       float64

	Slots      int
	Workspaces []WorkspaceShape
	Operators  []string
}

// commonShape returns the values that both deployments have in common.
func commonShape() Shape {
	return Shape{
		Hosts:                 8,
		EngineMemoryBytes:     24 * gigabyte,
		MaxBatch:              16,
		TokenInterval:         20 * time.Millisecond,
		PlainInstances:        3,
		MinModelBytes:         2 * gigabyte,
		MaxModelBytes:         16 * gigabyte,
		AdapterBytes:          50 * megabyte,
		StoreBytesPerS:        10 * gigabyte,
		ConcurrentLoads:       4,
		AdapterLoadTime:       5 * time.Millisecond,
		AdapterLoadsInFlight:  32,
		HostMemoryBytesPerS:   80 * gigabyte,
		DiskBytesPerS:         20 * gigabyte,
		HostMemoryProbability: 0.03,
		DiskProbability:       0.15,
		Slots:                 64,
		Operators:             []string{"operator-1", "operator-2"},
	}
}

// SeedOffice returns the shape of the Tokachi Seed Vault Drawer Assistant.
func SeedOffice() Shape {
	shape := commonShape()
	shape.Name = "seed-office"
	shape.DataCenters = []string{"obihiro", "sapporo", "asahikawa"}
	shape.Latency = 500 * time.Microsecond
	shape.EngineService = "seed-assistant"
	shape.Engines = 12
	shape.PlainService = "drawer-ledger"
	shape.Routes = []RouteShape{
		{Method: "POST", Path: "/withdrawals"},
		{Method: "GET", Path: "/drawers/*", Idempotent: true},
		{Method: "GET", Path: "/status", Idempotent: true, Open: true},
	}
	shape.Models = 70
	shape.Adapters = 60
	shape.LoadsPerS = 6
	shape.Workspaces = []WorkspaceShape{
		{Name: "curators", RateTokensPerS: 3000, BurstTokens: 30000, Weight: 3, Priority: "interactive"},
		{Name: "accession-review", RateTokensPerS: 2000, BurstTokens: 40000, Weight: 2, Priority: "batch"},
		{Name: "field-stations", RateTokensPerS: 600, BurstTokens: 6000, Weight: 1, Priority: "interactive"},
		{Name: "seed-exchange", RateTokensPerS: 400, BurstTokens: 4000, Weight: 1, Priority: "interactive"},
		{Name: "archive", RateTokensPerS: 200, BurstTokens: 4000, Weight: 1, Priority: "batch"},
	}
	return shape
}

// Tuulgan returns the shape of the District Cooling Invoice Routing.
func Tuulgan() Shape {
	shape := commonShape()
	shape.Name = "tuulgan"
	shape.DataCenters = []string{"sukhbaatar-hall", "bayanzurkh-plant", "khan-uul-depot"}
	shape.Latency = 1500 * time.Microsecond
	shape.EngineService = "drafting-models"
	shape.Engines = 18
	shape.PlainService = "ledger-app"
	shape.Routes = []RouteShape{
		{Method: "POST", Path: "/payments"},
		{Method: "GET", Path: "/balances/*", Idempotent: true},
		{Method: "GET", Path: "/status", Idempotent: true, Open: true},
	}
	shape.Models = 100
	shape.Adapters = 100
	shape.LoadsPerS = 5
	shape.Workspaces = []WorkspaceShape{
		{Name: "managers", RateTokensPerS: 3000, BurstTokens: 30000, Weight: 3, Priority: "interactive"},
		{Name: "dispute-clerks", RateTokensPerS: 3000, BurstTokens: 60000, Weight: 2, Priority: "batch"},
		{Name: "billing", RateTokensPerS: 800, BurstTokens: 8000, Weight: 1, Priority: "interactive"},
		{Name: "meter-desk", RateTokensPerS: 400, BurstTokens: 4000, Weight: 1, Priority: "interactive"},
		{Name: "audit", RateTokensPerS: 200, BurstTokens: 4000, Weight: 1, Priority: "batch"},
	}
	return shape
}

// ShapeByName returns the shape with the given name, and whether there is one.
func ShapeByName(name string) (Shape, bool) {
	for _, shape := range []Shape{SeedOffice(), Tuulgan()} {
		if shape.Name == name {
			return shape, true
		}
	}
	return Shape{}, false
}

// SpeedUp returns the shape with the speed of loads and generation, the rate limit
// of the weight store and the token rates of the workspaces multiplied by a factor.
// A factor of 0 or less has no effect.
func (s Shape) SpeedUp(factor float64) Shape {
	if factor <= 0 || factor == 1 {
		return s
	}
	s.StoreBytesPerS *= factor
	s.HostMemoryBytesPerS *= factor
	s.DiskBytesPerS *= factor
	s.LoadsPerS *= factor
	s.AdapterLoadTime = time.Duration(float64(s.AdapterLoadTime) / factor)
	s.TokenInterval = time.Duration(float64(s.TokenInterval) / factor)
	workspaces := make([]WorkspaceShape, len(s.Workspaces))
	for i, workspace := range s.Workspaces {
		workspace.RateTokensPerS *= factor
		workspaces[i] = workspace
	}
	s.Workspaces = workspaces
	return s
}
