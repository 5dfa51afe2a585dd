package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/cli"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/operator"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// fixture is the administration API of one host. While responsesToDrop is positive,
// a POST request takes effect, its response is dropped and the count decreases.
type fixture struct {
	t               *testing.T
	platform        *standin.Server
	current         atomic.Pointer[config.Snapshot]
	responsesToDrop atomic.Int32
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	table := standin.New(1)
	platformServer := httptest.NewServer(table)
	t.Cleanup(platformServer.Close)
	client := platform.NewClient(strings.TrimPrefix(platformServer.URL, "http://"))
	store := configstore.NewStore(configstore.StoreOptions{Table: client, Objects: client})
	if err := store.Bootstrap(t.Context(), configtest.Document()); err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, platform: table}
	load := func(ctx context.Context, _ configstore.Version) error {
		snapshot, err := store.Load(ctx)
		f.current.Store(snapshot)
		return err
	}
	if err := load(t.Context(), configstore.Version{}); err != nil {
		t.Fatal(err)
	}
	handler := operator.New(operator.Options{
		Store: store, Current: f.current.Load, PublishAccepted: load,
		Status: func(context.Context) []operator.HostStatus {
			return []operator.HostStatus{{Host: "h1", DataCenter: "dc1", Reachable: true, Version: 7, Confirmed: true}, {Host: "h2", DataCenter: "dc1"}}
		},
		Dump:    func(context.Context) any { return map[string]int{"queues": 3} },
		Explain: func(_ context.Context, id string) (any, bool) { return map[string]string{"request": id}, true },
	})
	server := httptest.NewServer(f.dropResponses(handler))
	t.Cleanup(server.Close)
	t.Setenv(serverVariable, server.URL)
	t.Setenv(operatorVariable, configtest.OperatorKey)
	return f
}

