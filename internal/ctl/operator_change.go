package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/operator"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const (
	// maxPatchAttempts limits the attempts of a submission whose outcome is unknown.
	maxPatchAttempts  = 4
	patchRetryDelay   = 500 * time.Millisecond
	submissionIDBytes = 8
	versionUnset      = -1
)

func newPatchCommand() *cobra.Command {
	client := &operatorClient{}
	var base int64
	var reason, id string
	cmd := &cobra.Command{
		Use:   "patch [FILE]",
		Short: "Change the configuration by an RFC 6902 patch",
		Long: `Submits a JSON patch (RFC 6902) against a configuration version. The patch is
accepted or refused as a whole. A refusal names every invalid value by its JSON
pointer. FILE may hold comments; without FILE, or with "-", the patch is read
from standard input. The output of "arbutusctl diff A B --json" is taken as the
patch that it holds.

--base is the version that the patch was written against. If another version
was accepted in the meantime the patch is refused and the current version named;
look at "arbutusctl diff BASE CURRENT" and submit again. Without --base the
version that is current at submission is used, so that nothing protects values
that changed since you looked.

A submission whose answer was lost is repeated under the same submission ID,
which never creates a second version. If the outcome stays unknown, run the
command again with the --submission-id that it printed.`,
		Example: `  # Raise the rate of workspace w1
  echo '[{"op": "replace", "path": "/workspaces/w1/rate_tokens_per_s", "value": 3000}]' |
    arbutusctl patch --base 41 --reason "month close"

  # Add a model from a file
  arbutusctl patch new-model.json --base 42 --reason "model for the Tokachi vault"

  # Take back version 42
  arbutusctl diff 42 41 --json | arbutusctl patch --base 42 --reason "undo 42"

  # Move slot 7 from host h1 to h2 (indexes as "arbutusctl show" lists them)
  arbutusctl patch - --base 43 --reason "replace h1" <<'END'
  [{"op": "test",   "path": "/hosts/h1/slots/0", "value": 7},
   {"op": "remove", "path": "/hosts/h1/slots/0"},
   {"op": "add",    "path": "/hosts/h2/slots/-", "value": 7}]
  END`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			patch, err := readPatch(cmd.InOrStdin(), args)
			if err != nil {
				return err
			}
			return submitPatch(cmd, client, operator.PatchRequest{SubmissionID: id, Reason: reason, Patch: patch}, base)
		},
	}
	client.addFlags(cmd)
	addVersionFlag(cmd, &base, "base", "version that the patch was written against (default: the current one)")
	cmd.Flags().StringVar(&reason, "reason", "", "why the change is made, shown by history and blame")
	cmd.Flags().StringVar(&id, "submission-id", "", "ID of the submission (default: generated)")
	return cmd
}

// addVersionFlag declares a flag for a version number. Its default is versionUnset,
// which the help text does not show.
func addVersionFlag(cmd *cobra.Command, version *int64, name, usage string) {
	cmd.Flags().Int64Var(version, name, versionUnset, usage)
	cmd.Flags().Lookup(name).DefValue = "0"
}

// readPatch reads a JSON patch, which may contain comments, from a file or from
// standard input. Errors are *FileError.
func readPatch(stdin io.Reader, args []string) (json.RawMessage, error) {
	name := "-"
	if len(args) == 1 {
		name = args[0]
	}
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, eris.Wrap(&FileError{Name: name, Cause: err}, "read patch")
	}
	patch, err := hujson.Standardize(data)
	if err != nil {
		return nil, eris.Wrap(&FileError{Name: name, Cause: err}, "read patch")
	}
	return extractChanges(patch), nil
}

// extractChanges returns the "changes" field of the output of "diff --json", which is
// a patch. It returns any other input unchanged.
func extractChanges(patch json.RawMessage) json.RawMessage {
	var diff struct {
		Changes json.RawMessage `json:"changes"`
	}
	if err := json.Unmarshal(patch, &diff); err != nil || diff.Changes == nil {
		return patch
	}
	return diff.Changes
}

func submitPatch(cmd *cobra.Command, client *operatorClient, request operator.PatchRequest, base int64) error {
	if request.SubmissionID == "" {
		request.SubmissionID = newSubmissionID()
	}
	version, err := resolveBaseVersion(cmd.Context(), client, base)
	if err != nil {
		return err
	}
	request.BaseVersion = &version
	data, err := submitWithRetry(cmd.Context(), client, request)
	if err != nil {
		if unknownOutcome(err) {
			fmt.Fprintf(cmd.ErrOrStderr(), "The outcome is unknown. Repeat the command with --base %d --submission-id %s.\n", version, request.SubmissionID)
		}
		if current, conflict := versionConflict(err); conflict {
			fmt.Fprintf(cmd.ErrOrStderr(), "See what changed with: arbutusctl diff %d %d\n", version, current)
		}
		return err
	}
	var accepted configstore.Version
	if ok, err := client.decode(cmd.OutOrStdout(), data, &accepted); !ok {
		return err
	}
	return outputError(fmt.Fprintf(cmd.OutOrStdout(), "Version %d accepted.\n", accepted.Number))
}

