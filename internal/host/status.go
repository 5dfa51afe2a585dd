package host

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/arbutusbank/arbutusbank/internal/operator"
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
)

// statusTimeout bounds Host.Status, including the calls to all hosts.
const statusTimeout = 2 * time.Second

// maxStatusCalls is the maximum number of concurrent Status calls to other hosts.
const maxStatusCalls = 64

// HostStatus is the configuration status of a host.
type HostStatus = operator.HostStatus

// statusDetail is the JSON detail in the reply to a Status call.
type statusDetail struct {
	SinceAgeMS int64 `json:"since_age_ms"` // time since the version was applied
	Confirmed  bool  `json:"confirmed"`
}

// StatusFormatError reports a status or explain record that cannot be encoded.
type StatusFormatError struct{ Cause error }

// Error implements error.
func (e *StatusFormatError) Error() string { return "malformed status: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StatusFormatError) Unwrap() error { return e.Cause }

// handleStatus serves a Status call from another host.
func (h *Host) handleStatus(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	reply := &peerpb.StatusReply{}
	current := h.follower.Current()
	if current == nil {
		return reply, nil
	}
	reply.ConfigVersion, reply.ConfigHash = current.Version, current.Hash
	detail := statusDetail{Confirmed: h.follower.Confirmed()}
	if since, ok := h.follower.AppliedAt(current.Version); ok {
		detail.SinceAgeMS = time.Since(since).Milliseconds()
	}
	data, err := json.Marshal(detail)
	if err != nil {
		return nil, eris.Wrap(&StatusFormatError{Cause: err}, "encode")
	}
	reply.Detail = data
	return reply, nil
}

// Status returns the configuration status of every host, sorted by name. Hosts that
// do not respond are marked as not reachable.
func (h *Host) Status(ctx context.Context) []HostStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	peers := h.mesh.Peers()
	statuses := make([]HostStatus, len(peers), len(peers)+1)
	group := pool.New().WithMaxGoroutines(maxStatusCalls)
	for i, state := range peers {
		group.Go(func() {
			statuses[i] = HostStatus{
				Host: state.Host, DataCenter: state.DataCenter,
				Version: state.ConfigVersion, Hash: state.ConfigHash, LastHeard: state.LastHeard,
			}
			h.fetchStatus(ctx, &statuses[i])
		})
	}
	group.Wait()
	statuses = append(statuses, h.ownStatus())
	slices.SortFunc(statuses, func(a, b HostStatus) int { return strings.Compare(a.Host, b.Host) })
	return statuses
}

func (h *Host) fetchStatus(ctx context.Context, status *HostStatus) {
	reply, err := h.mesh.Status(ctx, status.Host)
	if err != nil {
		status.Detail = "not reachable: " + err.Error()
		return
	}
	status.Reachable = true
	status.Version, status.Hash = reply.GetConfigVersion(), reply.GetConfigHash()
	status.LastHeard = time.Now()
	var detail statusDetail
	if err := json.Unmarshal(reply.GetDetail(), &detail); err != nil {
		status.Detail = "no configuration in force"
		return
	}
	status.Since = time.Now().Add(-time.Duration(detail.SinceAgeMS) * time.Millisecond)
	status.Confirmed = detail.Confirmed
	if !detail.Confirmed {
		status.Detail = "no contact with the platform or another data centre"
	}
}

func (h *Host) ownStatus() HostStatus {
	status := HostStatus{Host: h.settings.Host, DataCenter: h.settings.DataCenter, Reachable: true, LastHeard: time.Now()}
	current := h.follower.Current()
	if current == nil {
		status.Detail = "no configuration in force"
		return status
	}
	status.Version, status.Hash = current.Version, current.Hash
	status.Confirmed = h.follower.Confirmed()
	if since, ok := h.follower.AppliedAt(current.Version); ok {
		status.Since = since
	}
	if !status.Confirmed {
		status.Detail = "no contact with the platform or another data centre"
	}
	return status
}
