// Command flintspread-router is the data plane: it forwards requests from clients to endpoints, and shifts traffic
// between builds.
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
	root := &cobra.Command{Use: "flintspread-router", Short: "Forwards requests to endpoints while their builds change"}
	root.AddCommand(runCommand(), nodeCommand(), checkCommand())
	cli.Main(root)
}

func runCommand() *cobra.Command {
	program := cli.Program[config.Router]{
		Read: config.ReadRouter,
		Log:  func(settings *config.Router) config.Log { return settings.Log },
		Run:  router.Run,
	}
	return &cobra.Command{
		Use:   "run FILE",
		Short: "Serve by a settings file; SIGTERM shuts down gracefully",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return cli.Serve(program, args[0]) },
	}
}

func nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Serve on the platform by the configuration that LB_CONFIG names; SIGTERM shuts down gracefully",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return node.Main() },
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and say what is wrong with it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := args[0]
			settings, err := config.ReadRouter(file)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: fine: relay %q, %d request classes, %d routes, %d stages\n",
				file, settings.RouterGroup, len(settings.Classes), len(settings.Routes), len(settings.Release.StageShares))
			return nil
		},
	}
}
