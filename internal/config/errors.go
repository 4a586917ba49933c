package config

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// FieldError is an error in the text of a settings file or document.
type FieldError struct {
	File    string // the name of the settings file or document
	Line    int    // starting at 1
	Key     string // path of the key, such as ":op-types 0 :target"; empty if the text cannot be parsed
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Problem)
}

// IsFieldError reports whether an error is or wraps a *FieldError.
func IsFieldError(err error) bool {
	var fieldError *FieldError
	return errors.As(err, &fieldError)
}

// locator creates errors with the positions of keys in one text.
type locator struct {
	file      string
	positions *positions
}

// fieldError returns an error at a path. If the path is not in the text, the line is that of the innermost enclosing
// key or element that is.
func (l locator) fieldError(path, problem string) error {
	return &FieldError{File: l.file, Line: l.positions.nearestLine(path), Key: path, Problem: problem}
}

// comparisons are the messages of the validator tags whose parameter completes the message.
var comparisons = map[string]string{
	"gt":         "must be above",
	"gte":        "must be at least",
	"lte":        "must be at most",
	"oneof":      "must be one of",
	"min":        "must number at least",
	"max":        "must number at most",
	"startswith": "must begin with",
}

// fieldComparisons are the messages of the validator tags whose parameter is the Go name of another field.
var fieldComparisons = map[string]string{
	"gtefield": "must be at least that of",
	"gtfield":  "must be above that of",
}

// describe returns the message for a failed validator check.
func describe(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return "must not be empty"
	case "hostname_port":
		return fmt.Sprintf("%q is no HOST:PORT", failure.Value())
	case "http_url":
		return fmt.Sprintf("%q is no http:// address", failure.Value())
	}
	if words := fieldComparisons[failure.Tag()]; words != "" {
		return fmt.Sprintf("%v %s :%s", failure.Value(), words, keyOfField(failure.Param()))
	}
	if words := comparisons[failure.Tag()]; words != "" {
		return fmt.Sprintf("%v %s %s", failure.Value(), words, failure.Param())
	}
	return fmt.Sprintf("%v does not do (%s %s)", failure.Value(), failure.Tag(), failure.Param())
}

// comparedKeys are the EDN keys of the fields that gtefield and gtfield tags refer to.
var comparedKeys = map[string]string{
	"BackoffMinSeconds":     "back-least",
	"ReportIntervalSeconds": "beat",
	"PeriodSeconds":         "period",
}

// keyOfField returns the EDN key of a field that a gtefield or gtfield tag refers to.
func keyOfField(name string) string { return comparedKeys[name] }

var indexSuffix = regexp.MustCompile(`\[(\d+)\]`)

// namespacePath converts the validator's Router.op-types[0].target to :op-types 0 :target.
func namespacePath(namespace string) string {
	_, namespace, _ = strings.Cut(namespace, ".")
	var path []string
	for _, part := range strings.Split(namespace, ".") {
		if part[0] >= 'A' && part[0] <= 'Z' {
			continue // an embedded struct, which has no key
		}
		path = append(path, ":"+indexSuffix.ReplaceAllString(part, ""))
		if index := indexSuffix.FindStringSubmatch(part); index != nil {
			path = append(path, index[1])
		}
	}
	return strings.Join(path, " ")
}
