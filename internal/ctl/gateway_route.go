package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/gateway"
)

const (
	keyVariable = "ARBUTUSBANK_KEY"
	// exitWouldWait and exitWouldBeRefused are the exit codes of outcomes other than a send.
	exitWouldWait      = 3
	exitWouldBeRefused = 4
)

// RouteOutcomeError reports that a request would not be sent at once. The answer has been
// printed.
type RouteOutcomeError struct{ Outcome string }

// Error implements error.
func (e *RouteOutcomeError) Error() string { return "the request would not be sent now: " + e.Outcome }

// ExitCode returns the exit code of the process.
func (e *RouteOutcomeError) ExitCode() int {
	if e.Outcome == gateway.RouteWaits {
		return exitWouldWait
	}
	return exitWouldBeRefused
}

// InvalidFlagError reports an invalid value of a flag.
type InvalidFlagError struct{ Flag, Reason string }

// Error implements error.
func (e *InvalidFlagError) Error() string { return "--" + e.Flag + ": " + e.Reason }

// routeOptions are the flags of the command.
type routeOptions struct {
	query    gateway.RouteQuery
	hosts    []string
	keyFile  string
	model    string
	segments []string
	allHosts bool
	asJSON   bool
}

func newRouteCommand() *cobra.Command {
	o := &routeOptions{}
	cmd := &cobra.Command{
		Use:   "route",
		Short: "Explain where a gateway host would send a request now, without sending it",
		Long: `Asks a gateway host, at its metrics address, what it would do with a request now
and prints the decision and what it depends on. Nothing is sent, charged or
counted. The key is read from --key-file or $` + keyVariable + ` and never printed.

The exit code is 0 if the request would be sent at once, 3 if it would wait, 4
if it would be refused, and 1 for errors. With --all-hosts every host that
--gateway names is asked, and the exit code is the greatest of all answers.`,
		Example: `  arbutusctl route --gateway 10.0.0.3:19464 --host api.example --path /v1/chat --model m1/a1 --prompt-tokens 900 --output-tokens 200 --key-file terminal.key
  arbutusctl route --all-hosts --gateway 10.0.0.3:19464 --gateway 10.0.0.4:19464 --host api.example --path /ledger/1 --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.complete(); err != nil {
				return err
			}
			return o.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&o.hosts, "gateway", nil, "metrics address (IP:port) of a gateway host (repeatable with --all-hosts)")
	flags.BoolVar(&o.allHosts, "all-hosts", false, "ask all hosts that --gateway names and compare their answers")
	flags.StringVar(&o.query.Method, "method", http.MethodPost, "method of the request")
	flags.StringVar(&o.query.Host, "host", "", "host of the request")
	flags.StringVar(&o.query.Path, "path", "/", "path of the request, with its query string")
	flags.StringVar(&o.keyFile, "key-file", "", "file with the key of the request (default: the key in $"+keyVariable+")")
	flags.StringVar(&o.model, "model", "", "MODEL or MODEL/ADAPTER")
	flags.IntVar(&o.query.PromptTokens, "prompt-tokens", 0, "tokens of the prompt")
	flags.IntVar(&o.query.OutputTokens, "output-tokens", 0, "tokens of the answer at most")
	flags.StringArrayVar(&o.segments, "segment", nil, "prompt segment as ID:TOKENS, in order (repeatable)")
	flags.StringVar(&o.query.DataCenter, "data-center", "", "choose as a host of this data centre would")
	flags.BoolVar(&o.asJSON, "json", false, "print the answers as JSON")
	_ = cmd.MarkFlagRequired("gateway") // the flags exist
	_ = cmd.MarkFlagRequired("host")
	_ = cmd.RegisterFlagCompletionFunc("method", cobra.FixedCompletions([]string{"GET", "POST", "PUT", "DELETE"}, cobra.ShellCompDirectiveNoFileComp))
	return cmd
}

// complete checks the flags and fills the query from them.
func (o *routeOptions) complete() error {
	if len(o.hosts) > 1 && !o.allHosts {
		return &InvalidFlagError{Flag: "gateway", Reason: "several hosts are asked with --all-hosts only"}
	}
	o.query.Model, o.query.Adapter, _ = strings.Cut(o.model, "/")
	for _, text := range o.segments {
		id, tokens, _ := strings.Cut(text, ":")
		count, err := strconv.Atoi(tokens)
		if err != nil || id == "" {
			return &InvalidFlagError{Flag: "segment", Reason: "is not ID:TOKENS"}
		}
		o.query.Segments = append(o.query.Segments, gateway.RouteSegment{ID: id, Tokens: count})
	}
	o.query.Key = strings.TrimSpace(os.Getenv(keyVariable))
	if o.keyFile != "" {
		data, err := os.ReadFile(o.keyFile)
		if err != nil {
			return eris.Wrap(&FileError{Name: o.keyFile, Cause: err}, "key")
		}
		o.query.Key = strings.TrimSpace(string(data))
	}
	return nil
}

func (o *routeOptions) run(ctx context.Context, out io.Writer) error {
	var answers []gateway.RouteAnswer
	for _, host := range o.hosts {
		answer, err := askRoute(ctx, host, &o.query)
		if err != nil {
			return err
		}
		answers = append(answers, answer)
	}
	if err := o.print(out, answers); err != nil {
		return err
	}
	worst := gateway.RouteSent
	for _, answer := range answers {
		if answer.Outcome == gateway.RouteRefused || worst == gateway.RouteSent {
			worst = answer.Outcome
		}
	}
	if worst == gateway.RouteSent {
		return nil
	}
	return &RouteOutcomeError{Outcome: worst}
}

func (o *routeOptions) print(out io.Writer, answers []gateway.RouteAnswer) error {
	if o.asJSON {
		var value any = answers
		if !o.allHosts {
			value = answers[0]
		}
		data, err := json.Marshal(value)
		if err != nil {
			return eris.Wrap(&OutputError{Cause: err}, "print")
		}
		return printJSON(out, data)
	}
	if o.allHosts {
		return printRouteComparison(out, answers)
	}
	return printRouteAnswer(out, &answers[0])
}

// askRoute asks the gateway host with a metrics address. It returns a ServerError.
func askRoute(ctx context.Context, address string, query *gateway.RouteQuery) (answer gateway.RouteAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayStateTimeout)
	defer cancel()
	body, err := json.Marshal(query)
	if err != nil {
		return answer, &ServerError{Server: address, Cause: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/route", bytes.NewReader(body))
	if err != nil {
		return answer, &ServerError{Server: address, Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, &ServerError{Server: address, Cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = &StatusError{Status: response.Status + ": " + strings.TrimSpace(string(data))}
	}
	if err == nil {
		err = json.Unmarshal(data, &answer)
	}
	if err != nil {
		return answer, &ServerError{Server: address, Cause: err}
	}
	return answer, nil
}

// routeDecision returns the decision of an answer in words.
func routeDecision(a *gateway.RouteAnswer) string {
	switch a.Outcome {
	case gateway.RouteSent:
		return "send to " + a.Upstream
	case gateway.RouteWaits:
		estimate := "unknown time"
		if a.WaitMS >= 0 {
			estimate = fmt.Sprintf("about %d ms", a.WaitMS)
		}
		return fmt.Sprintf("wait (%s): %s", estimate, a.Reason)
	}
	return fmt.Sprintf("refuse: %d %s, Retry-After %.2f s", a.Status, a.Reason, float64(a.RetryAfterMS)/1000)
}

func printRouteComparison(out io.Writer, answers []gateway.RouteAnswer) error {
	table := newTable(out)
	fmt.Fprintln(table, "HOST\tVERSION\tROUTE\tSERVICE\tCANDIDATES\tDECISION")
	for i := range answers {
		a := &answers[i]
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%s\n", a.Host, a.ConfigVersion, a.Route, a.Service, len(a.Candidates), routeDecision(a))
	}
	return outputError(0, table.Flush())
}

func printRouteAnswer(out io.Writer, a *gateway.RouteAnswer) error {
	table := newTable(out)
	fmt.Fprintf(table, "decision\t%s\n", routeDecision(a))
	fmt.Fprintf(table, "host\t%s in %s, coordinator reached: %t\n", a.Host, a.DataCenter, a.CoordinatorReached)
	fmt.Fprintf(table, "configuration\tversion %d, confirmed %d ms ago, keys confirmed: %t\n", a.ConfigVersion, a.ConfigAgeMS, a.KeysConfirmed)
	fmt.Fprintf(table, "route\t%s, service %s\n", a.Route, a.Service)
	if w := a.Workspace; w != nil {
		fmt.Fprintf(table, "workspace\t%s, cost %.0f, balance %.0f, pending %.0f, share %.0f/s, waits %d ms at most\n",
			w.Name, w.Cost, w.Balance, w.Pending, w.SharePerS, w.MaxWaitMS)
	}
	fmt.Fprintf(table, "evacuated\t%s\n\n", strings.Join(a.Evacuated, ", "))
	fmt.Fprintln(table, "UPSTREAM\tDATA CENTRE\tEXPECTED\tBATCH\tWAIT\tANSWER\tPREFILL\tPENALTY\tLOAD\tPACE\tCACHED\tNOTES")
	for i := range a.Candidates {
		c := &a.Candidates[i]
		fmt.Fprintf(table, "%s\t%s\t%.0f ms\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d/%d\t%.2f\t%d\t%s\n", c.Upstream, c.DataCenter, c.ExpectedMS,
			c.BatchMS, c.WaitMS, c.AnswerMS, c.ExtraMS, c.PenaltyMS, c.Load, c.Slots, c.Pace, c.CachedTokens, candidateNotes(c))
	}
	for _, e := range a.Excluded {
		fmt.Fprintf(table, "%s\t%s\t-\t\t\t\t\t\t\t\t\texcluded: %s\n", e.Upstream, e.DataCenter, e.Reason)
	}
	return outputError(0, table.Flush())
}

func candidateNotes(c *gateway.RouteCandidate) string {
	var notes []string
	for _, note := range []struct {
		applies bool
		text    string
	}{
		{c.Chosen, "chosen"}, {c.Drawn, "drawn"}, {c.InBackoff, "backoff"}, {c.ColdForMS > 0, "cold"}, {!c.HasAdapter, "no adapter"},
		{c.FailureRate > 0, fmt.Sprintf("failures %.2f", c.FailureRate)},
	} {
		if note.applies {
			notes = append(notes, note.text)
		}
	}
	return strings.Join(notes, ", ")
}
