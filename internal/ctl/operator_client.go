package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const (
	defaultServer    = "127.0.0.1:7001"
	serverVariable   = "ARBUTUSBANK_SERVER"
	operatorVariable = "ARBUTUSBANK_OPERATOR_KEY"
	requestTimeout   = 20 * time.Second // longer than the host's own limit of 15 s
	maxResponseBytes = 64 << 20
	adminPath        = "/admin/v1"
)

// operatorClient calls the administration API of one host.
type operatorClient struct {
	server  string
	keyFile string
	asJSON  bool // print responses as JSON
}

// addFlags declares the flags that all operator commands share.
func (c *operatorClient) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&c.server, "server", "", "IP:port or URL of any host (default $"+serverVariable+", then "+defaultServer+")")
	flags.StringVar(&c.keyFile, "operator-key-file", "", "file with the operator key (default: the key in $"+operatorVariable+")")
	flags.BoolVar(&c.asJSON, "json", false, "print the answer as JSON")
}

// MissingOperatorKeyError reports that no operator key was given.
type MissingOperatorKeyError struct{}

// Error implements error.
func (*MissingOperatorKeyError) Error() string {
	return "no operator key: name a file with --operator-key-file or set " + operatorVariable
}

// FileError reports a file that cannot be read or parsed.
type FileError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("file %s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// ServerError reports that a host could not be reached or sent no usable response.
type ServerError struct {
	Server string
	Cause  error
}

// Error implements error.
func (e *ServerError) Error() string { return fmt.Sprintf("host %s: %v", e.Server, e.Cause) }

// Unwrap returns the cause.
func (e *ServerError) Unwrap() error { return e.Cause }

// ProblemError is a problem document that a host responded with.
type ProblemError struct{ Problem problem.Document }

// Error implements error.
func (e *ProblemError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Problem.Title, e.Problem.Detail)
	for _, field := range e.Problem.Errors {
		fmt.Fprintf(&b, "\n  %s: %s", displayPointer(field.Pointer), field.Reason)
	}
	if e.Problem.RequestID != "" {
		fmt.Fprintf(&b, "\n  request %s", e.Problem.RequestID)
	}
	return b.String()
}

// displayPointer returns a JSON pointer for display. The pointer of the whole
// document, an empty string, is spelled out.
func displayPointer(pointer string) string {
	if pointer == "" {
		return "(whole document)"
	}
	return pointer
}

// StatusError reports an HTTP status without a problem document.
type StatusError struct{ Status string }

// Error implements error.
func (e *StatusError) Error() string { return "unexpected answer: " + e.Status }

// readKey returns the operator key from the key file or the environment. Errors are
// *MissingOperatorKeyError and *FileError.
func (c *operatorClient) readKey() (string, error) {
	if c.keyFile == "" {
		if key := strings.TrimSpace(os.Getenv(operatorVariable)); key != "" {
			return key, nil
		}
		return "", eris.Wrap(&MissingOperatorKeyError{}, "operator key")
	}
	data, err := os.ReadFile(c.keyFile)
	if err != nil {
		return "", eris.Wrap(&FileError{Name: c.keyFile, Cause: err}, "operator key")
	}
	return strings.TrimSpace(string(data)), nil
}

func (c *operatorClient) baseURL() string {
	server := c.server
	if server == "" {
		server = os.Getenv(serverVariable)
	}
	if server == "" {
		server = defaultServer
	}
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	return strings.TrimSuffix(server, "/")
}

// call sends a request and returns the JSON response. Errors are *ProblemError for a
// problem document, those of readKey, and *ServerError otherwise.
func (c *operatorClient) call(ctx context.Context, method, path string, body any) (json.RawMessage, error) {
	key, err := c.readKey()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return nil, eris.Wrap(&ServerError{Server: c.baseURL(), Cause: err}, "call")
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(&ServerError{Server: c.baseURL(), Cause: err}, "call")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(&ServerError{Server: c.baseURL(), Cause: err}, "call")
	}
	return data, c.responseError(response, data)
}

func (c *operatorClient) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, c.baseURL()+adminPath+path, nil)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, method, c.baseURL()+adminPath+path, bytes.NewReader(data))
}

// responseError returns the error that a response reports, or nil for status 200.
func (c *operatorClient) responseError(response *http.Response, data []byte) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	if response.Header.Get("Content-Type") == problem.ContentType {
		var document problem.Document
		if err := json.Unmarshal(data, &document); err == nil {
			return eris.Wrap(&ProblemError{Problem: document}, "refused")
		}
	}
	return eris.Wrap(&ServerError{Server: c.baseURL(), Cause: &StatusError{Status: response.Status}}, "call")
}

// get sends a GET request and decodes the response into a value. With --json it
// prints the response instead and returns false.
func (c *operatorClient) get(cmd *cobra.Command, path string, into any) (bool, error) {
	data, err := c.call(cmd.Context(), http.MethodGet, path, nil)
	if err != nil {
		return false, err
	}
	return c.decode(cmd.OutOrStdout(), data, into)
}

// decode decodes a response into a value. With --json it prints the response instead
// and returns false.
func (c *operatorClient) decode(out io.Writer, data json.RawMessage, into any) (bool, error) {
	if c.asJSON {
		return false, printJSON(out, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return false, eris.Wrap(&ServerError{Server: c.baseURL(), Cause: err}, "answer")
	}
	return true, nil
}

func printJSON(out io.Writer, data json.RawMessage) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(data), "", "  "); err != nil {
		return eris.Wrap(&OutputError{Cause: err}, "print")
	}
	indented.WriteByte('\n')
	return outputError(indented.WriteTo(out))
}

// OutputError reports that output could not be printed.
type OutputError struct{ Cause error }

// Error implements error.
func (e *OutputError) Error() string { return "print the answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutputError) Unwrap() error { return e.Cause }

// outputError wraps the error of a write in *OutputError. It takes both results of
// the write, so that a call to fmt.Fprintf can be passed as its argument.
func outputError[N int | int64](_ N, err error) error {
	if err != nil {
		return eris.Wrap(&OutputError{Cause: err}, "print")
	}
	return nil
}
