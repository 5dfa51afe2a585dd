package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// Upper limits of values. They catch typing errors; none is a capacity limit.
const (
	maxDeadlineLimit   = 24 * time.Hour
	maxBodyBytesLimit  = 64 << 20
	maxTokensLimit     = 1 << 24 // tokens per request
	maxRetention       = 90 * 24 * time.Hour
	maxSlots           = 1 << 16
	maxWeightBytes     = 1 << 50
	maxReplicasLimit   = 100_000
	maxLoadTime        = 24 * time.Hour
	maxTokenRate       = 1e12 // tokens per second; also the limit of burst_tokens, in tokens
	maxWorkspaceWeight = 1e6
	maxIsolation       = 30 * 24 * time.Hour
	maxStoreRate       = 1e6 // loads per second
)

// wildcardName in a list of models or services matches all of them.
const wildcardName = "*"

// namePattern matches names that are safe in URL paths, row keys and references of
// the form "base:adapter".
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Validate returns all problems of a document, grouped by member and sorted by name
// within a map. It returns nil for a valid document.
func Validate(d *Document) []problem.FieldError {
	v := &validator{doc: d, addresses: map[string]string{}, hashes: map[string]string{}}
	v.name("/deployment", d.Deployment)
	v.defaults()
	v.quota()
	v.hosts()
	v.stoppedHosts()
	v.services()
	v.openRoutes()
	v.models()
	v.adapters()
	v.operators()
	v.workspaces()
	v.weightStore()
	return v.problems
}

// validator collects problems. addresses and hashes map values that must be unique
// to the pointer of their first use.
type validator struct {
	doc       *Document
	problems  fieldErrors
	addresses map[string]string
	hashes    map[string]string
}

func (v *validator) add(pointer, format string, args ...any) {
	v.problems.add(pointer, format, args...)
}

func (v *validator) name(pointer, name string) {
	if !namePattern.MatchString(name) {
		v.add(pointer, "name %q must be 1 to 128 letters, digits, '.', '_' or '-', and start with a letter or digit", name)
	}
}

func (v *validator) integer(pointer string, value, low, high int64) {
	if value < low || value > high {
		v.add(pointer, "must be between %d and %d", low, high)
	}
}

// number also rejects NaN, which documents built in Go may contain.
func (v *validator) number(pointer string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		v.add(pointer, "must be between %g and %g", low, high)
	}
}

func (v *validator) positive(pointer string, value, high float64) {
	if math.IsNaN(value) || value <= 0 || value > high {
		v.add(pointer, "must be more than 0 and at most %g", high)
	}
}

func (v *validator) oneOf(pointer, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.add(pointer, "%q is not one of %q", value, allowed)
	}
}

func (v *validator) defaults() {
	d := v.doc.Defaults
	v.integer("/defaults/max_deadline_ms", int64(d.MaxDeadlineMS), 1, maxDeadlineLimit.Milliseconds())
	v.integer("/defaults/deadline_ms", int64(d.DeadlineMS), 1, maxDeadlineLimit.Milliseconds())
	if d.DeadlineMS > d.MaxDeadlineMS {
		v.add("/defaults/deadline_ms", "must not exceed max_deadline_ms, which is %d", d.MaxDeadlineMS)
	}
	v.integer("/defaults/max_body_bytes", d.MaxBodyBytes, 1, maxBodyBytesLimit)
	v.integer("/defaults/max_tokens", int64(d.MaxTokens), 1, maxTokensLimit)
	v.integer("/defaults/claim_retention_s", int64(d.ClaimRetentionS), 1, int64(maxRetention.Seconds()))
	if time.Duration(d.ClaimRetentionS)*time.Second < d.MaxDeadline() {
		v.add("/defaults/claim_retention_s", "must not be shorter than max_deadline_ms: a repeat of a request that still runs would run again")
	}
}

func (v *validator) quota() {
	q := v.doc.Quota
	v.integer("/quota/slots", int64(q.Slots), 1, maxSlots)
	v.integer("/quota/slots_per_workspace", int64(q.SlotsPerWorkspace), 1, maxSlots)
	if q.SlotsPerWorkspace > q.Slots {
		v.add("/quota/slots_per_workspace", "must not exceed slots, which is %d", q.Slots)
	}
}

func (v *validator) hosts() {
	owners := map[int]string{}
	for _, name := range sortedKeys(v.doc.Hosts) {
		host, pointer := v.doc.Hosts[name], Pointer("hosts", name)
		v.name(pointer, name)
		v.address(pointer+"/address", host.Address)
		v.address(pointer+"/peer_address", host.PeerAddress)
		v.name(pointer+"/data_center", host.DataCenter)
		for i, slot := range host.Slots {
			v.slot(pointer+"/slots/"+strconv.Itoa(i), slot, name, owners)
		}
	}
}

