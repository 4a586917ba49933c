// Command flintspread-router forwards commands between clients and units, and moves traffic between builds.
package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"flintspread/internal/cli"
	"flintspread/internal/config"
	"flintspread/internal/platform/node"
	"flintspread/internal/router"
)

func main() {
	root := &cobra.Command{Use: "flintspread-router", Short: "Forwards commands to units while their builds change"}
	root.AddCommand(
		&cobra.Command{Use: "run FILE", Short: "Serve by a settings file; SIGTERM drains and stops", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return run(args[0]) }},
		&cobra.Command{Use: "node", Short: "Serve on the platform that LB_CONFIG tells of; SIGTERM drains and stops", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return node.Main() }},
		&cobra.Command{Use: "check FILE", Short: "Check a settings file and say what is wrong with it", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				set, err := config.ReadRouter(args[0])
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: fine: relay %q, %d op types, %d routes, %d stages\n",
						args[0], set.Relay, len(set.Classes), len(set.Routes), len(set.Release.Stages))
				}
				return err
			}},
	)
	cli.Main(root)
}

func run(file string) error {
	set, err := config.ReadRouter(file)
	if err != nil {
		return err
	}
	log, level := cli.Logger(set.Log)
	ctx, stop := cli.SignalContext(func() {
		cli.Reload(log, level, func() (config.Log, error) {
			set, err := config.ReadRouter(file)
			if err != nil {
				return config.Log{}, err
			}
			return set.Log, nil
		})
	})
	defer stop()
	return router.Run(ctx, set, log)
}
