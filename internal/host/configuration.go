package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/peer"
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

// pollersPerDataCenter is the number of hosts per data centre that poll the
// configuration head in the table service; the others receive it from them.
const pollersPerDataCenter = 2

const (
	// failedCallTTL is how long a host counts as down after a failed call to it,
	// unless it is observed again in the meantime.
	failedCallTTL = 3 * time.Second
	// liveSetTTL is how long the set of live hosts is cached.
	liveSetTTL = 100 * time.Millisecond
	// startupGracePeriod is the time after startup during which a missing
	// heartbeat does not count against another host.
	startupGracePeriod = 2 * time.Second
)

// applyConfiguration applies a configuration version. The follower calls it on
// its goroutine, in order of version.
func (h *Host) applyConfiguration(prev, next *config.Snapshot) {
	h.quota.Apply(next)
	cancelled := h.active.CancelWithdrawn(next)
	h.control.post(context.Background(), func() { h.mesh.SetHosts(h.resolvePeerAddresses(next.Document.Hosts)) })
	var before uint64
	if prev != nil {
		before = prev.Version
	}
	h.log.Info("Configuration in force.", "version", next.Version, "previous", before,
		"hash", next.Hash, "cancelled_requests", cancelled)
}

// resolvePeerAddresses returns hosts with their peer addresses translated by the
// address map of the settings.
func (h *Host) resolvePeerAddresses(hosts map[string]config.Host) map[string]config.Host {
	mapped := make(map[string]config.Host, len(hosts))
	for name, host := range hosts {
		host.PeerAddress = h.settings.AddressMap.Resolve(host.PeerAddress)
		mapped[name] = host
	}
	return mapped
}

// liveSet is a cached result of liveHosts.
type liveSet struct {
	computedAt time.Time
	all        []string
	local      []string // those in this host's data centre
}

// liveHosts returns the hosts that are not known to be down, this one included.
// A host with which this one exchanges no heartbeats counts as live until a call
// to it fails: otherwise hosts would compute different sets and disagree about
// owners. The set is cached for liveSetTTL, because it is needed for each model.
func (h *Host) liveHosts() *liveSet {
	now := time.Now()
	if set := h.liveSet.Load(); set != nil && now.Sub(set.computedAt) < liveSetTTL {
		return set
	}
	set := &liveSet{computedAt: now, all: []string{h.settings.Host}, local: []string{h.settings.Host}}
	h.mesh.Visit(func(state peer.State) {
		if !h.presumedLive(state, now) {
			return
		}
		set.all = append(set.all, state.Host)
		if state.DataCenter == h.settings.DataCenter {
			set.local = append(set.local, state.Host)
		}
	})
	h.liveSet.Store(set)
	return set
}

// presumedLive reports whether a host may be up: it is not leaving, has no recent
// failed call, and has not missed its heartbeats.
func (h *Host) presumedLive(state peer.State, now time.Time) bool {
	if state.Leaving {
		return false
	}
	if failed, ok := h.failedCalls.Load(state.Host); ok && state.LastHeard.Before(failed.(time.Time)) && now.Sub(failed.(time.Time)) < failedCallTTL {
		return false
	}
	if !state.Target {
		return true
	}
	return state.Observed(now) || now.Sub(h.started) < startupGracePeriod
}

// recordFailedCall records that a call to a host failed.
func (h *Host) recordFailedCall(host string) { h.failedCalls.Store(host, time.Now()) }

// shouldPoll reports whether this host polls the configuration head for its data
// centre.
func (h *Host) shouldPoll() bool {
	for _, name := range rendezvous.FirstK("config/head", h.liveHosts().local, pollersPerDataCenter) {
		if name == h.settings.Host {
			return true
		}
	}
	return false
}

// peerUsable reports whether a host is not known to be down.
func (h *Host) peerUsable(host string) bool {
	state, ok := h.mesh.Peer(host)
	return ok && h.presumedLive(state, time.Now())
}

// configPeers exchanges configuration with other hosts. It implements
// configstore.Peers.
type configPeers struct{ h *Host }

// PushDeltas implements configstore.Peers.
func (p configPeers) PushDeltas(ctx context.Context, host string, deltas []configstore.Version) error {
	message, err := deltasToMessage(deltas)
	if err != nil {
		return err
	}
	_, err = p.h.mesh.PushDeltas(ctx, host, message)
	return err
}