func (v *validator) slot(pointer string, slot int, host string, owners map[int]string) {
	if slot < 0 || slot >= v.doc.Quota.Slots {
		v.add(pointer, "slot %d is out of range; the slots are 0 to %d", slot, v.doc.Quota.Slots-1)
		return
	}
	if owner, taken := owners[slot]; taken {
		v.add(pointer, "slot %d is already owned by host %q", slot, owner)
		return
	}
	owners[slot] = host
}

// address checks an address of the form "IP:port", which must be unique.
func (v *validator) address(pointer, address string) {
	parsed, ok := v.parseAddress(pointer, address)
	if !ok {
		return
	}
	if first, taken := v.addresses[parsed]; taken {
		v.add(pointer, "address %s is already used at %s", address, first)
		return
	}
	v.addresses[parsed] = pointer
}

// parseAddress returns an address in canonical form, so that different spellings of
// an address compare equal.
func (v *validator) parseAddress(pointer, address string) (string, bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		v.add(pointer, "%q is not an address of the form IP:port", address)
		return "", false
	}
	return netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String(), true
}

func (v *validator) stoppedHosts() {
	stopped := map[string]bool{}
	for i, address := range v.doc.StoppedHosts {
		pointer := "/stopped_hosts/" + strconv.Itoa(i)
		parsed, ok := v.parseAddress(pointer, address)
		if !ok {
			continue
		}
		if stopped[parsed] {
			v.add(pointer, "address %s is listed twice", address)
		}
		stopped[parsed] = true
		v.stoppedHostOwnsNoSlots(pointer, parsed)
	}
}

// stoppedHostOwnsNoSlots rejects a host that is listed as stopped but still owns
// slots: another host may already use its shares.
func (v *validator) stoppedHostOwnsNoSlots(pointer, address string) {
	for name, host := range v.doc.Hosts {
		listed, err := netip.ParseAddrPort(host.Address)
		if err != nil || len(host.Slots) == 0 {
			continue
		}
		if netip.AddrPortFrom(listed.Addr().Unmap(), listed.Port()).String() == address {
			v.add(pointer, "host %q is listed as stopped but owns slots", name)
		}
	}
}

func (v *validator) models() {
	for _, name := range sortedKeys(v.doc.Models) {
		model, pointer := v.doc.Models[name], Pointer("models", name)
		v.name(pointer, name)
		v.serviceReference(pointer+"/service", model.Service, ServiceEngine)
		v.integer(pointer+"/bytes", model.Bytes, 1, maxWeightBytes)
		v.name(pointer+"/version", model.Version)
		v.integer(pointer+"/max_replicas", int64(model.MaxReplicas), 1, maxReplicasLimit)
		v.integer(pointer+"/min_replicas", int64(model.MinReplicas), 0, maxReplicasLimit)
		if model.MaxReplicas > 0 && model.MinReplicas > model.MaxReplicas {
			v.add(pointer+"/min_replicas", "must not exceed max_replicas, which is %d", model.MaxReplicas)
		}
		v.integer(pointer+"/load_ms", int64(model.LoadMS), 0, maxLoadTime.Milliseconds())
	}
}

// serviceReference checks that a service exists and is of the given kind.
func (v *validator) serviceReference(pointer, service, kind string) {
	found, ok := v.doc.Services[service]
	switch {
	case !ok:
		v.add(pointer, "service %q does not exist", service)
	case found.Kind != kind:
		v.add(pointer, "service %q is of kind %q, not %q", service, found.Kind, kind)
	}
}

func (v *validator) adapters() {
	for _, name := range sortedKeys(v.doc.Adapters) {
		adapter, pointer := v.doc.Adapters[name], Pointer("adapters", name)
		v.name(pointer, name)
		if _, ok := v.doc.Models[adapter.Model]; !ok {
			v.add(pointer+"/model", "model %q does not exist", adapter.Model)
		}
		v.integer(pointer+"/bytes", adapter.Bytes, 1, maxWeightBytes)
		v.name(pointer+"/version", adapter.Version)
	}
}

func (v *validator) operators() {
	if len(v.doc.Operators) == 0 {
		v.add("/operators", "at least one operator must remain, or nobody can change the configuration")
	}
	for _, name := range sortedKeys(v.doc.Operators) {
		pointer := Pointer("operators", name)
		v.name(pointer, name)
		v.keyHash(pointer+"/key_sha256", v.doc.Operators[name].KeySHA256)
	}
}

