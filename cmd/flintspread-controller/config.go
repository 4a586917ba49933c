package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"flintspread/internal/config"
	"flintspread/internal/revisions"
)

// configCommand inspects the configuration history of a router or controller, which must not be running: a running
// program has the store open, and the commands fail.
func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Inspect the history of configuration versions, and check documents"}
	cmd.AddCommand(configListCommand(), configShowCommand(), configDiffCommand(), configCheckCommand())
	return cmd
}

func configListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list STORE",
		Short: "List the versions in a store, oldest first",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withHistory(args[0], func(history *revisions.Store) error {
				entries, err := history.All()
				for _, entry := range entries {
					fmt.Fprintf(cmd.OutOrStdout(), "%d after %d, in force since %s, %d bytes\n",
						entry.Number, entry.Previous, formatTime(entry.InForceSince), len(entry.Text))
				}
				return err
			})
		},
	}
}

func configShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show STORE VERSION",
		Short: "Print the document of a version",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withHistory(args[0], func(history *revisions.Store) error {
				entry, err := findVersion(history, args[1])
				if err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), entry.Text)
				return nil
			})
		},
	}
}

func configDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff STORE VERSION VERSION",
		Short: "Print the differences between two versions by key",
		Args:  cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withHistory(args[0], func(history *revisions.Store) error {
				older, err := findVersion(history, args[1])
				if err != nil {
					return err
				}
				newer, err := findVersion(history, args[2])
				if err != nil {
					return err
				}
				lines, err := revisions.Diff(older.Text, newer.Text)
				for _, line := range lines {
					fmt.Fprintln(cmd.OutOrStdout(), line)
				}
				return err
			})
		},
	}
}

func configCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration document with the checks of routers and controllers",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := args[0]
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			document, err := config.ParseDocument(file, text)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: fine: schema %d, %d request classes, %d routes, %d stages\n",
				file, document.Schema, len(document.Classes), len(document.Routes), len(document.Release.StageShares))
			return nil
		},
	}
}

// withHistory opens a history file read-only, calls use, and closes the file.
func withHistory(file string, use func(*revisions.Store) error) error {
	history, err := revisions.Read(file)
	if err != nil {
		return err
	}
	return errors.Join(use(history), history.Close())
}

// findVersion returns the version with the number that was given on the command line.
func findVersion(history *revisions.Store, number string) (*revisions.Entry, error) {
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("VERSION %q is not a whole number", number)
	}
	return history.Get(n)
}

// formatTime formats a time in seconds since 1970 in RFC 3339.
func formatTime(at float64) string {
	return time.Unix(0, int64(at*1e9)).UTC().Format(time.RFC3339)
}
