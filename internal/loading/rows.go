package loading

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// Prefixes of row keys.
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

// States of a reservation. A reservation moves only forward through them and
// is then removed.
const (
	StateLoading   State = "loading"
	StateLoaded    State = "loaded"
	StateUnloading State = "unloading"
)

// Source is where an engine reads weights from.
type Source string

// Sources of weights, cheapest first.
const (
	SourceMemory Source = "memory"
	SourceDisk   Source = "disk"
	SourceRemote Source = "remote" // the weight store; needs a permit
)

// Weights names what a reservation is for: a model, or an adapter of it.
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

// Reservation is memory of one upstream set aside for weights.
type Reservation struct {
	Weights
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	State   State  `json:"state"`
	Source  Source `json:"source,omitempty"`
	Permit  bool   `json:"permit,omitempty"` // holds a weight store permit
	// LoadFence and UnloadFence are the revisions of the commits that decided
	// the load and the unload. 0 in a stored row stands for the row's own
	// revision, which is unknown when the row is written.
	LoadFence   uint64 `json:"load_fence,omitempty"`
	UnloadFence uint64 `json:"unload_fence,omitempty"`
}

// Fence returns the fencing number of the latest order.
func (r Reservation) Fence() uint64 {
	if r.State == StateUnloading {
		return r.UnloadFence
	}
	return r.LoadFence
}

// Live reports whether the reservation is for weights that serve or will serve.
func (r Reservation) Live() bool { return r.State != StateUnloading }

// UpstreamRow is the content of a row "upstream/<address>". An absent row
// equals an empty one.
type UpstreamRow struct {
	Writer       string        `json:"writer"` // identifies the commit
	Reservations []Reservation `json:"reservations,omitempty"`
	Revision     uint64        `json:"-"`
}

// Find returns the reservation of the weights.
func (r UpstreamRow) Find(w Weights) (Reservation, bool) {
	for _, reservation := range r.Reservations {
		if reservation.Weights == w {
			return reservation, true
		}
	}
	return Reservation{}, false
}

// Reserved returns the bytes of all reservations.
func (r UpstreamRow) Reserved() int64 {
	var sum int64
	for _, reservation := range r.Reservations {
		sum += reservation.Bytes
	}
	return sum
}

// with returns the row with the reservation added or replaced.
func (r UpstreamRow) with(reservation Reservation) UpstreamRow {
	changed := r.without(reservation.Weights)
	changed.Reservations = append(changed.Reservations, reservation)
	return changed
}

// without returns the row without the reservation of the weights.
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

// DecodeUpstream reads an upstream's row.
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

// DecodeModel reads a model's row.
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

// Rows is a host's copy of the rows that loading decisions depend on. Copies
// may be old; the conditions of a commit make a decision on an old copy fail.
type Rows struct {
	Upstreams      map[string]UpstreamRow // by address
	Models         map[string]ModelRow    // by name
	Weight         weightstore.Row
	WeightRevision uint64
}

// NewRows returns the copy of an empty table.
func NewRows() *Rows {
	return &Rows{Upstreams: map[string]UpstreamRow{}, Models: map[string]ModelRow{}}
}

// Clone returns a copy that can be changed without affecting the original.
// Rows themselves are never changed in place.
func (r *Rows) Clone() *Rows {
	clone := &Rows{
		Upstreams:      make(map[string]UpstreamRow, len(r.Upstreams)),
		Models:         make(map[string]ModelRow, len(r.Models)),
		Weight:         r.Weight,
		WeightRevision: r.WeightRevision,
	}
	for address, row := range r.Upstreams {
		clone.Upstreams[address] = row
	}
	for name, row := range r.Models {
		clone.Models[name] = row
	}
	return clone
}

// IsCurrent reports whether the copy has a row at the revision that was read. What
// a row holds at one revision never changes, so it need not be decoded again.
func (r *Rows) IsCurrent(row platform.Row) bool {
	if address, ok := strings.CutPrefix(row.Key, UpstreamPrefix); ok {
		return r.Upstreams[address].Revision == row.Revision
	}
	if model, ok := strings.CutPrefix(row.Key, ModelPrefix); ok {
		return r.Models[model].Revision == row.Revision
	}
	return r.WeightRevision == row.Revision
}

// Store takes over a row as read or committed. Rows with an older revision
// than the copy are ignored, except that revision 0 (absent) is taken over.
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
	if err == nil && (row.Revision == 0 || row.Revision >= r.WeightRevision) {
		r.Weight, r.WeightRevision = decoded, row.Revision
	}
	return err
}

// Replicas returns the upstreams that hold a reservation of the model in any
// state, from the model's row and from the upstreams' rows.
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
