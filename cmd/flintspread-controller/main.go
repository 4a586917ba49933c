// Command flintspread-controller is the control plane: it analyses the builds of a release from the reports of its
// routers, casts votes, and sends each router its assignment.
package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"flintspread/internal/cli"
	"flintspread/internal/config"
	"flintspread/internal/controller"
)

func main() {
	root := &cobra.Command{Use: "flintspread-controller", Short: "Analyse the builds of a release, cast votes and assign canary traffic to routers"}
	root.AddCommand(runCommand(), checkCommand(), stateCommand(), configCommand())
	cli.Main(root)
}

func runCommand() *cobra.Command {
	program := cli.Program[config.Controller]{
		Read: config.ReadController,
		Log:  func(settings *config.Controller) config.Log { return settings.Log },
		Run:  controller.Run,
	}
	return &cobra.Command{
		Use:   "run FILE",
		Short: "Run a controller with a settings file; SIGTERM stops it",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return cli.Serve(program, args[0]) },
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and print its first error, if any",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := args[0]
			settings, err := config.ReadController(file)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: fine: relay %q, %d request classes, %d stages, link %s\n",
				file, settings.RouterGroup, len(settings.Classes), len(settings.Release.StageShares), settings.Link.Address)
			return nil
		},
	}
}

func stateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "state DIR",
		Short: "Print the state that a stopped controller saved in its state folder",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return controller.PrintState(cmd.OutOrStdout(), args[0])
		},
	}
}
