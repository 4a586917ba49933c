package config

import (
	"errors"
	"regexp"
	"strings"
	"testing"
)

// Whatever a control service sends, reading it ends with a document whose every route leads somewhere, or with a fault that
// lies within the text.
func FuzzParseDocument(f *testing.F) {
	text := "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(example())
	f.Add(text)
	f.Add(strings.Replace(text, "[0.1 0.4 1.0]", "[1 2N 0.5M ##Inf]", 1))
	f.Fuzz(func(t *testing.T, text string) {
		d, err := ParseDocument("f", []byte(text))
		var fault *FieldError
		if err != nil && !errors.As(err, &fault) {
			t.Fatalf("no fault: %v", err)
		}
		if fault != nil && (fault.Line < 1 || fault.Line > 1+strings.Count(text, "\n")) {
			t.Fatalf("%v", fault)
		}
		if err != nil {
			return
		}
		for _, r := range d.Routes {
			if d.ClassOf(r.Method, r.Path) < 0 {
				t.Fatalf("%s %s leads nowhere", r.Method, r.Path)
			}
		}
		for i, c := range d.Release.Caps {
			if c < d.Release.Stages[i] || c > 1 {
				t.Fatal("caps", d.Release.Caps)
			}
		}
	})
}
