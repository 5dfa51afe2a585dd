package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/peer"
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/quota"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
	"github.com/arbutusbank/arbutusbank/internal/retry"
)

// broadcastTimeout bounds the delivery of a broadcast.
const broadcastTimeout = time.Second

const (
	// decisionTimeout bounds how long the reply to a Demand call waits for the
	// load decision, which takes one commit.
	decisionTimeout      = 80 * time.Millisecond
	decisionPollInterval = 5 * time.Millisecond
)

// neverConfirmed is the confirmed age in a heartbeat whose sender's version was
// never confirmed to be the newest.
const neverConfirmed = -1

// maxBroadcastTargets is the maximum number of hosts that receive a broadcast.
const maxBroadcastTargets = 16

// maxSparseSpares is the maximum number of workspaces with spare tokens in a
// heartbeat within a large data centre, those with the most demand first. An entry
// takes about 35 bytes. At the growth size (docs/design.md, section 1.7) a host owns
// home slots of about 38 of 1,000 workspaces; lists of that length would exceed the
// bandwidth limit of all control traffic.
const maxSparseSpares = 5

// peerHandlers returns the handlers of incoming peer calls.
func (h *Host) peerHandlers() peer.Handlers {
	return peer.Handlers{
		LocalHeartbeat: h.localHeartbeat,
		Heartbeat:      h.handleHeartbeat,
		PushDeltas:     h.handlePush,
		PullDeltas:     h.handlePull,
		Borrow:         func(request quota.LoanRequest) quota.LoanGrant { return h.quota.Lend(request) },
		ReturnLoan:     func(report quota.LoanReturn) { h.quota.ApplyReturn(report) },
		SlotReleased:   func(*peerpb.SlotRelease) { h.requestSlotSync() },
		Demand:         h.handleDemand,
		Suspect: func(m *peerpb.Suspicions) {
			h.mergeSuspicions(m.GetFrom(), m)
		},
		UpstreamSign: func(m *peerpb.UpstreamSigns) { h.mergeSigns(m.GetSigns()) },
		Status:       h.handleStatus,
		Upstreams:    h.handleUpstreams,
		Explain:      h.handleExplain,
	}
}

// localHeartbeat returns the state of this host to send in a heartbeat.
func (h *Host) localHeartbeat() *peerpb.HeartbeatMessage {
	message := &peerpb.HeartbeatMessage{Leaving: !h.ready.Load() && h.draining.Load(), PlatformAgeMs: h.platformAge().Milliseconds()}
	if current := h.follower.Current(); current != nil {
		message.ConfigVersion, message.ConfigHash = current.Version, current.Hash
	}
	message.ConfirmedAgeMs = neverConfirmed
	if age, ok := h.follower.ConfirmedAge(); ok {
		message.ConfirmedAgeMs = age.Milliseconds()
	}
	for _, spare := range h.quota.Spares(h.maxSpares()) {
		message.Spare = append(message.Spare, &peerpb.SpareTokens{
			Workspace: spare.Workspace, Tokens: spare.Tokens, DemandPerS: spare.Demand,
		})
	}
	h.logSegmentDecisions()
	suspicions := h.suspicionMessages()
	message.Suspicions, message.IsolatedRuns, message.RunsSequence = suspicions.Suspicions, suspicions.IsolatedRuns, suspicions.RunsSequence
	message.CrashReport = suspicions.CrashReport
	if signs := h.signs.Load(); signs != nil {
		message.Signs = *signs
	}
	return message
}

// maxSpares returns the maximum number of workspaces with spare tokens in a
// heartbeat.
func (h *Host) maxSpares() int {
	if h.mesh.Sparse() {
		return maxSparseSpares
	}
	return peer.MaxSpares
}

