package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"flintspread/internal/scenario"
)

// printOutcome prints the outcome of a scenario. Other programs parse the text, so its wording is fixed. The last line
// names the broken rules, if any.
func printOutcome(w io.Writer, out *scenario.Outcome) error {
	fmt.Fprintln(w, "releases:")
	for _, event := range out.History {
		fmt.Fprintf(w, "  %5.1f s  %s\n", event.At, event.Description)
	}
	fmt.Fprintf(w, "tries: %d asked", out.Requests)
	for _, kind := range slices.Sorted(maps.Keys(out.Answers)) {
		fmt.Fprintf(w, ", %d %s", out.Answers[kind], kind)
	}
	fmt.Fprintf(w, "; %d wrong answers\nservice: %.3f", out.WrongAnswers, out.Service)
	for _, class := range slices.Sorted(maps.Keys(out.ServiceByClass)) {
		fmt.Fprintf(w, ", %s %.3f", class, out.ServiceByClass[class])
	}
	fmt.Fprintf(w, "\nacked in: p50 %.3f s, p99 %.3f s%s\n", out.SucceededWithController.P50, out.SucceededWithController.P99, withoutController(out))
	if out.Versions != nil {
		fmt.Fprintln(w, "settings:", out.Versions)
	}
	for _, rule := range out.Rules {
		fmt.Fprintf(w, "rule %-16s %6d cases, %d broken\n", rule.Name, rule.Checked, rule.Violations)
	}
	return printVerdict(w, out)
}

// withoutController formats the latency of the requests that a router served without a controller, and its ratio to
// that of the others. It returns "" if there were none.
func withoutController(out *scenario.Outcome) string {
	without, with := out.SucceededWithoutController, out.SucceededWithController
	if without.N == 0 || with.P99 == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d without a planner: p99 %.3f s, %.2f times)", without.N, without.P99, without.P99/with.P99)
}

// printVerdict prints the first violations of each rule, and a line that names the broken rules. It returns errRuleBroken
// if there are any, and nil otherwise.
func printVerdict(w io.Writer, out *scenario.Outcome) error {
	broken := ""
	for _, rule := range out.Rules {
		for _, violation := range rule.FirstViolations {
			fmt.Fprintln(w, "   ", violation)
		}
		if rule.Violations > 0 {
			broken += " " + rule.Name + ";"
		}
	}
	if broken != "" {
		fmt.Fprintf(w, "rules: BROKEN%s\n", broken)
		return errRuleBroken
	}
	fmt.Fprintln(w, "rules: all kept")
	return nil
}
