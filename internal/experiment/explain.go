package experiment

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/loadgen"
)

const (
	// maxExplainedRequests is the number of slowest cold starts to explain.
	maxExplainedRequests = 20
	explainTimeout       = time.Second
	maxExplainBytes      = 1 << 20
)

// slowRequest is a cold-started request with the host's explanation of how it was
// handled. Times are in milliseconds. The JSON tags are
// the field names in the output file and may differ from the Go names.
type slowRequest struct {
	Request       requestRow      `json:"request"`
	WaitMS        float64         `json:"wait_ms"`
	ReservationMS float64         `json:"order_ms"` // from arrival until the engine reserved memory for the load
	LoadMS        float64         `json:"load_ms"`  // from the reservation until the model was loaded
	Explanation   json.RawMessage `json:"account,omitempty"`
}

// explainSlowest fetches the hosts' explanations of the slowest cold starts. Hosts
// that were replaced have lost theirs, so those explanations are missing.
func (r *Run) explainSlowest(ctx context.Context) {
	cold := r.coldStarts()
	slices.SortFunc(cold, func(a, b coldStart) int { return cmp.Compare(b.wait, a.wait) })
	reserved := r.reservations()
	for _, start := range cold[:min(maxExplainedRequests, len(cold))] {
		at := start.outcome.Arrival.At
		e := slowRequest{Request: newRequestRow(start.outcome), WaitMS: toMilliseconds(start.wait)}
		if ordered, ok := reserved[loadKey{start.model, start.loadedAt}]; ok {
			e.ReservationMS = toMilliseconds(ordered - at)
			e.LoadMS = toMilliseconds(start.loadedAt - ordered)
		}
		e.Explanation = r.fetchExplanation(ctx, start.outcome)
		r.slowest = append(r.slowest, e)
	}
}

// fetchExplanation returns nil if the host provides no explanation.
func (r *Run) fetchExplanation(ctx context.Context, o *loadgen.Outcome) json.RawMessage {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	d := r.fleet.Deployment
	address := d.Document.Hosts[d.HostNames[o.Host]].Address
	url := fmt.Sprintf("http://%s/admin/v1/explain/%s", address, o.RequestID)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil
	}
	request.Header.Set("Authorization", "Bearer "+d.OperatorKeys[d.Shape.Operators[0]])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxExplainBytes))
	if err != nil || !json.Valid(data) {
		return nil
	}
	return data
}

// writeSlowest writes one JSON line per explained request.
func (r *Run) writeSlowest(directory string) error {
	name := fmt.Sprintf("%s-%s-slowest.jsonl", r.Scenario.Name, r.Policy)
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, e := range r.slowest {
		if err := encoder.Encode(e); err != nil {
			return &WriteError{File: name, Cause: err}
		}
	}
	return writeFile(directory, name, lines.Bytes())
}
