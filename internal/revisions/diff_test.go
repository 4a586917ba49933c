package revisions

import (
	"fmt"
	"strings"
)

// Diff names elements of vectors by their :name or :path, and returns an error for a text that is not EDN.
func ExampleDiff() {
	a := `{:a 1 :b {:c [1 2]} :op-types [{:name "x" :target 0.3} {:name "y" :target 1}] :routes [{:method "GET" :path "/x/" :op-type "x"}]}`
	b := `{:a 1 :b {:c [1 3]} :op-types [{:name "z" :target 2} {:name "x" :target 0.4}] :routes [{:method "GET" :path "/x/" :op-type "z"}]}`
	lines, err := Diff(a, b)
	fmt.Println(strings.Join(lines, "\n"))
	fmt.Println(err)
	_, err = Diff(a, "{:a")
	fmt.Println(err != nil)
	// Output:
	// - :b :c 1 2
	// + :b :c 1 3
	// - :op-types "x" :target 0.3
	// + :op-types "x" :target 0.4
	// - :op-types "y" :name "y"
	// - :op-types "y" :target 1
	// + :op-types "z" :name "z"
	// + :op-types "z" :target 2
	// - :routes GET /x/ :op-type "x"
	// + :routes GET /x/ :op-type "z"
	// <nil>
	// true
}
