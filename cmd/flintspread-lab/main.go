// Command flintspread-lab runs scenarios against real routers and controllers, generates load, and runs experiments.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
)

// errRuleBroken makes the program exit with code 1. It is not printed, because the outcome names the broken rules.
var errRuleBroken = errors.New("a rule is broken")

func main() {
	root := &cobra.Command{
		Use:           "flintspread-lab",
		Short:         "Run scenarios, load and experiments against routers and controllers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(scenarioCommand(), healthComparisonCommand(), loadCommand(), experimentCommand(), compareCommand())
	if err := root.Execute(); err != nil {
		if !errors.Is(err, errRuleBroken) {
			fmt.Fprintln(os.Stderr, "flintspread-lab:", err)
		}
		os.Exit(1)
	}
}

// programFolder returns the folder with the programs to run: folder, or the folder of this program if folder is empty.
func programFolder(folder string) (string, error) {
	if folder != "" {
		return folder, nil
	}
	self, err := os.Executable()
	return filepath.Dir(self), err
}
