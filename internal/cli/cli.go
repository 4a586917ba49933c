// Package cli implements what the programs have in common: exit codes, the version command, logging and signal
// handling.
package cli

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"flintspread/internal/config"
)

// Exit codes.
const (
	ExitFailed    = 1 // any error except an invalid settings file
	ExitBadConfig = 2 // the settings file is invalid; nothing was started
)

// Main adds the version command to root, executes root, prints its error, if any, and exits the process.
func Main(root *cobra.Command) {
	root.SilenceUsage, root.SilenceErrors = true, true
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), root.Name(), Version()) },
	})
	err := root.Execute()
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name(), err)
	if config.IsFieldError(err) {
		os.Exit(ExitBadConfig)
	}
	os.Exit(ExitFailed)
}

// Version returns the module version, the revision and the Go version of the build.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text + " " + info.GoVersion
}
