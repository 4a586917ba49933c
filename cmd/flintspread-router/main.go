// Command flintspread-router is the data plane: it forwards requests from clients to endpoints, and shifts traffic
// between the builds of a release.
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
	root := &cobra.Command{Use: "flintspread-router", Short: "Forward requests to endpoints and shift traffic between their builds"}
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
		Short: "Run a router with a settings file; SIGTERM shuts it down gracefully",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return cli.Serve(program, args[0]) },
	}
}

func nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node",
		Short: "Run a router on the platform with the file that LB_CONFIG names; SIGTERM shuts it down gracefully",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return node.Main() },
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and print its first error, if any",
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