func (f *fixture) dropResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && f.responsesToDrop.Add(-1) >= 0 {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// run executes a command line, checks the exit code and returns the output.
func (f *fixture) run(wantCode int, args ...string) (stdout, stderr string) {
	f.t.Helper()
	var out, errors bytes.Buffer
	if code := Run(args, &out, &errors); code != wantCode {
		f.t.Errorf("%q: exit code %d, want %d: %s%s", args, code, wantCode, out.String(), errors.String())
	}
	return out.String(), errors.String()
}

// expect runs a command that must succeed and checks that its output contains want.
func (f *fixture) expect(want string, args ...string) {
	f.t.Helper()
	if out, _ := f.run(cli.ExitOK, args...); !strings.Contains(out, want) {
		f.t.Errorf("%q printed %q, want %q", args, out, want)
	}
}

func (f *fixture) writePatch(text string) string {
	name := filepath.Join(f.t.TempDir(), "patch.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return name
}

// Guards against a change that an operator cannot trace: patch, history, show, diff
// and blame must report the same version.
func TestChangeAndTrace(t *testing.T) {
	f := newFixture(t)
	file := f.writePatch(`[{"op": "replace", "path": "/models/m1/max_replicas", "value": 5}, /* month close */]`)
	f.expect("Version 1 accepted.", "patch", file, "--base", "0", "--reason", "month close")
	_, stderr := f.run(cli.ExitError, "patch", file, "--base", "0")
	if !strings.Contains(stderr, "current version is 1") || !strings.Contains(stderr, "arbutusctl diff 0 1") {
		t.Errorf("conflict printed %q", stderr)
	}
	f.expect("month close", "history")
	f.expect(`"max_replicas": 2`, "show", "--version", "0")
	f.expect("~ /models/m1/max_replicas: 2 -> 5", "diff", "0", "current")
	f.expect("version 1 of", "blame", "/models/m1/max_replicas")
	_, stderr = f.run(cli.ExitError, "patch", f.writePatch(`[{"op": "replace", "path": "/models/m1/bytes", "value": -5}]`))
	if !strings.Contains(stderr, "/models/m1/bytes: must be between") {
		t.Errorf("invalid patch printed %q", stderr)
	}
}

// Guards against a diff that cannot be submitted as a patch to revert a version.
func TestDiffRevertsVersion(t *testing.T) {
	f := newFixture(t)
	f.expect("Version 1 accepted.", "patch", f.writePatch(`[{"op": "replace", "path": "/models/m1/max_replicas", "value": 5}]`))
	diff, _ := f.run(cli.ExitOK, "diff", "1", "0", "--json")
	f.expect("Version 2 accepted.", "patch", f.writePatch(diff), "--base", "1", "--reason", "undo")
	if got := f.current.Load().Document.Models["m1"].MaxReplicas; got != 2 {
		t.Errorf("max_replicas is %d after the revert, want 2", got)
	}
}

// Guards against an operator who cannot read the configuration that a host applies
// while the platform is down.
func TestAppliedVersionShownDuringOutage(t *testing.T) {
	f := newFixture(t)
	f.platform.SetFaults(standin.Faults{Down: true})
	_, stderr := f.run(cli.ExitError, "show")
	if !strings.Contains(stderr, "table service is unavailable") {
		t.Errorf("show printed %q", stderr)
	}
	f.expect(`"max_replicas": 2`, "show", "--version", "in-force")
	f.expect("", "diff", "in-force", "in-force")
}

// Guards against a second version when the response to a submission is lost, and
// against a missing hint how to repeat the submission.
func TestSubmissionRepeatedAfterLostResponse(t *testing.T) {
	f := newFixture(t)
	file := f.writePatch(`[{"op": "replace", "path": "/models/m1/max_replicas", "value": 5}]`)
	f.responsesToDrop.Store(1)
	f.expect("Version 1 accepted.", "patch", file)
	f.responsesToDrop.Store(maxPatchAttempts)
	_, stderr := f.run(cli.ExitError, "patch", file, "--submission-id", "mine")
	if !strings.Contains(stderr, "--base 1 --submission-id mine") {
		t.Errorf("unknown outcome printed %q", stderr)
	}
	f.expect("Version 2 accepted.", "patch", file, "--base", "1", "--submission-id", "mine")
}

// Guards against a printed key that is not the issued one, and against withdrawals
// that are not applied or not listed in the history.
func TestKeyCommands(t *testing.T) {
	f := newFixture(t)
	key, _ := f.run(cli.ExitOK, "key", "issue", "w1", "--key-id", "k9")
	if ref, ok := f.current.Load().LookupKey(strings.TrimSpace(key)); !ok || ref.KeyID != "k9" {
		t.Errorf("key %q is found as %+v, %v", key, ref, ok)
	}
	f.expect("withdrawn in version 2", "key", "withdraw", "w1", "k9", "--reason", "lost & found")
	f.expect("had been withdrawn before", "key", "withdraw", "w1", "k9")
	f.expect("lost & found", "history")
	f.run(cli.ExitError, "key", "withdraw", "w1", "none")
}

// Guards against a status that omits unreachable hosts, and against commands that run
// without an operator key.
func TestObserveCommands(t *testing.T) {
	f := newFixture(t)
	f.expect("h2    dc1          ?        -      no", "status")
	f.expect(`"queues": 3`, "dump")
	f.expect(`"request": "r1"`, "explain", "r1")
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(configtest.OperatorKey+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(operatorVariable, "")
	f.expect(`"queues": 3`, "dump", "--operator-key-file", keyFile)
	if _, stderr := f.run(cli.ExitError, "dump"); !strings.Contains(stderr, operatorVariable) {
		t.Errorf("without a key printed %q", stderr)
	}
	if _, stderr := f.run(cli.ExitError, "dump", "--operator-key-file", keyFile, "--server", "127.0.0.1:1"); !strings.Contains(stderr, "127.0.0.1:1") {
		t.Errorf("without a host printed %q", stderr)
	}
}

// Guards against commands without a description or an example.
func TestHelpTexts(t *testing.T) {
	for _, command := range newOperatorCommands() {
		if command.Long == "" || command.Example == "" && !command.HasSubCommands() {
			t.Errorf("command %s lacks a description or an example", command.Name())
		}
	}
	var out bytes.Buffer
	if code := Run([]string{"patch", "--help"}, &out, &out); code != cli.ExitOK || !strings.Contains(out.String(), "--submission-id") {
		t.Error(fmt.Sprint("help: ", code, out.String()))
	}
}
