// Command flintspread-lab runs scenarios against real routers and controllers, generates load, and runs experiments.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
)

// errRuleBroken makes the program exit with a failure. The details have been printed before.
var errRuleBroken = errors.New("a rule is broken")

func main() {
	root := &cobra.Command{
		Use:           "flintspread-lab",
		Short:         "Plays days against flintspread-router and checks the rules",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(dayCommand(), healthComparisonCommand(), loadCommand(), experimentCommand(), compareCommand())
	if err := root.Execute(); err != nil {
		if !errors.Is(err, errRuleBroken) {
			fmt.Fprintln(os.Stderr, "flintspread-lab:", err)
		}
		os.Exit(1)
	}
}

// programFolder returns the folder of the programs to run: folder, or that of this program if folder is empty.
func programFolder(folder string) (string, error) {
	if folder != "" {
		return folder, nil
	}
	self, err := os.Executable()
	return filepath.Dir(self), err
}