// handleHeartbeat processes a heartbeat of another host.
func (h *Host) handleHeartbeat(host string, message *peerpb.HeartbeatMessage) {
	if message.GetConfigHash() != "" {
		if age := message.GetConfirmedAgeMs(); age != neverConfirmed {
			h.follower.ObserveConfirmed(message.GetConfigVersion(), time.Duration(age)*time.Millisecond)
		}
		h.follower.Observe(host, configstore.Head{Version: message.GetConfigVersion(), Hash: message.GetConfigHash()})
	}
	spares := make([]quota.SpareTokens, 0, len(message.GetSpare()))
	for _, spare := range message.GetSpare() {
		spares = append(spares, quota.SpareTokens{
			Workspace: spare.GetWorkspace(), Tokens: spare.GetTokens(), Demand: spare.GetDemandPerS(),
		})
	}
	h.limiter.Observe(host, spares)
	h.mergeSuspicions(message.GetFrom(), message)
	h.mergeSigns(message.GetSigns())
}

// suspicionMessages returns this host's suspicions and isolated runs as a message.
func (h *Host) suspicionMessages() *peerpb.Suspicions {
	suspicions, runs := h.suspects.Export(h.clock.Now(), peer.MaxSuspicions)
	message := &peerpb.Suspicions{RunsSequence: runs.Sequence, CrashReport: h.crashReport()}
	for _, s := range suspicions {
		message.Suspicions = append(message.Suspicions, &peerpb.Suspicion{
			Fingerprint: s.Fingerprint[:], Upstream: s.Crash.Upstream, BootId: s.Crash.Boot,
			Isolated: s.Isolated, Cleared: s.Cleared, LeftMs: s.TTL.Milliseconds(),
		})
	}
	for _, run := range runs.Runs {
		message.IsolatedRuns = append(message.IsolatedRuns, &peerpb.IsolatedRun{
			Fingerprint: run.Fingerprint[:], Upstream: run.Upstream, Begun: run.Begun,
		})
	}
	return message
}

// suspicionLists are the parts of a message about suspected requests.
type suspicionLists interface {
	GetSuspicions() []*peerpb.Suspicion
	GetIsolatedRuns() []*peerpb.IsolatedRun
	GetRunsSequence() uint64
	GetCrashReport() *peerpb.CrashReport
}

// mergeSuspicions merges the suspicions and isolated runs of another host.
func (h *Host) mergeSuspicions(from *peerpb.Sender, lists suspicionLists) {
	suspicions := make([]retry.Suspicion, 0, len(lists.GetSuspicions()))
	for _, m := range lists.GetSuspicions() {
		suspicions = append(suspicions, retry.Suspicion{
			Fingerprint: fingerprintOf(m.GetFingerprint()),
			Crash:       retry.Crash{Upstream: m.GetUpstream(), Boot: m.GetBootId()},
			Isolated:    m.GetIsolated(), Cleared: m.GetCleared(),
			TTL: time.Duration(m.GetLeftMs()) * time.Millisecond,
		})
	}
	runs := retry.RunList{Sequence: lists.GetRunsSequence()}
	for _, m := range lists.GetIsolatedRuns() {
		runs.Runs = append(runs.Runs, retry.IsolatedRun{
			Fingerprint: fingerprintOf(m.GetFingerprint()), Upstream: m.GetUpstream(), Begun: m.GetBegun(),
		})
	}
	h.suspects.Merge(h.clock.Now(), incarnationName(from.GetHost(), from.GetIncarnation()), suspicions, runs)
	h.mergeCrashReport(lists.GetCrashReport())
}

func fingerprintOf(data []byte) retry.Fingerprint {
	var f retry.Fingerprint
	copy(f[:], data)
	return f
}

// broadcastSuspicions sends this host's suspicions and isolated runs to other hosts
// without waiting for the next heartbeat.
func (h *Host) broadcastSuspicions() {
	message := h.suspicionMessages()
	h.broadcast(func(ctx context.Context, host string) error {
		return h.mesh.Suspect(ctx, host, &peerpb.Suspicions{
			Suspicions: message.Suspicions, IsolatedRuns: message.IsolatedRuns, RunsSequence: message.RunsSequence,
			CrashReport: message.CrashReport,
		})
	})
}

// broadcast sends a message to at most maxBroadcastTargets hosts in the background.
// Failed deliveries are only logged: heartbeats carry the same information to all
// hosts.
func (h *Host) broadcast(send func(ctx context.Context, host string) error) {
	h.background.Go(func() { h.callHosts(context.Background(), send) })
}

