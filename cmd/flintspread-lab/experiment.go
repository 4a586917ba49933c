package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"flintspread/internal/experiment"
)

// experimentCommand executes the runs of an experiment.
func experimentCommand() *cobra.Command {
	var bin, out string
	cmd := &cobra.Command{Use: "experiment FILE.edn", Short: "Play a grid of runs, go on with one that was stopped, write the report", Args: cobra.ExactArgs(1)}
	cmd.Flags().StringVar(&bin, "bin", "", "the folder of flintspread-router (default: this program's)")
	cmd.Flags().StringVar(&out, "out", "experiment", "the folder of its runs and report")
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

// compareCommand compares the runs of two experiments.
func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare A B", Short: "Tell a difference of two experiments from noise", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return experiment.Compare(args[0], args[1], cmd.OutOrStdout())
		}}
}
