package loading

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// Prefixes of the keys of rows in the table service.
const (
	UpstreamPrefix = "upstream/"
	ModelPrefix    = "model/"
)

// UpstreamKey returns the key of an upstream's row.
func UpstreamKey(address string) string { return UpstreamPrefix + address }

// ModelKey returns the key of a model's row.
func ModelKey(model string) string { return ModelPrefix + model }

// State is the state of a reservation.
type State string

// States of a reservation. A reservation only advances through them, in this
// order, and is then removed.
const (
	StateLoading   State = "loading"
	StateLoaded    State = "loaded"
	StateUnloading State = "unloading"
)

// Source is the place from which an engine reads weights.
type Source string

// Sources of weights, cheapest first.
const (
	SourceMemory Source = "memory" // of the engine's machine
	SourceDisk   Source = "disk"   // of the engine's machine
	SourceRemote Source = "remote" // the weight store; needs a permit
)

// Weights identifies the weights of a model, or of an adapter for it.
type Weights struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

// String returns "model" or "model:adapter".
func (w Weights) String() string {
	if w.Adapter == "" {
		return w.Model
	}
	return w.Model + ":" + w.Adapter
}

// Reservation is memory of one upstream that is reserved for weights.
type Reservation struct {
	Weights
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	State   State  `json:"state"`
	Source  Source `json:"source,omitempty"`
	Permit  bool   `json:"permit,omitempty"` // holds a weight store permit
	// LoadFence and UnloadFence are the revisions of the commits that decided
	// the load and the unload. In a stored row, 0 means the row's own revision,
	// which is unknown when the row is written.
	LoadFence   uint64 `json:"load_fence,omitempty"`
	UnloadFence uint64 `json:"unload_fence,omitempty"`
}

// Fence returns the fencing token of the reservation's latest order.
func (r Reservation) Fence() uint64 {
	if r.State == StateUnloading {
		return r.UnloadFence
	}
	return r.LoadFence
}

// Live reports whether the weights serve or will serve requests.
func (r Reservation) Live() bool { return r.State != StateUnloading }

// UpstreamRow is the content of a row "upstream/<address>". An absent row is
// equivalent to an empty one.
type UpstreamRow struct {
	Writer       string        `json:"writer"` // identifies the commit
	Reservations []Reservation `json:"reservations,omitempty"`
	Revision     uint64        `json:"-"`
}

// Find returns the reservation for the weights, if any.
func (r UpstreamRow) Find(w Weights) (Reservation, bool) {
	for _, reservation := range r.Reservations {
		if reservation.Weights == w {
			return reservation, true
		}
	}
	return Reservation{}, false
}

// Reserved returns the sum of the bytes of all reservations.
func (r UpstreamRow) Reserved() int64 {
	var sum int64
	for _, reservation := range r.Reservations {
		sum += reservation.Bytes
	}
	return sum
}

// with returns a copy of the row with the reservation added or replaced.
func (r UpstreamRow) with(reservation Reservation) UpstreamRow {
	changed := r.without(reservation.Weights)
	changed.Reservations = append(changed.Reservations, reservation)
	return changed
}

// without returns a copy of the row without the reservation for the weights.
func (r UpstreamRow) without(w Weights) UpstreamRow {
	changed := UpstreamRow{Revision: r.Revision}
	for _, reservation := range r.Reservations {
		if reservation.Weights != w {
			changed.Reservations = append(changed.Reservations, reservation)
		}
	}
	return changed
}

// ModelRow is the content of a row "model/<name>": the upstreams with a
// reservation of the model, in any state.
type ModelRow struct {
	Writer   string   `json:"writer"` // identifies the commit
	Replicas []string `json:"replicas,omitempty"`
	Revision uint64   `json:"-"`
}

func (r ModelRow) with(address string) ModelRow {
	replicas := slices.Clone(r.Replicas)
	if !slices.Contains(replicas, address) {
		replicas = append(replicas, address)
	}
	return ModelRow{Replicas: replicas, Revision: r.Revision}
}

func (r ModelRow) without(address string) ModelRow {
	replicas := slices.DeleteFunc(slices.Clone(r.Replicas), func(a string) bool { return a == address })
	return ModelRow{Replicas: replicas, Revision: r.Revision}
}

