package ctl

import (
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	peerplatform "github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/standin/platform"
	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
	"github.com/arbutusbank/arbutusbank/internal/strictjson"
)

func newStandinPlatformCommand() *cobra.Command {
	var listen, hosts string
	var seed uint64
	var faults platform.Faults
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run the platform stand-in: table service, object store and host list",
		Long: `Run the platform stand-in: table service, object store and host list.

All data is in memory and lost at the end. --hosts names a file with the host
list, a JSON array (comments allowed) of {"address", "kind", "service",
"data_center", "state"}. While the stand-in runs, PUT /sim/hosts replaces the
list, PUT /sim/faults the faults, and GET /sim/stats counts calls. POST /sim/backup
keeps a copy of the rows, and POST /sim/restore goes back to it, as a service does
that has lost its newest commits.`,
		Example: "  arbutusctl standin platform --listen 127.0.0.1:7000 --hosts examples/hosts.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			entries, err := readHostList(hosts)
			if err != nil {
				return err
			}
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return &upstream.ListenError{Address: listen, Cause: err}
			}
			handler := platform.New(seed)
			handler.SetFaults(faults)
			handler.SetHosts(entries)
			server := &http.Server{Handler: handler}
			defer server.Close()
			go func() { _ = server.Serve(listener) }() // returns after server.Close
			return announceAndWait(cmd.Context(), cmd.OutOrStdout(), "platform", listener.Addr().String())
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", defaultStandinListen, "address IP:port")
	flags.StringVar(&hosts, "hosts", "", "file with the host list")
	flags.Uint64Var(&seed, "seed", 1, "seed of the random faults")
	flags.IntVar(&faults.LatencyMS, "latency-ms", 0, "added to each call")
	flags.BoolVar(&faults.Down, "down", false, "refuse every call")
	flags.BoolVar(&faults.Hang, "hang", false, "accept calls and never answer")
	flags.Float64Var(&faults.DropResponseRatio, "lose-answers", 0, "share of commits whose answer is lost, 0 to 1")
	flags.IntVar(&faults.ListLagMS, "list-lag-ms", 0, "age of the host list served")
	return command
}

// HostListError reports a file that is not a valid host list.
type HostListError struct {
	File     string
	Problems []problem.FieldError
}

// Error implements error.
func (e *HostListError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, e.File+": "+displayPointer(p.Pointer)+": "+p.Reason)
	}
	return strings.Join(lines, "\n")
}

// readHostList reads the host list in a file. An empty file name gives an empty list.
// Errors are *FileError and *HostListError.
func readHostList(file string) ([]peerplatform.HostEntry, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(&FileError{Name: file, Cause: err}, "read host list")
	}
	var entries []peerplatform.HostEntry
	if problems := strictjson.Decode(data, &entries); len(problems) > 0 {
		return nil, eris.Wrap(&HostListError{File: file, Problems: problems}, "read host list")
	}
	return entries, nil
}