// PullDeltas implements configstore.Peers.
func (p configPeers) PullDeltas(ctx context.Context, host string, from uint64) (configstore.PullResponse, error) {
	request := &peerpb.PullRequest{FromVersion: from, None: from == configstore.FullDocument}
	reply, err := p.h.mesh.PullDeltas(ctx, host, request)
	if err != nil {
		return configstore.PullResponse{}, err
	}
	return updateFromMessage(reply)
}

// DeltaFormatError reports a configuration message that cannot be encoded or decoded.
type DeltaFormatError struct{ Cause error }

// Error implements error.
func (e *DeltaFormatError) Error() string {
	return "malformed configuration message: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DeltaFormatError) Unwrap() error { return e.Cause }

func deltasToMessage(deltas []configstore.Version) (*peerpb.Deltas, error) {
	message := &peerpb.Deltas{}
	for _, version := range deltas {
		record, err := json.Marshal(version)
		if err != nil {
			return nil, eris.Wrap(&DeltaFormatError{Cause: err}, "encode delta")
		}
		message.Deltas = append(message.Deltas, &peerpb.Delta{Version: version.Number, Hash: version.Hash, Record: record})
	}
	return message, nil
}

func deltasFromMessage(message *peerpb.Deltas) ([]configstore.Version, error) {
	deltas := make([]configstore.Version, 0, len(message.GetDeltas()))
	for _, delta := range message.GetDeltas() {
		var version configstore.Version
		if err := json.Unmarshal(delta.GetRecord(), &version); err != nil {
			return nil, eris.Wrap(&DeltaFormatError{Cause: err}, "decode delta")
		}
		deltas = append(deltas, version)
	}
	return deltas, nil
}

func updateFromMessage(message *peerpb.Deltas) (configstore.PullResponse, error) {
	if !message.GetKnown() {
		return configstore.PullResponse{}, nil
	}
	update := configstore.PullResponse{
		Known: true,
		Head:  configstore.Head{Version: message.GetDocumentVersion(), Hash: message.GetDocumentHash()},
	}
	deltas, err := deltasFromMessage(message)
	if err != nil {
		return configstore.PullResponse{}, err
	}
	update.Deltas = deltas
	if len(message.GetDocument()) > 0 {
		update.Full = &configstore.FullVersion{}
		if err := json.Unmarshal(message.GetDocument(), update.Full); err != nil {
			return configstore.PullResponse{}, eris.Wrap(&DeltaFormatError{Cause: err}, "decode document")
		}
	}
	return update, nil
}

// handlePull serves a PullDeltas call: it returns the configuration versions after
// the requested one, or the full document.
func (h *Host) handlePull(_ context.Context, request *peerpb.PullRequest) (*peerpb.Deltas, error) {
	update, err := h.follower.HandlePull(request.GetFromVersion())
	if err != nil || !update.Known {
		return &peerpb.Deltas{}, err
	}
	message, err := deltasToMessage(update.Deltas)
	if err != nil {
		return nil, err
	}
	message.Known = true
	message.DocumentVersion, message.DocumentHash = update.Head.Version, update.Head.Hash
	if update.Full != nil {
		document, err := json.Marshal(update.Full)
		if err != nil {
			return nil, eris.Wrap(&DeltaFormatError{Cause: err}, "encode document")
		}
		message.Document = document
	}
	return message, nil
}

// handlePush serves a PushDeltas call: it passes the versions to the follower and
// returns the current version.
func (h *Host) handlePush(ctx context.Context, message *peerpb.Deltas) (*peerpb.PushReply, error) {
	deltas, err := deltasFromMessage(message)
	if err != nil {
		return nil, err
	}
	if err := h.follower.HandlePush(ctx, message.GetFrom().GetHost(), deltas); err != nil {
		return nil, err
	}
	reply := &peerpb.PushReply{}
	if current := h.follower.Current(); current != nil {
		reply.Version, reply.Hash = current.Version, current.Hash
	}
	return reply, nil
}

// isolatedFor returns the time since this host last had contact with the platform
// or another data centre, or since startup if it has had none.
func (h *Host) isolatedFor() time.Duration {
	contact, ok := h.follower.LastContact()
	if !ok {
		return time.Since(h.started)
	}
	return max(0, time.Since(contact))
}
