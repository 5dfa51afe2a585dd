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

// pollersPerDataCenter is the number of hosts of a data centre that read the
// configuration's head from the table service; the others hear from them.
const pollersPerDataCenter = 2

const (
	// failedHostLifetime is how long a failed call keeps a host from being an
	// owner, unless it is heard of again.
	failedHostLifetime = 3 * time.Second
	// liveSetAge is the longest time for which the set of live hosts is kept.
	liveSetAge = 100 * time.Millisecond
	// startGrace is the time after the start in which the other hosts may not
	// have sent a heartbeat yet.
	startGrace = 2 * time.Second
)

// applyConfiguration puts a version in force. It is called in order, on the
// follower's goroutine.
func (h *Host) applyConfiguration(prev, next *config.Snapshot) {
	h.quota.Apply(next)
	cancelled := h.active.Enforce(next)
	h.control.post(context.Background(), func() { h.mesh.SetHosts(h.mappedHosts(next.Document.Hosts)) })
	var before uint64
	if prev != nil {
		before = prev.Version
	}
	h.log.Info("Configuration in force.", "version", next.Version, "previous", before,
		"hash", next.Hash, "cancelled_requests", cancelled)
}

// mappedHosts translates the peer addresses by the settings' address map.
func (h *Host) mappedHosts(hosts map[string]config.Host) map[string]config.Host {
	mapped := make(map[string]config.Host, len(hosts))
	for name, host := range hosts {
		host.PeerAddress = h.settings.AddressMap.Resolve(host.PeerAddress)
		mapped[name] = host
	}
	return mapped
}

// liveSet is the result of liveHosts at a time.
type liveSet struct {
	at   time.Time
	all  []string
	near []string // of this host's data centre
}

// liveHosts returns the hosts that are not known to be down, this one included.
// A host that this one exchanges no heartbeats with counts as live until a call
// to it fails: otherwise hosts would see different sets and disagree about
// owners. The set is at most liveSetAge old, because it is asked for each model.
func (h *Host) liveHosts() *liveSet {
	now := time.Now()
	if set := h.live.Load(); set != nil && now.Sub(set.at) < liveSetAge {
		return set
	}
	set := &liveSet{at: now, all: []string{h.settings.Host}, near: []string{h.settings.Host}}
	h.mesh.Visit(func(state peer.State) {
		if !h.seemsLive(state, now) {
			return
		}
		set.all = append(set.all, state.Host)
		if state.DataCenter == h.settings.DataCenter {
			set.near = append(set.near, state.Host)
		}
	})
	h.live.Store(set)
	return set
}

// seemsLive reports whether nothing speaks against a host being up.
func (h *Host) seemsLive(state peer.State, now time.Time) bool {
	if state.Leaving {
		return false
	}
	if failed, ok := h.failedHosts.Load(state.Host); ok && state.LastHeard.Before(failed.(time.Time)) && now.Sub(failed.(time.Time)) < failedHostLifetime {
		return false
	}
	if !state.Target {
		return true
	}
	return state.Observed(now) || now.Sub(h.started) < startGrace
}

// callFailed takes note of a host that did not answer a call.
func (h *Host) callFailed(host string) { h.failedHosts.Store(host, time.Now()) }

// shouldPoll reports whether this host reads the head for its data centre.
func (h *Host) shouldPoll() bool {
	for _, name := range rendezvous.FirstK("config/head", h.liveHosts().near, pollersPerDataCenter) {
		if name == h.settings.Host {
			return true
		}
	}
	return false
}

// peerUsable reports whether a host is not known to be down.
func (h *Host) peerUsable(host string) bool {
	state, ok := h.mesh.Peer(host)
	return ok && h.seemsLive(state, time.Now())
}

// configPeers carries configuration between hosts. It implements configstore.Peers.
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
func (p configPeers) PullDeltas(ctx context.Context, host string, from uint64) (configstore.Update, error) {
	request := &peerpb.PullRequest{FromVersion: from, None: from == configstore.FromNothing}
	answer, err := p.h.mesh.PullDeltas(ctx, host, request)
	if err != nil {
		return configstore.Update{}, err
	}
	return updateFromMessage(answer)
}

// DeltaFormatError reports a configuration message that cannot be decoded.
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

func updateFromMessage(message *peerpb.Deltas) (configstore.Update, error) {
	if !message.GetKnown() {
		return configstore.Update{}, nil
	}
	update := configstore.Update{
		Known: true,
		Head:  configstore.Head{Version: message.GetDocumentVersion(), Hash: message.GetDocumentHash()},
	}
	deltas, err := deltasFromMessage(message)
	if err != nil {
		return configstore.Update{}, err
	}
	update.Deltas = deltas
	if len(message.GetDocument()) > 0 {
		update.Full = &configstore.Full{}
		if err := json.Unmarshal(message.GetDocument(), update.Full); err != nil {
			return configstore.Update{}, eris.Wrap(&DeltaFormatError{Cause: err}, "decode document")
		}
	}
	return update, nil
}

// handlePull answers a host that wants configuration versions.
func (h *Host) handlePull(_ context.Context, request *peerpb.PullRequest) (*peerpb.Deltas, error) {
	update, err := h.follower.Answer(request.GetFromVersion())
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

// handlePush takes in versions that a host offers.
func (h *Host) handlePush(ctx context.Context, message *peerpb.Deltas) (*peerpb.PushReply, error) {
	deltas, err := deltasFromMessage(message)
	if err != nil {
		return nil, err
	}
	if err := h.follower.Receive(ctx, message.GetFrom().GetHost(), deltas); err != nil {
		return nil, err
	}
	reply := &peerpb.PushReply{}
	if current := h.follower.Current(); current != nil {
		reply.Version, reply.Hash = current.Version, current.Hash
	}
	return reply, nil
}

// isolated returns for how long this host has had no contact with the platform
// nor with any other data centre; 0 with contact.
func (h *Host) isolated() time.Duration {
	contact, ok := h.follower.LastContact()
	if !ok {
		return time.Since(h.started)
	}
	return max(0, time.Since(contact))
}