// resolveBaseVersion returns base, or the current version if base is versionUnset.
func resolveBaseVersion(ctx context.Context, client *operatorClient, base int64) (uint64, error) {
	if base >= 0 {
		return uint64(base), nil
	}
	data, err := client.call(ctx, http.MethodGet, "/versions?limit=1", nil)
	if err != nil {
		return 0, err
	}
	var history operator.History
	if err := json.Unmarshal(data, &history); err != nil {
		return 0, eris.Wrap(&ServerError{Server: client.baseURL(), Cause: err}, "answer")
	}
	return history.Head.Version, nil
}

// submitWithRetry sends a submission until its outcome is known, at most
// maxPatchAttempts times. The submission ID prevents a second version.
func submitWithRetry(ctx context.Context, client *operatorClient, request operator.PatchRequest) (json.RawMessage, error) {
	for attempt := 1; ; attempt++ {
		data, err := client.call(ctx, http.MethodPost, "/patches", request)
		if err == nil || !unknownOutcome(err) || attempt == maxPatchAttempts {
			return data, err
		}
		time.Sleep(patchRetryDelay)
	}
}

// unknownOutcome reports whether a failed submission may have been accepted: the
// host reported an unknown outcome or did not send a usable response.
func unknownOutcome(err error) bool {
	var rejected *ProblemError
	if errors.As(err, &rejected) {
		return !rejected.Problem.NotRun && strings.HasSuffix(rejected.Problem.Type, string(problem.UnknownOutcome))
	}
	var server *ServerError
	return errors.As(err, &server)
}

// versionConflict returns the current version if a submission was rejected because
// its base version is older.
func versionConflict(err error) (current uint64, conflict bool) {
	var rejected *ProblemError
	if !errors.As(err, &rejected) || !strings.HasSuffix(rejected.Problem.Type, ":"+string(problem.VersionConflict)) {
		return 0, false
	}
	return rejected.Problem.CurrentVersion, true
}

func newSubmissionID() string {
	id := make([]byte, submissionIDBytes)
	_, _ = rand.Read(id) // crypto/rand.Read never returns an error
	return "ctl-" + hex.EncodeToString(id)
}

func newKeyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Issue or withdraw a caller's key",
		Long: `Issues and withdraws the keys of workspaces. Both are configuration changes and
appear in the history.`,
		Args: cobra.NoArgs,
	}
	cmd.AddCommand(newKeyIssueCommand(), newKeyWithdrawCommand())
	return cmd
}

func newKeyIssueCommand() *cobra.Command {
	client := &operatorClient{}
	var request operator.IssueKeyRequest
	cmd := &cobra.Command{
		Use:   "issue WORKSPACE",
		Short: "Issue a key and print it once",
		Long: `Issues a key of a workspace. The key is printed on standard output, once: only
its SHA-256 is stored. If the answer is lost, look up the key's ID in the
history, withdraw it and issue another.`,
		Example: `  arbutusctl key issue w1 --reason "new drawer terminal" > terminal.key
  arbutusctl key issue w1 --key-id terminal-7`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := client.call(cmd.Context(), http.MethodPost, keysPath(args[0]), request)
			if err != nil {
				return err
			}
			var issued operator.IssuedKey
			if ok, err := client.decode(cmd.OutOrStdout(), data, &issued); !ok {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "Key %s of workspace %s issued in version %d.\n", issued.KeyID, issued.Workspace, issued.Version)
			return outputError(fmt.Fprintln(cmd.OutOrStdout(), issued.Key))
		},
	}
	client.addFlags(cmd)
	cmd.Flags().StringVar(&request.KeyID, "key-id", "", "ID of the key (default: generated)")
	cmd.Flags().StringVar(&request.Reason, "reason", "", "why the key is issued, shown by history and blame")
	return cmd
}

func newKeyWithdrawCommand() *cobra.Command {
	client := &operatorClient{}
	var reason string
	cmd := &cobra.Command{
		Use:   "withdraw WORKSPACE KEY-ID",
		Short: "Withdraw a key",
		Long: `Withdraws a key of a workspace. Requests that run under the key end within
seconds, as do connections that use it. A withdrawn key stays in the
configuration, so that its callers are told that it was withdrawn.`,
		Example: `  arbutusctl key withdraw w1 terminal-7 --reason "terminal stolen"`,
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := keysPath(args[0]) + "/" + url.PathEscape(args[1]) + "?" + url.Values{"reason": {reason}}.Encode()
			data, err := client.call(cmd.Context(), http.MethodDelete, path, nil)
			if err != nil {
				return err
			}
			var withdrawn operator.WithdrawnKey
			if ok, err := client.decode(cmd.OutOrStdout(), data, &withdrawn); !ok {
				return err
			}
			return printWithdrawnKey(cmd.OutOrStdout(), withdrawn)
		},
	}
	client.addFlags(cmd)
	cmd.Flags().StringVar(&reason, "reason", "", "why the key is withdrawn, shown by history and blame")
	return cmd
}

func printWithdrawnKey(out io.Writer, withdrawn operator.WithdrawnKey) error {
	if withdrawn.AlreadyWithdrawn {
		return outputError(fmt.Fprintf(out, "Key %s of workspace %s had been withdrawn before.\n", withdrawn.KeyID, withdrawn.Workspace))
	}
	return outputError(fmt.Fprintf(out, "Key %s of workspace %s withdrawn in version %d.\n", withdrawn.KeyID, withdrawn.Workspace, withdrawn.Version))
}

func keysPath(workspace string) string { return "/workspaces/" + url.PathEscape(workspace) + "/keys" }
