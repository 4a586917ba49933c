package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"flintspread/internal/experiment"
	"flintspread/internal/loadgen"
)

// loadCommand sends an open-loop load to an address and prints the outcome.
func loadCommand() *cobra.Command {
	plan := loadgen.Plan{Classes: experiment.Classes()}
	var trace, out string
	cmd := &cobra.Command{
		Use:   "load HOST:PORT",
		Short: "Send an open-loop load to HOST:PORT: requests at times that do not depend on the answers",
		Args:  cobra.ExactArgs(1),
	}
	f := cmd.Flags()
	f.StringVar(&plan.Shape.Kind, "shape", "poisson", "arrivals over time: constant, poisson, on-off, ramp, step or rush")
	f.StringVar(&trace, "trace", "", "replay a trace instead, a CSV or Parquet file with the column at, and op, key and client if known")
	f.Float64Var(&plan.Shape.RequestsPerSecond, "rate", 100, "requests per second")
	f.Float64Var(&plan.Shape.EndRequestsPerSecond, "to", 0, "requests per second at the end of a ramp, or after a step")
	f.Float64Var(&plan.Shape.LengthSeconds, "length", 10, "length of the run in seconds")
	f.Float64Var(&plan.Shape.PeriodSeconds, "period", 2, "period of on-off in seconds")
	f.Float64Var(&plan.Shape.OnShare, "on", 0.5, "on-off: share of the period with load; step: share of the length before the step")
	f.Uint64Var(&plan.KeyCount, "keys", 100000, "number of different keys")
	f.Float64Var(&plan.ZipfExponent, "zipf", 1.1, "exponent of the Zipf distribution of the keys, above 1; 0: uniform distribution")
	f.IntVar(&plan.MaxConns, "conns", 2000, "maximum number of connections")
	f.IntVar(&plan.ClientAddresses, "clients", 0, "number of loopback addresses that connections come from; 0: one")
	f.IntVar(&plan.MaxRetries, "retries", 0, "maximum number of retries of a rejected request")
	f.BoolVar(&plan.IgnoreRetryAfter, "at-once", false, "retry at once, without waiting for the retry-after time")
	f.Uint64Var(&plan.Seed, "seed", 1, "seed of arrivals and keys")
	f.Float64Var(&plan.MaxLagSeconds, "lag", 0.02, "99th percentile of the generator's own lag in seconds above which the run is invalid; 0: no limit")
	f.StringVar(&out, "out", "", "folder for the inputs, the outcome, a table and charts")
	cmd.RunE = func(cmd *cobra.Command, args []string) (err error) {
		plan.Address = args[0]
		if trace != "" {
			plan.Shape.Kind = "trace"
			if plan.Shape.Trace, err = loadgen.ReadTrace(trace); err != nil {
				return err
			}
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		outcome, err := loadgen.Run(ctx, &plan, func(seconds float64, soFar *loadgen.Outcome) {
			fmt.Fprintf(cmd.ErrOrStderr(), "%5.0f s  %d offered\n", seconds, soFar.Offered)
		})
		if err != nil {
			return err
		}
		outcome.Print(cmd.OutOrStdout())
		if out != "" {
			return outcome.Save(out, loadgen.NewInputs(plan, plan.Seed))
		}
		return nil
	}
	return cmd
}
