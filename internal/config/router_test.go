package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

// exampleText returns the settings file that the project ships as an example.
func exampleText() string {
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		panic(err)
	}
	return string(text)
}

// Each error in a settings file names file, line and key.
func Example_fieldErrors() {
	text := exampleText()
	for _, change := range [][2]string{
		{":relay     \"r1\" ", ""},
		{":relay     \"r1\"", ":relay \"r 1\""},
		{"\"127.0.0.1:7400\"", "\"127.0.0.1\""},
		{":level  :info", ":level :loud"},
		{":round         0.02", ":round \"0.02\""},
		{":round         0.02", ":rond 0.02"},
		{":round         0.02", ":round 0.5"},
		{":round         0.02", ":round 0"},
		{":free          2.0", ":free 2.0 :free 3.0"},
		{":back-most  5.0", ":back-most 0.01"},
		{"[0.1 0.4 1.0]", "[0.1 0.4]"},
		{"[0.1 0.4 1.0]", "[0.4 0.1 1.0]"},
		{"[0.15 0.5 1.0]", "[0.15 1.5 1.0]"},
		{"[0.15 0.5 1.0]", "[0.05 0.5 1.0]"},
		{":grace         1.0", ":grace 5.0"},
		{":schema 1 ", ":schema 2 "},
		{"          {:method \"POST\" :path \"/seal/\"   :op-type \"seal-gate\"}", ""},
		{":group :all :window 1.5", ":group :all"},
		{":effect :at-most-once", ":effect :once"},
		{":target 0.6 :timeout 1.5", ":target 1.6 :timeout 1.5"},
		{":op-type \"seal-gate\"", ":op-type \"seal\""},
		{":path \"/divert/\"", ":path \"/batch/\""},
		{":one-way-keys      false\n         :keys-kept         1000000", ":one-way-keys true :keys-kept 0"},
		{":forget-units      600.0", ":forget-units 1.0"},
		{"]}\n", "]"},
		{"]}\n", "]} 7"},
		{":state-dir \"var/r1\"", ":state-dir \"var/r1"},
	} {
		if !strings.Contains(text, change[0]) {
			panic(change[0])
		}
		_, err := ParseRouter("edge.edn", []byte(strings.Replace(text, change[0], change[1], 1)))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) {
			fmt.Print("not a field error: ")
		}
		fmt.Println(err)
	}
	// Output:
	// edge.edn:1: :relay: missing
	// edge.edn:3: :relay: r 1 does not do (excludesall  )
	// edge.edn:4: :listen: "127.0.0.1" is no HOST:PORT
	// edge.edn:8: :log :level: :loud must be one of debug info warn error
	// edge.edn:38: :rules :round: cannot unmarshal string into Go value of type float64
	// edge.edn:38: :rules :rond: unknown key
	// edge.edn:67: :op-types 0 :timeout: not above three rounds (:rules :round): no answer could be in time
	// edge.edn:38: :rules :round: 0 must be above 0
	// edge.edn:48: :rules :free: stands twice
	// edge.edn:15: :sources :back-most: 0.01 must be at least that of :back-least
	// edge.edn:56: :release :caps: 3 caps for 2 stages
	// edge.edn:55: :release :stages 1: a stage below the one before it
	// edge.edn:56: :release :caps 1: 1.5 must be at most 1
	// edge.edn:56: :release :caps 0: 0.05 of a relay's commands for 0.1 of the fleet: the stage's units could not be used
	// edge.edn:46: :rules :window: below the grace (5 s): a lower cap would bind after the window it is for
	// edge.edn:23: :schema: 2 does not do (eq 1)
	// edge.edn:70: :op-types 3 :name: no route leads to "seal-gate"
	// edge.edn:69: :op-types 2: a deduplicated op type needs :group and a :window above 0
	// edge.edn:70: :op-types 3 :effect: :once must be one of redeliverable deduplicated at-most-once
	// edge.edn:68: :op-types 1 :target: above the timeout
	// edge.edn:76: :routes 3 :op-type: no op type is called "seal"
	// edge.edn:75: :routes 2 :path: the same as :routes 1
	// edge.edn:51: :rules :keys-kept: one-way keys need room for some
	// edge.edn:53: :rules :forget-units: not above the timeout of "batch-table"
	// edge.edn:76: the text ends before '}'
	// edge.edn:76: text after the end of the settings
	// edge.edn:73: chute-lookup: stands twice
}

// Comments, discarded forms, and strings and characters that look like delimiters do not affect positions.
func Example_positions() {
	p, err := findPositions("; {:a\n{:a #_ {:x 1} [1 #_2\n\"}:b\" \\} {:c 2}]\n :b #inst \"2026\" #_ :d}")
	for _, k := range p.keys {
		fmt.Println(k, "line", p.lineOf[k])
	}
	fmt.Println(p.lineOf[":a 3"], err)
	_, err = findPositions(strings.Repeat("[", 1000))
	fmt.Println(err)
	// Output:
	// :a line 2
	// #_ :x line 2
	// :a 3 :c line 3
	// :b line 4
	// 3 <nil>
	// nested deeper than 64
}

// The longest prefix of the path decides about the request class, for each method separately.
func Example_routes() {
	router, err := ParseRouter("edge.edn", []byte(strings.Replace(exampleText(), "{:method \"GET\"  :path \"/chute/\"",
		"{:method \"GET\" :path \"/chute/b\" :op-type \"batch-table\"} {:method \"GET\" :path \"/chute/\"", 1)))
	fmt.Println(err)
	for _, request := range []string{"GET /chute/7", "GET /chute/b7", "POST /chute/7", "GET /", "POST /divert/1"} {
		method, path, _ := strings.Cut(request, " ")
		class := router.ClassOf(method, path)
		if class < 0 {
			fmt.Println(request, "none")
			continue
		}
		fmt.Println(request, router.Classes[class].Name)
	}
	// Output:
	// <nil>
	// GET /chute/7 chute-lookup
	// GET /chute/b7 batch-table
	// POST /chute/7 none
	// GET / none
	// POST /divert/1 divert-record
}

// Any text results in settings or in a FieldError with a line within the text.
func FuzzParseRouter(f *testing.F) {
	f.Add(exampleText())
	f.Add("{:a [1 #_ 2 \\} \"\\\"\" #{:b} (c)] ;\n}")
	f.Fuzz(func(t *testing.T, text string) {
		router, err := ParseRouter("f", []byte(text))
		var fieldError *FieldError
		if err != nil && !errors.As(err, &fieldError) {
			t.Fatalf("error is not a FieldError: %v", err)
		}
		if fieldError != nil && (fieldError.Line < 1 || fieldError.Line > 1+strings.Count(text, "\n")) {
			t.Fatalf("line is outside the text: %v", fieldError)
		}
		if err == nil && len(router.Policy().Classes) == 0 {
			t.Fatal("settings without request classes")
		}
	})
}
