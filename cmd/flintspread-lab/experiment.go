package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"flintspread/internal/experiment"
)

// experimentCommand executes the runs of an experiment that have no result yet, and writes the report.
func experimentCommand() *cobra.Command {
	var bin, out string
	cmd := &cobra.Command{
		Use:   "experiment FILE.edn",
		Short: "Run an experiment, or resume an interrupted one, and write its report",
		Args:  cobra.ExactArgs(1),
	}
	cmd.Flags().StringVar(&bin, "bin", "", "folder with flintspread-router (default: the folder of this program)")
	cmd.Flags().StringVar(&out, "out", "experiment", "folder for the runs and the report")
	cmd.RunE = func(cmd *cobra.Command, args []string) (err error) {
		if bin, err = programFolder(bin); err != nil {
			return err
		}
		x, err := experiment.Read(args[0])
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		return x.Run(ctx, bin, out, cmd.OutOrStdout())
	}
	return cmd
}

// compareCommand compares the goodput of two experiments.
func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A B",
		Short: "Compare the goodput of the experiments in folders A and B, with confidence intervals",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return experiment.Compare(args[0], args[1], cmd.OutOrStdout())
		},
	}
}