// callHosts calls at most maxBroadcastTargets hosts at once and returns when all calls
// have ended, at the latest after broadcastTimeout. It returns the number of failed calls.
func (h *Host) callHosts(ctx context.Context, call func(ctx context.Context, host string) error) (failed int64) {
	targets := rendezvous.FirstK(h.settings.Host, h.mesh.Hosts(), maxBroadcastTargets)
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var failures atomic.Int64
	var group conc.WaitGroup
	for _, host := range targets {
		group.Go(func() {
			if err := call(ctx, host); err != nil {
				failures.Add(1)
				h.log.V(1).Info("Message not delivered.", "to", host, "error", err.Error())
			}
		})
	}
	group.Wait()
	return failures.Load()
}

// demandPeers sends demand for weights to their placement owner. It implements
// loading.Peers.
type demandPeers struct{ h *Host }

// SendDemand implements loading.Peers.
func (p demandPeers) SendDemand(ctx context.Context, demand loading.Demand) error {
	owner := p.h.owner(demand.Model)
	reply, err := p.h.mesh.Demand(ctx, owner, &peerpb.DemandReport{
		Model: demand.Model, Adapter: demand.Adapter, Waiting: uint32(max(0, demand.Waiting)),
		OldestRemainingMs: max(0, time.Until(demand.Deadline).Milliseconds()),
		Uses:              uint32(max(0, demand.Uses)),
	})
	if err != nil {
		p.h.recordFailedCall(owner)
		return err
	}
	p.h.recordAnnouncedLoads(demand.Weights, reply.GetReplicas())
	return nil
}

// recordAnnouncedLoads records the replicas and loads in progress that a placement
// owner returned.
func (h *Host) recordAnnouncedLoads(weights loading.Weights, replicas []*peerpb.Replica) {
	now := time.Now()
	for _, replica := range replicas {
		h.hints.announce(weights, replica.GetUpstream(), announcement{
			dataCenter: h.replicas.view.Load().byAddress[replica.GetUpstream()].DataCenter,
			version:    replica.GetVersion(),
			readyAt:    now.Add(time.Duration(replica.GetReadyInMs()) * time.Millisecond),
			expires:    now.Add(time.Duration(replica.GetReadyInMs())*time.Millisecond + announcementTTL),
		})
	}
}

// handleDemand serves a Demand call. If requests are waiting, it waits up to
// decisionTimeout for the load decision, so that the reply can include the load and
// the caller need not wait for the engine's report.
func (h *Host) handleDemand(ctx context.Context, m *peerpb.DemandReport) (*peerpb.DemandReply, error) {
	weights := loading.Weights{Model: m.GetModel(), Adapter: m.GetAdapter()}
	h.loading.ReceiveDemand(loading.Demand{
		From:     incarnationName(m.GetFrom().GetHost(), m.GetFrom().GetIncarnation()),
		Weights:  weights,
		Waiting:  int(m.GetWaiting()),
		Deadline: h.clock.Now().Add(time.Duration(m.GetOldestRemainingMs()) * time.Millisecond),
		Uses:     int(m.GetUses()),
	})
	if m.GetWaiting() == 0 {
		return &peerpb.DemandReply{}, nil
	}
	for end := time.Now().Add(decisionTimeout); time.Now().Before(end) && ctx.Err() == nil; clock.Sleep(ctx, decisionPollInterval) {
		if len(h.loading.Replicas(weights.Model, weights.Adapter)) > 0 {
			break
		}
	}
	return &peerpb.DemandReply{Replicas: h.replicaMessages(weights)}, nil
}

// replicaMessages returns the replicas of weights, including loading ones, as
// messages.
func (h *Host) replicaMessages(weights loading.Weights) []*peerpb.Replica {
	var messages []*peerpb.Replica
	for _, replica := range h.loading.Replicas(weights.Model, weights.Adapter) {
		message := &peerpb.Replica{Upstream: replica.Address, State: string(replica.State), Version: replica.Version}
		if !replica.ReadyAt.IsZero() {
			message.ReadyInMs = max(0, time.Until(replica.ReadyAt).Milliseconds())
		}
		messages = append(messages, message)
	}
	return messages[:min(len(messages), peer.MaxReplicas)]
}
