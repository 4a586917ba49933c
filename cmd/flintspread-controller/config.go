package main

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"flintspread/internal/config"
	"flintspread/internal/revisions"
)

// configCommand looks at the versions of the settings in a program's store. It needs no service.
func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Look at the versions of the settings that were in force"}
	open := func(file string, with func(*revisions.Store) error) error {
		s, err := revisions.Read(file)
		if err != nil {
			return err
		}
		defer s.Close()
		return with(s)
	}
	get := func(s *revisions.Store, no string) (*revisions.Entry, error) {
		n, err := strconv.ParseUint(no, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is no version", no)
		}
		return s.Get(n)
	}
	cmd.AddCommand(
		&cobra.Command{Use: "list STORE", Short: "List them, the oldest first", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return open(args[0], func(s *revisions.Store) error {
					list, err := s.All()
					for _, e := range list {
						fmt.Fprintf(cmd.OutOrStdout(), "%d after %d, in force since %s, %d bytes\n", e.No, e.Parent,
							time.Unix(0, int64(e.Since*1e9)).UTC().Format(time.RFC3339), len(e.Text))
					}
					return err
				})
			}},
		&cobra.Command{Use: "show STORE VERSION", Short: "Print the text of one", Args: cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				return open(args[0], func(s *revisions.Store) error {
					e, err := get(s, args[1])
					if err == nil {
						fmt.Fprintln(cmd.OutOrStdout(), e.Text)
					}
					return err
				})
			}},
		&cobra.Command{Use: "diff STORE VERSION VERSION", Short: "Print the differences by key", Args: cobra.ExactArgs(3),
			RunE: func(cmd *cobra.Command, args []string) error {
				return open(args[0], func(s *revisions.Store) error {
					a, err := get(s, args[1])
					if err != nil {
						return err
					}
					b, err := get(s, args[2])
					if err != nil {
						return err
					}
					lines, err := revisions.Diff(a.Text, b.Text)
					for _, l := range lines {
						fmt.Fprintln(cmd.OutOrStdout(), l)
					}
					return err
				})
			}},
		&cobra.Command{Use: "check FILE", Short: "Check a document by the reader that the programs use", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				text, err := os.ReadFile(args[0])
				if err != nil {
					return err
				}
				d, err := config.ParseDocument(args[0], text)
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: fine: schema %d, %d op types, %d routes, %d stages\n", args[0], d.Schema, len(d.Classes),
						len(d.Routes), len(d.Release.Stages))
				}
				return err
			}},
	)
	return cmd
}
