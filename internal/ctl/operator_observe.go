package ctl

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/operator"
)

// newOperatorCommands returns the commands that observe and change running hosts.
func newOperatorCommands() []*cobra.Command {
	return []*cobra.Command{
		newPatchCommand(), newHistoryCommand(), newShowCommand(), newDiffCommand(), newBlameCommand(),
		newStatusCommand(), newKeyCommand(), newExplainCommand(), newDumpCommand(),
		newEvacuationsCommand(),
	}
}

func newStatusCommand() *cobra.Command {
	client := &operatorClient{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "List the hosts and the configuration version in force at each",
		Long: `Lists the hosts of the configuration with their data centre, the version in
force at each and since when. CONFIRMED is "yes" for a host that knows, from the
platform or from another host, that its version was the newest within the last 5
seconds, and "no" otherwise: a newer version may exist that it has not learned
of. VERSION is "?" for a host that could not be asked; --json says why.`,
		Example: `  arbutusctl status
  arbutusctl status --server 10.0.0.3:7001 --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status operator.Status
			if ok, err := client.get(cmd, "/status", &status); !ok {
				return err
			}
			return printStatus(cmd.OutOrStdout(), status)
		},
	}
	client.addFlags(cmd)
	return cmd
}

func printStatus(out io.Writer, status operator.Status) error {
	table := newTable(out)
	fmt.Fprintln(table, "HOST\tDATA CENTRE\tVERSION\tSINCE\tCONFIRMED")
	for _, host := range status.Hosts {
		version, confirmed := "?", "no"
		if host.Reachable {
			version = fmt.Sprint(host.Version)
		}
		if host.Confirmed {
			confirmed = "yes"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", host.Host, host.DataCenter, version, formatTime(host.Since), confirmed)
	}
	return outputError(0, table.Flush())
}

func newExplainCommand() *cobra.Command {
	client := &operatorClient{}
	var logs []string
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Explain what was decided on a request",
		Long: `Prints the decisions that were taken on a request as JSON. REQUEST-ID is the
value of the X-Request-Id header of its response, or the request_id of its
problem document. Any host can be asked; it asks the host that the identifier
names. A host keeps its newest requests only, and forgets them when it ends.

With --log, no host is asked: the lines about the request in the logs of gateway
hosts are printed, marked by ">", together with the events around it on its host,
its model and its upstreams.`,
		Example: `  arbutusctl explain 5f1c0a9be0d1c4b2a7e6d3f8 --server 10.0.0.3:7001
  arbutusctl explain 2e4a8901baecdaab --log front-1.log --log front-2.log`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return explainLogs(cmd.OutOrStdout(), args[0], logs)
			}
			return client.printResponse(cmd, "/explain/"+url.PathEscape(args[0]))
		},
	}
	cmd.Flags().StringArrayVar(&logs, "log", nil, "log of a gateway host; - for standard input (repeatable)")
	client.addFlags(cmd)
	return cmd
}

func newDumpCommand() *cobra.Command {
	client := &operatorClient{}
	cmd := &cobra.Command{
		Use:     "dump",
		Short:   "Print the state of a host",
		Long:    "Prints the state of one host as JSON, for reports of faults. It holds no keys.",
		Example: `  arbutusctl dump --server 10.0.0.3:7001 > h3.json`,
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return client.printResponse(cmd, "/dump") },
	}
	client.addFlags(cmd)
	return cmd
}

// printResponse sends a GET request and prints the response as JSON.
func (c *operatorClient) printResponse(cmd *cobra.Command, path string) error {
	data, err := c.call(cmd.Context(), http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return printJSON(cmd.OutOrStdout(), data)
}
