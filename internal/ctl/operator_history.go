package ctl

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/operator"
)

const (
	defaultHistoryLimit = 20
	tabPadding          = 2
	currentVersion      = "current"
)

func newHistoryCommand() *cobra.Command {
	client := &operatorClient{}
	var limit int
	var after int64
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List configuration versions",
		Long: `Lists accepted configuration versions in ascending order with time, author and
reason: the newest ones, or those after the version given by --after. With --json
the patches are included.`,
		Example: `  arbutusctl history
  arbutusctl history --after 100 --limit 50
  arbutusctl history --limit 1 --json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{"limit": {strconv.Itoa(limit)}}
			if after >= 0 {
				query.Set("after", strconv.FormatInt(after, 10))
			}
			var history operator.History
			if ok, err := client.get(cmd, "/versions?"+query.Encode(), &history); !ok {
				return err
			}
			return printHistory(cmd.OutOrStdout(), history)
		},
	}
	client.addFlags(cmd)
	cmd.Flags().IntVar(&limit, "limit", defaultHistoryLimit, "number of versions to list")
	addVersionFlag(cmd, &after, "after", "list versions after this one (default: the newest)")
	return cmd
}

func printHistory(out io.Writer, history operator.History) error {
	table := newTable(out)
	fmt.Fprintln(table, "VERSION\tTIME\tAUTHOR\tREASON")
	for _, version := range history.Versions {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", version.Number, formatTime(version.Time), version.Author, version.Reason)
	}
	return outputError(0, table.Flush())
}

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func newShowCommand() *cobra.Command {
	client := &operatorClient{}
	var version string
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print the configuration of a version",
		Long: `Prints the configuration document of a version. With --json it also prints the
version's author, time, reason and patch. The version "in-force" is the one in
force at the host that is asked; unlike the others, it can be printed during an
outage of the platform, without author, time, reason and patch.`,
		Example: `  arbutusctl show
  arbutusctl show --version 41 > version-41.json
  arbutusctl show --version in-force --server 10.0.0.3:7001`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var shown operator.VersionDocument
			if ok, err := client.get(cmd, "/versions/"+url.PathEscape(version), &shown); !ok {
				return err
			}
			document, err := shown.Document.Canonical()
			if err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), document)
		},
	}
	client.addFlags(cmd)
	cmd.Flags().StringVar(&version, "version", currentVersion, "number of the version, \"current\" or \"in-force\"")
	return cmd
}

func newDiffCommand() *cobra.Command {
	client := &operatorClient{}
	cmd := &cobra.Command{
		Use:   "diff A B",
		Short: "Compare two configuration versions",
		Long: `Prints what changed from version A to version B, one line per value: "+" added,
"-" removed, "~" replaced. "current" names the newest version, "in-force" the one
in force at the host that is asked. With --json the
changes form an RFC 6902 patch, and "arbutusctl patch" reads that output; "diff B A
--json" takes back what changed from A to B.`,
		Example: `  arbutusctl diff 41 current
  arbutusctl diff 42 41 --json | arbutusctl patch --base 42 --reason "undo 42"`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var diff operator.Diff
			query := url.Values{"from": {args[0]}, "to": {args[1]}}
			if ok, err := client.get(cmd, "/diff?"+query.Encode(), &diff); !ok {
				return err
			}
			return printChanges(cmd.OutOrStdout(), diff.Changes)
		},
	}
	client.addFlags(cmd)
	return cmd
}

func printChanges(out io.Writer, changes []config.Change) error {
	for _, change := range changes {
		if err := outputError(fmt.Fprintln(out, formatChange(change))); err != nil {
			return err
		}
	}
	return nil
}

func formatChange(change config.Change) string {
	switch change.Op {
	case "add":
		return fmt.Sprintf("+ %s: %s", change.Path, change.Value)
	case "remove":
		return fmt.Sprintf("- %s: %s", change.Path, change.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", change.Path, change.Old, change.Value)
	}
}

func newBlameCommand() *cobra.Command {
	client := &operatorClient{}
	cmd := &cobra.Command{
		Use:   "blame POINTER",
		Short: "Tell which version set a value",
		Long: `Prints the value at a JSON pointer (RFC 6901) and the version that last changed
it, with author, time and reason. For a value that does not exist any more it
prints the version that removed it. In a pointer, "~1" stands for "/" and "~0"
for "~".`,
		Example: `  arbutusctl blame /workspaces/w1/rate_tokens_per_s
  arbutusctl blame /hosts/h1/slots`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var blame operator.Blame
			if ok, err := client.get(cmd, "/blame?"+url.Values{"pointer": {args[0]}}.Encode(), &blame); !ok {
				return err
			}
			return printBlame(cmd.OutOrStdout(), blame)
		},
	}
	client.addFlags(cmd)
	return cmd
}

func printBlame(out io.Writer, blame operator.Blame) error {
	value := "(removed)"
	if blame.Present {
		value = string(blame.Value)
	}
	version := blame.Version
	return outputError(fmt.Fprintf(out, "%s: %s\nversion %d of %s by %s: %s\n",
		displayPointer(blame.Pointer), value, version.Number, formatTime(version.Time), version.Author, version.Reason))
}
