// Command flintlab plays scripted days against real edge processes.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/spf13/cobra"

	"flintspread/day"
)

var errBroken = errors.New("a rule is broken")

func main() {
	root := &cobra.Command{Use: "flintlab", Short: "Plays days against flintedge and checks the rules", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(dayCommand())
	if err := root.Execute(); err != nil {
		if !errors.Is(err, errBroken) {
			fmt.Fprintln(os.Stderr, "flintlab:", err)
		}
		os.Exit(1)
	}
}

func dayCommand() *cobra.Command {
	var jsonFile, edge, keep string
	var seed uint64
	cmd := &cobra.Command{Use: "day [FILE]", Short: "Play a day, the built-in bad one without a file", Args: cobra.MaximumNArgs(1)}
	cmd.Flags().StringVar(&jsonFile, "json", "", "write the outcome to this file too")
	cmd.Flags().StringVar(&edge, "edge", "", "the flintedge program (default: beside this one)")
	cmd.Flags().StringVar(&keep, "keep", "", "keep the relays' files and logs in this folder")
	cmd.Flags().Uint64Var(&seed, "seed", 0, "clients' seed, instead of the script's")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		file := ""
		if len(args) > 0 {
			file = args[0]
		}
		script, err := day.Read(file)
		if err != nil {
			return err
		}
		if seed != 0 {
			script.Seed = seed
		}
		if edge == "" {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			edge = filepath.Join(filepath.Dir(self), "flintedge")
		}
		dir := keep
		if dir == "" {
			if dir, err = os.MkdirTemp("", "flintlab-day-"); err != nil {
				return err
			}
			defer os.RemoveAll(dir)
		} else if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		out, err := day.Play(script, edge, dir, cmd.ErrOrStderr())
		if err != nil {
			return err
		}
		if jsonFile != "" {
			text, err := json.MarshalIndent(out, "", "  ")
			if err == nil {
				err = os.WriteFile(jsonFile, append(text, '\n'), 0o644)
			}
			if err != nil {
				return err
			}
		}
		return print(cmd.OutOrStdout(), out)
	}
	return cmd
}

// print shows an outcome; its last line is the verdict.
func print(w io.Writer, out *day.Outcome) error {
	fmt.Fprintln(w, "releases:")
	for _, h := range out.History {
		fmt.Fprintf(w, "  %5.1f s  %s\n", h.At, h.What)
	}
	fmt.Fprintf(w, "tries: %d asked", out.Asked)
	for _, k := range sorted(out.Answers) {
		fmt.Fprintf(w, ", %d %s", out.Answers[k], k)
	}
	fmt.Fprintf(w, "; %d wrong answers\nservice: %.3f", out.Wrong, out.Service)
	for _, k := range sorted(out.ByOp) {
		fmt.Fprintf(w, ", %s %.3f", k, out.ByOp[k])
	}
	fmt.Fprintln(w)
	broken := ""
	for _, r := range out.Rules {
		fmt.Fprintf(w, "rule %-16s %6d cases, %d broken\n", r.Name, r.Checked, r.Broken)
		for _, f := range r.First {
			fmt.Fprintln(w, "   ", f)
		}
		if r.Broken > 0 {
			broken += " " + r.Name + ";"
		}
	}
	if broken != "" {
		fmt.Fprintf(w, "rules: BROKEN%s\n", broken)
		return errBroken
	}
	fmt.Fprintln(w, "rules: all kept")
	return nil
}

func sorted[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
