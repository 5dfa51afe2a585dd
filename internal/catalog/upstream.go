package catalog

import "time"

// Upstream is one incarnation of a process that serves requests, as described by its entry.
type Upstream struct {
	ID         string
	Service    string
	Address    string // IP:port
	DataCenter string
	Slots      int // requests that it runs at once
	Draining   bool
	// DrainTimeLeft is the time until a draining upstream ends; 0: not announced.
	DrainTimeLeft time.Duration
	// ColdFor is how long the upstream stays cold, from when its entry was written; 0: it is
	// not cold.
	ColdFor   time.Duration
	StartedMS int64 // start, in Unix milliseconds; distinguishes incarnations of one ID
	Holdings  Holdings
}

// Holdings is the content of an engine. Upstream entries lack OrderSeq and Busy.
type Holdings struct {
	OrderSeq int64 // orders accepted since the start; from reports only
	Busy     bool  // an order is in progress; from reports only
	// Models lists the loaded adapters by loaded model.
	Models   map[string][]string
	Pending  []string // adapters being loaded, as MODEL/ADAPTER
	InMemory []string // models with a copy of the weights in memory, the fastest source
	OnDisk   []string // models with a copy of the weights on disk
}

// Holds reports whether the model is loaded.
func (h *Holdings) Holds(model string) bool {
	_, ok := h.Models[model]
	return ok
}

// Evacuation requests that nothing more be sent to the upstreams of a data centre.
type Evacuation struct{ DataCenter string }
