package config

import (
	"errors"
	"regexp"
	"strings"
	"testing"
)

// Any text that a control service may send results in a document whose routes all have a class, or in a FieldError with
// a line within the text.
func FuzzParseDocument(f *testing.F) {
	text := "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(exampleText())
	f.Add(text)
	f.Add(strings.Replace(text, "[0.1 0.4 1.0]", "[1 2N 0.5M ##Inf]", 1))
	f.Fuzz(func(t *testing.T, text string) {
		d, err := ParseDocument("f", []byte(text))
		var fieldError *FieldError
		if err != nil && !errors.As(err, &fieldError) {
			t.Fatalf("error is not a FieldError: %v", err)
		}
		if fieldError != nil && (fieldError.Line < 1 || fieldError.Line > 1+strings.Count(text, "\n")) {
			t.Fatalf("line is outside the text: %v", fieldError)
		}
		if err != nil {
			return
		}
		for _, r := range d.Routes {
			if d.ClassOf(r.Method, r.Path) < 0 {
				t.Fatalf("route %s %s has no class", r.Method, r.Path)
			}
		}
		for i, limit := range d.Release.CanaryLimits {
			if limit < d.Release.StageShares[i] || limit > 1 {
				t.Fatalf("canary limits %v with stage shares %v", d.Release.CanaryLimits, d.Release.StageShares)
			}
		}
	})
}
