package config

import (
	"errors"
	"regexp"
	"strings"
	"testing"
)

// Whatever a control service sends, parsing it results in a document whose routes all have a class, or in a FieldError
// with a line within the text.
func FuzzParseDocument(f *testing.F) {
	text := "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(example())
	f.Add(text)
	f.Add(strings.Replace(text, "[0.1 0.4 1.0]", "[1 2N 0.5M ##Inf]", 1))
	f.Fuzz(func(t *testing.T, text string) {
		d, err := ParseDocument("f", []byte(text))
		var fieldError *FieldError
		if err != nil && !errors.As(err, &fieldError) {
			t.Fatalf("no FieldError: %v", err)
		}
		if fieldError != nil && (fieldError.Line < 1 || fieldError.Line > 1+strings.Count(text, "\n")) {
			t.Fatalf("%v", fieldError)
		}
		if err != nil {
			return
		}
		for _, r := range d.Routes {
			if d.ClassOf(r.Method, r.Path) < 0 {
				t.Fatalf("%s %s leads nowhere", r.Method, r.Path)
			}
		}
		for i, c := range d.Release.CanaryLimits {
			if c < d.Release.StageShares[i] || c > 1 {
				t.Fatal("caps", d.Release.CanaryLimits)
			}
		}
	})
}