// keyHash checks a SHA-256 in lower-case hexadecimal digits, which must be unique
// among the keys of all workspaces and operators.
func (v *validator) keyHash(pointer, hash string) {
	decoded, err := hex.DecodeString(hash)
	if err != nil || len(decoded) != hashSize || fmt.Sprintf("%x", decoded) != hash {
		v.add(pointer, "must be a SHA-256 in %d lower-case hexadecimal digits", 2*hashSize)
		return
	}
	if first, taken := v.hashes[hash]; taken {
		v.add(pointer, "the key is already used at %s", first)
		return
	}
	v.hashes[hash] = pointer
}

func (v *validator) workspaces() {
	for _, name := range sortedKeys(v.doc.Workspaces) {
		v.workspace(name, v.doc.Workspaces[name])
	}
}

func (v *validator) workspace(name string, w Workspace) {
	pointer := Pointer("workspaces", name)
	v.name(pointer, name)
	v.number(pointer+"/rate_tokens_per_s", w.RateTokensPerS, 0, maxTokenRate)
	v.number(pointer+"/burst_tokens", w.BurstTokens, 0, maxTokenRate)
	v.number(pointer+"/weight", w.Weight, 0, maxWorkspaceWeight)
	v.oneOf(pointer+"/priority", w.Priority, "", PriorityInteractive, PriorityBatch)
	v.oneOf(pointer+"/isolation/mode", w.Isolation.Mode, "", IsolationServe, IsolationRefuse)
	v.integer(pointer+"/isolation/after_s", int64(w.Isolation.AfterS), 0, int64(maxIsolation.Seconds()))
	checkNames(v, pointer+"/models", w.Models, v.doc.Models, "model")
	checkNames(v, pointer+"/services", w.Services, v.doc.Services, "service")
	for _, id := range sortedKeys(w.Keys) {
		keyPointer := pointer + Pointer("keys", id)
		v.name(keyPointer, id)
		v.keyHash(keyPointer+"/sha256", w.Keys[id].SHA256)
	}
}

// checkNames checks that every name in a list exists and is listed only once.
func checkNames[V any](v *validator, pointer string, names []string, known map[string]V, kind string) {
	seen := map[string]bool{}
	for i, name := range names {
		element := pointer + "/" + strconv.Itoa(i)
		if seen[name] {
			v.add(element, "%s %q is listed twice", kind, name)
		}
		seen[name] = true
		if _, ok := known[name]; !ok && name != wildcardName {
			v.add(element, "%s %q does not exist", kind, name)
		}
	}
}

func (v *validator) weightStore() {
	w := v.doc.WeightStore
	v.positive("/weight_store/loads_per_s", w.LoadsPerS, maxStoreRate)
	v.integer("/weight_store/concurrent_loads", int64(w.ConcurrentLoads), 1, maxReplicasLimit)
	v.integer("/weight_store/adapter_loads_in_flight", int64(w.AdapterLoadsInFlight), 1, maxReplicasLimit)
}

// ValidateChange returns the problems of a change between two documents that are
// valid on their own. Hosts apply a version at different times; the changes rejected
// here would violate a limit while hosts are at different versions.
func ValidateChange(from, to *Document) []problem.FieldError {
	var problems fieldErrors
	if from.Deployment != to.Deployment {
		problems.add("/deployment", "cannot be changed from %q", from.Deployment)
	}
	if from.Quota.Slots != to.Quota.Slots {
		problems.add("/quota/slots", "cannot be changed from %d: while hosts differ on the size of a part, workspaces would exceed their rate", from.Quota.Slots)
	}
	if from.Quota.SlotsPerWorkspace != to.Quota.SlotsPerWorkspace {
		problems.add("/quota/slots_per_workspace", "cannot be changed from %d: while hosts differ on the size of a part, workspaces would exceed their rate", from.Quota.SlotsPerWorkspace)
	}
	checkMovedHosts(from, to, &problems)
	return problems
}

// checkMovedHosts rejects a new address for a host that keeps slots, since the
// process at the old address would continue to spend the same shares. It allows the
// change if the operator confirms that this process has ended by listing the old
// address under stopped_hosts.
func checkMovedHosts(from, to *Document, problems *fieldErrors) {
	for _, name := range sortedKeys(from.Hosts) {
		old, current := from.Hosts[name], to.Hosts[name]
		moved := old.Address != current.Address && len(old.Slots) > 0 && len(current.Slots) > 0
		if moved && !slices.Contains(to.StoppedHosts, old.Address) {
			problems.add(Pointer("hosts", name, "address"), "cannot be changed while the host owns slots: list %s under stopped_hosts once its process has ended, or move the slots to a host of another name", old.Address)
		}
	}
}
