package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/gateway"
)

// gatewayStateTimeout bounds the call for the state of one gateway host.
const gatewayStateTimeout = 3 * time.Second

func newEvacuationsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "evacuations ADDRESS...",
		Short: "List the evacuated data centres as gateway hosts see them",
		Long: `Lists, for each gateway host whose metrics address (IP:port) is given, the data
centres that are evacuated, how long the host has known of it, for how long it
may still use the last replicas there, and its requests that upstreams there
have not finished.`,
		Example: "  arbutusctl evacuations 10.0.0.3:19464 10.0.0.4:19464",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, addresses []string) error {
			return printEvacuations(cmd.Context(), cmd.OutOrStdout(), addresses)
		},
	}
}

func printEvacuations(ctx context.Context, out io.Writer, addresses []string) error {
	table := newTable(out)
	fmt.Fprintln(table, "HOST\tDATA CENTRE\tKNOWN FOR\tLAST USE\tUPSTREAM\tREQUESTS")
	for _, address := range addresses {
		state, err := gatewayState(ctx, address)
		if err != nil {
			return err
		}
		if len(state.Evacuations) == 0 {
			fmt.Fprintf(table, "%s\t-\t\t\t\t\n", state.Host)
		}
		for _, e := range state.Evacuations {
			printEvacuation(table, state.Host, e)
		}
	}
	return outputError(0, table.Flush())
}

func printEvacuation(out io.Writer, host string, e gateway.EvacuationDump) {
	row := fmt.Sprintf("%s\t%s\t%.1f s\t%.1f s", host, e.DataCenter, float64(e.KnownForMS)/1000, float64(e.LastUseMS)/1000)
	if len(e.Running) == 0 {
		fmt.Fprintf(out, "%s\t-\t0\n", row)
	}
	for _, id := range slices.SortedFunc(maps.Keys(e.Running), cmp.Compare[string]) {
		fmt.Fprintf(out, "%s\t%s\t%d\n", row, id, e.Running[id])
	}
}

// gatewayState returns the state dump of the gateway host with a metrics address. It returns
// a ServerError.
func gatewayState(ctx context.Context, address string) (state gateway.State, err error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayStateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return state, &ServerError{Server: address, Cause: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return state, &ServerError{Server: address, Cause: err}
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&state); err != nil {
		return state, &ServerError{Server: address, Cause: err}
	}
	return state, nil
}
