package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/loadgen"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

const (
	callTimeout = 3 * time.Second
	// maxPropagationTime is the longest allowed time until a configuration is applied on
	// all hosts.
	maxPropagationTime  = 2 * time.Second
	versionPollInterval = 10 * time.Millisecond
	maxResponseBytes    = 1 << 20
	versionHeader       = "X-Config-Version"
	withdrawnKeyID      = "k2"
	demoModelLoadMS     = 300
)

// operation is one operation of a JSON Patch (RFC 6902).
type operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// patchRequest is the body of a request to apply a patch.
type patchRequest struct {
	BaseVersion  uint64      `json:"base_version"`
	SubmissionID string      `json:"submission_id"`
	Reason       string      `json:"reason"`
	Patch        []operation `json:"patch"`
}

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

func (d *demo) applyPatch(ctx context.Context) error {
	patch := []operation{
		{Op: "replace", Path: config.Pointer("workspaces", workspace, "rate_tokens_per_s"), Value: 4000},
		{Op: "add", Path: config.Pointer("models", newModel), Value: config.Model{
			Service: d.fleet.Deployment.Shape.EngineService, Bytes: newModelBytes, Version: "1", MaxReplicas: 1, LoadMS: demoModelLoadMS,
		}},
	}
	return d.submitPatch(ctx, "Raise the curators' rate and add a model", patch)
}

// submitPatch sends a patch to the first host and waits until it is applied on all
// hosts.
func (d *demo) submitPatch(ctx context.Context, reason string, patch []operation) error {
	base, err := d.currentVersion(ctx, 0)
	if err != nil {
		return err
	}
	started := time.Now()
	message := patchRequest{
		BaseVersion: base, SubmissionID: fmt.Sprintf("demo-%d", started.UnixNano()), Reason: reason, Patch: patch,
	}
	if err := d.postPatch(ctx, message); err != nil {
		return err
	}
	d.printf("Patch accepted after %d ms: %s.", time.Since(started).Milliseconds(), reason)
	for host := range d.target.Hosts {
		if err := d.waitVersion(ctx, host, base+1, started); err != nil {
			return err
		}
	}
	d.printf("Version %d is in force at all %d hosts after %d ms.", base+1, len(d.target.Hosts), time.Since(started).Milliseconds())
	return nil
}

func (d *demo) postPatch(ctx context.Context, message patchRequest) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	operator := d.fleet.Deployment.Shape.Operators[0]
	key := d.fleet.Deployment.OperatorKeys[operator]
	_, err = d.call(ctx, http.MethodPost, 0, "/admin/v1/patches", key, body)
	return err
}

// currentVersion returns a host's current configuration version.
func (d *demo) currentVersion(ctx context.Context, host int) (uint64, error) {
	header, err := d.call(ctx, http.MethodGet, host, "/v1/models", d.target.Workspaces[workspace].Key, nil)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(header.Get(versionHeader), 10, 64)
}

func (d *demo) waitVersion(ctx context.Context, host int, version uint64, since time.Time) error {
	for {
		current, err := d.currentVersion(ctx, host)
		if err != nil {
			return err
		}
		if current >= version {
			return nil
		}
		if time.Since(since) > maxPropagationTime {
			return &UnexpectedResultError{Got: fmt.Sprintf("version %d at %s", current, d.fleet.Deployment.HostNames[host]), Want: fmt.Sprint(version)}
		}
		if err := sleep(ctx, versionPollInterval); err != nil {
			return err
		}
	}
}

// call sends one request to a host and returns the response header. A status of 300
// or more is returned as *StatusError.
func (d *demo) call(ctx context.Context, method string, host int, path, key string, body []byte) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.target.Hosts[host]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, &StatusError{Status: response.StatusCode, Body: string(data)}
	}
	return response.Header, nil
}

// repeatWithdrawal sends a withdrawal to one host and repeats it at another with the
// same idempotency key. It checks that the service ran it once.
func (d *demo) repeatWithdrawal(ctx context.Context) error {
	d.requests++
	call := loadgen.Arrival{
		Number: d.requests, Workspace: workspace, Class: loadgen.ClassCall, Deadline: requestDeadline,
		Service: d.fleet.Deployment.Shape.PlainService, Method: http.MethodPost, Path: "/withdrawals",
		Body: "one packet of seed lot 17", IdempotencyKey: "withdrawal-17",
	}
	d.printf("Withdrawing a seed lot at one host, and again with the same idempotency key at another.")
	for _, host := range []int{0, len(d.target.Hosts) - 1} {
		call.Host = host
		if err := d.send(ctx, []loadgen.Arrival{call}); err != nil {
			return err
		}
	}
	runs := 0
	for _, s := range d.fleet.Services {
		runs += len(s.Record().Runs)
	}
	d.printf("The ledger ran the withdrawal %d time.", runs)
	if runs != 1 {
		return &UnexpectedResultError{Got: fmt.Sprintf("%d runs", runs), Want: "1 run"}
	}
	return nil
}

// withdrawKey withdraws the workspace's second key and checks that every host refuses it.
func (d *demo) withdrawKey(ctx context.Context) error {
	key := d.fleet.Deployment.CallerKeys[workspace][1]
	last := len(d.target.Hosts) - 1
	if _, err := d.call(ctx, http.MethodGet, last, "/v1/models", key, nil); err != nil {
		return err
	}
	pointer := config.Pointer("workspaces", workspace, "keys", withdrawnKeyID, "withdrawn")
	if err := d.submitPatch(ctx, "Withdraw a key", []operation{{Op: "add", Path: pointer, Value: true}}); err != nil {
		return err
	}
	for host := range d.target.Hosts {
		if err := d.expectRefusal(ctx, host, key); err != nil {
			return err
		}
	}
	d.printf("Every host refuses the withdrawn key.")
	return nil
}

func (d *demo) expectRefusal(ctx context.Context, host int, key string) error {
	_, err := d.call(ctx, http.MethodGet, host, "/v1/models", key, nil)
	var status *StatusError
	if !errors.As(err, &status) || status.Status != http.StatusUnauthorized {
		return &UnexpectedResultError{Got: fmt.Sprint(err), Want: string(problem.KeyWithdrawn)}
	}
	return nil
}

// checkCallerKeys checks that no upstream received a caller's key.
func (d *demo) checkCallerKeys(context.Context) error {
	var captured []upstream.CapturedValue
	for _, e := range d.fleet.Engines {
		captured = append(captured, e.Record().CapturedValues...)
	}
	for _, s := range d.fleet.Services {
		captured = append(captured, s.Record().CapturedValues...)
	}
	for _, keys := range d.fleet.Deployment.CallerKeys {
		for _, key := range keys {
			if value, ok := upstream.FindContaining(captured, key); ok {
				return &UnexpectedResultError{Got: "a caller's key in " + value.Where + " " + value.Name, Want: "none"}
			}
		}
	}
	d.printf("No upstream saw a caller's key.")
	return nil
}
