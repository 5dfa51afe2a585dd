package ctl

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

func newStandinEngineCommand() *cobra.Command {
	var options engine.Options
	var store engine.WeightStoreOptions
	var faults engine.Faults
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine stand-in with a weight store of its own",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Store = engine.NewWeightStore(store)
			e, err := engine.Start(options)
			if err != nil {
				return err
			}
			defer e.Stop()
			e.SetFaults(faults)
			return announceAndWait(cmd.Context(), cmd.OutOrStdout(), "engine", e.Address())
		},
	}
	engineFlags(command.Flags(), &options)
	weightStoreFlags(command.Flags(), &store)
	engineFaultFlags(command.Flags(), &faults)
	return command
}

func engineFlags(flags *pflag.FlagSet, o *engine.Options) {
	flags.StringVar(&o.Address, "listen", defaultStandinListen, "address IP:port")
	flags.Int64Var(&o.MemoryBytes, "memory-bytes", 24_000_000_000, "accelerator memory")
	flags.StringSliceVar(&o.HostMemory, "host-memory", nil, "models whose checkpoints are in host memory")
	flags.StringSliceVar(&o.Disk, "disk", nil, "models whose checkpoints are on local disk")
	flags.Float64Var(&o.HostMemoryBytesPerS, "host-memory-bytes-per-s", 80e9, "speed of loads from host memory")
	flags.Float64Var(&o.DiskBytesPerS, "disk-bytes-per-s", 20e9, "speed of loads from disk")
	flags.IntVar(&o.HostMemorySlots, "host-memory-slots", 0, "unloaded checkpoints that host memory keeps")
	flags.IntVar(&o.DiskSlots, "disk-slots", 0, "remote checkpoints that the disk keeps")
	flags.IntVar(&o.MaxBatch, "max-batch", 16, "requests that run at once")
	flags.DurationVar(&o.TokenInterval, "token-interval", 0, "between two tokens of one request")
	flags.DurationVar(&o.PrefillPerToken, "prefill-per-token", 0, "per prompt token that is not cached")
	flags.DurationVar(&o.ReportInterval, "report-interval", 0, "age of the report served")
	flags.IntVar(&o.CacheBlocks, "cache-blocks", 1024, "capacity of the prefix cache")
	flags.DurationVar(&o.CacheEventDelay, "cache-event-delay", 0, "delay of cache events")
	flags.Float64Var(&o.CacheEventGapRatio, "cache-event-gaps", 0, "share of cache events never published, 0 to 1")
	flags.BoolVar(&o.ChecksFence, "checks-fence", true, "refuse orders with an old fencing number")
	flags.StringVar(&o.CrashMarker, "crash-marker", engine.DefaultCrashMarker, "prompt text that crashes the engine")
	flags.DurationVar(&o.RestartTime, "restart-time", 0, "from a crash to the restart")
	flags.BoolVar(&o.DiscardRuns, "discard-runs", false, "keep no record per run")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the random faults")
}

func weightStoreFlags(flags *pflag.FlagSet, o *engine.WeightStoreOptions) {
	flags.Float64Var(&o.BytesPerS, "store-bytes-per-s", 10e9, "speed of one load from the weight store")
	flags.Float64Var(&o.LoadsPerS, "store-loads-per-s", 6, "sustained load starts of the weight store")
	flags.IntVar(&o.ConcurrentLoads, "store-concurrent-loads", 4, "loads at full speed")
	flags.DurationVar(&o.AdapterLoadTime, "adapter-load-time", 0, "of one adapter at full speed")
	flags.IntVar(&o.AdapterLoadsInFlight, "adapter-loads-in-flight", 32, "adapter loads at full speed")
}

func engineFaultFlags(flags *pflag.FlagSet, f *engine.Faults) {
	flags.BoolVar(&f.Draining, "draining", false, "refuse new work")
	flags.BoolVar(&f.HangControl, "hang-control", false, "accept control calls and never answer")
	flags.IntVar(&f.OrderDelayMS, "order-delay-ms", 0, "delay of the effect of orders")
	flags.BoolVar(&f.DropOrderResponses, "lose-order-answers", false, "carry out orders without an answer")
	flags.Float64Var(&f.TokenIntervalFactor, "slow-tokens", 0, "factor on the token interval")
}
