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

// loadCommand sends an open-loop load to an address.
func loadCommand() *cobra.Command {
	p := loadgen.Plan{Classes: experiment.Classes()}
	var trace, out string
	cmd := &cobra.Command{Use: "load HOST:PORT", Short: "Offer commands at times that do not wait for answers", Args: cobra.ExactArgs(1)}
	f := cmd.Flags()
	f.StringVar(&p.Shape.Kind, "shape", "poisson", "constant, poisson, on-off, ramp, step or rush")
	f.StringVar(&trace, "trace", "", "a recorded trace instead, CSV or Parquet: at, and op, key, client if known")
	f.Float64Var(&p.Shape.RequestsPerSecond, "rate", 100, "commands a second")
	f.Float64Var(&p.Shape.EndRequestsPerSecond, "to", 0, "commands a second at the end of a ramp, after a step")
	f.Float64Var(&p.Shape.LengthSeconds, "length", 10, "s")
	f.Float64Var(&p.Shape.PeriodSeconds, "period", 2, "s, of on-off")
	f.Float64Var(&p.Shape.OnShare, "on", 0.5, "share of the period that is on, of the length before a step")
	f.Uint64Var(&p.KeyCount, "keys", 100000, "different keys")
	f.Float64Var(&p.ZipfExponent, "zipf", 1.1, "popularity of keys, above 1; 0: even")
	f.IntVar(&p.MaxConns, "conns", 2000, "connections at most")
	f.IntVar(&p.ClientAddresses, "clients", 0, "different loopback addresses that they come from")
	f.IntVar(&p.MaxRetries, "retries", 0, "tries after a nack")
	f.BoolVar(&p.IgnoreRetryAfter, "at-once", false, "not after the pause told")
	f.Uint64Var(&p.Seed, "seed", 1, "")
	f.Float64Var(&p.MaxLagSeconds, "lag", 0.02, "s of own lag (p99) above which the run is invalid")
	f.StringVar(&out, "out", "", "a folder for inputs, outcome, table and charts")
	cmd.RunE = func(cmd *cobra.Command, args []string) (err error) {
		p.Address = args[0]
		if trace != "" {
			p.Shape.Kind = "trace"
			if p.Shape.Trace, err = loadgen.ReadTrace(trace); err != nil {
				return err
			}
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		o, err := loadgen.Run(ctx, &p, func(t float64, o *loadgen.Outcome) {
			fmt.Fprintf(cmd.ErrOrStderr(), "%5.0f s  %d offered\n", t, o.Offered)
		})
		if err != nil {
			return err
		}
		o.Print(cmd.OutOrStdout())
		if out != "" {
			return o.Save(out, loadgen.NewInputs(p, p.Seed))
		}
		return nil
	}
	return cmd
}