// DecodeUpstream decodes an upstream's row and sets the fences that stand for its
// revision. It returns a *weightstore.DecodeError if the value is malformed.
func DecodeUpstream(row platform.Row) (UpstreamRow, error) {
	decoded := UpstreamRow{Revision: row.Revision}
	if row.Revision == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return UpstreamRow{}, &weightstore.DecodeError{Key: row.Key, Cause: err}
	}
	for i := range decoded.Reservations {
		reservation := &decoded.Reservations[i]
		if reservation.LoadFence == 0 {
			reservation.LoadFence = row.Revision
		}
		if reservation.State == StateUnloading && reservation.UnloadFence == 0 {
			reservation.UnloadFence = row.Revision
		}
	}
	return decoded, nil
}

// DecodeModel decodes a model's row. It returns a *weightstore.DecodeError if the
// value is malformed.
func DecodeModel(row platform.Row) (ModelRow, error) {
	decoded := ModelRow{Revision: row.Revision}
	if row.Revision == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return ModelRow{}, &weightstore.DecodeError{Key: row.Key, Cause: err}
	}
	return decoded, nil
}

// Rows is a host's copy of the rows that loading decisions depend on. The copy may
// be outdated; a commit's conditions make a decision based on outdated rows fail.
type Rows struct {
	Upstreams           map[string]UpstreamRow // by address
	Models              map[string]ModelRow    // by name
	WeightStore         weightstore.Row
	WeightStoreRevision uint64
}

// NewRows returns an empty copy.
func NewRows() *Rows {
	return &Rows{Upstreams: map[string]UpstreamRow{}, Models: map[string]ModelRow{}}
}

// Clone returns a copy that can be changed without affecting the original. The
// individual rows are shared, because they are never changed in place.
func (r *Rows) Clone() *Rows {
	clone := &Rows{
		Upstreams:           make(map[string]UpstreamRow, len(r.Upstreams)),
		Models:              make(map[string]ModelRow, len(r.Models)),
		WeightStore:         r.WeightStore,
		WeightStoreRevision: r.WeightStoreRevision,
	}
	for address, row := range r.Upstreams {
		clone.Upstreams[address] = row
	}
	for name, row := range r.Models {
		clone.Models[name] = row
	}
	return clone
}

// IsCurrent reports whether the copy holds a row at the revision of the given one.
// The content of a row at one revision never changes, so such a row need not be
// decoded again.
func (r *Rows) IsCurrent(row platform.Row) bool {
	if address, ok := strings.CutPrefix(row.Key, UpstreamPrefix); ok {
		return r.Upstreams[address].Revision == row.Revision
	}
	if model, ok := strings.CutPrefix(row.Key, ModelPrefix); ok {
		return r.Models[model].Revision == row.Revision
	}
	return r.WeightStoreRevision == row.Revision
}

// Store adds a row as read or committed. A row with an older revision than the copy
// is ignored, except for revision 0 (absent). It returns a *weightstore.DecodeError,
// and does not change the copy, if the row is malformed.
func (r *Rows) Store(row platform.Row) error {
	if address, ok := strings.CutPrefix(row.Key, UpstreamPrefix); ok {
		decoded, err := DecodeUpstream(row)
		if err == nil && (row.Revision == 0 || row.Revision >= r.Upstreams[address].Revision) {
			r.Upstreams[address] = decoded
		}
		return err
	}
	if model, ok := strings.CutPrefix(row.Key, ModelPrefix); ok {
		decoded, err := DecodeModel(row)
		if err == nil && (row.Revision == 0 || row.Revision >= r.Models[model].Revision) {
			r.Models[model] = decoded
		}
		return err
	}
	decoded, err := weightstore.Decode(row)
	if err == nil && (row.Revision == 0 || row.Revision >= r.WeightStoreRevision) {
		r.WeightStore, r.WeightStoreRevision = decoded, row.Revision
	}
	return err
}

// Replicas returns the upstreams that have a reservation for the model in any state
// according to the model's row or the upstreams' rows, sorted by address.
func (r *Rows) Replicas(model string) []string {
	replicas := slices.Clone(r.Models[model].Replicas)
	for address, row := range r.Upstreams {
		if _, ok := row.Find(Weights{Model: model}); ok && !slices.Contains(replicas, address) {
			replicas = append(replicas, address)
		}
	}
	slices.Sort(replicas)
	return replicas
}
