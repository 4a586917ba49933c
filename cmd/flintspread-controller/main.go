// Command flintspread-controller judges builds for the edges of one relay: it hears what they counted, votes, and leads them.
package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"flintspread/internal/cli"
	"flintspread/internal/config"
	"flintspread/internal/controller"
)

func main() {
	root := &cobra.Command{Use: "flintspread-controller", Short: "Judges builds and leads the edges of a relay"}
	root.AddCommand(
		&cobra.Command{Use: "run FILE", Short: "Plan by a settings file until SIGTERM", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return run(args[0]) }},
		&cobra.Command{Use: "check FILE", Short: "Check a settings file and say what is wrong with it", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				set, err := config.ReadController(args[0])
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: fine: relay %q, %d op types, %d stages, link %s\n",
						args[0], set.Relay, len(set.OpTypes), len(set.Release.Stages), set.Link.Address)
				}
				return err
			}},
		&cobra.Command{Use: "state DIR", Short: "Print what a stopped planner left in its state folder", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return controller.PrintState(cmd.OutOrStdout(), args[0])
			}},
	)
	root.AddCommand(configCommand())
	cli.Main(root)
}

func run(file string) error {
	set, err := config.ReadController(file)
	if err != nil {
		return err
	}
	log, level := cli.Logger(set.Log)
	ctx, stop := cli.SignalContext(func() {
		cli.Reload(log, level, func() (config.Log, error) {
			set, err := config.ReadController(file)
			if err != nil {
				return config.Log{}, err
			}
			return set.Log, nil
		})
	})
	defer stop()
	return controller.Run(ctx, set, log)
}
