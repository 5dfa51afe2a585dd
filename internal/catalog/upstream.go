package catalog

import "time"

// Upstream is one incarnation of a process that serves requests, as it
// describes itself.
type Upstream struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCenter string
	Slots      int
	Draining   bool
	// DrainTimeLeft is the time until a leaving upstream is gone; 0: not announced.
	DrainTimeLeft time.Duration
	StartedMS     int64 // start, in Unix milliseconds; tells incarnations of one ID apart
	Holdings      Holdings
}

// Holdings is what an engine holds. Entries leave out the order count.
type Holdings struct {
	OrderSeq int64 // orders accepted since the start; known from reports only
	Busy     bool  // an order is in progress; known from reports only
	// Models maps a model to the adapters that are loaded for it.
	Models   map[string][]string
	Pending  []string // adapters in transit, as MODEL/ADAPTER
	InMemory []string // copies of weights that load fastest
	OnDisk   []string
}

// Holds reports whether the model is loaded.
func (h *Holdings) Holds(model string) bool {
	_, ok := h.Models[model]
	return ok
}
