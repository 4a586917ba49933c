package revisions

import (
	"fmt"
	"sort"

	"olympos.io/encoding/edn"
)

// Diff tells by key how two texts differ: a line a key, - what only the first has, + what only the second has.
func Diff(a, b string) ([]string, error) {
	left, err := flat(a)
	if err != nil {
		return nil, err
	}
	right, err := flat(b)
	if err != nil {
		return nil, err
	}
	keys := map[string]bool{}
	for k := range left {
		keys[k] = true
	}
	for k := range right {
		keys[k] = true
	}
	sorted := make([]string, 0, len(keys))
	for k := range keys {
		sorted = append(sorted, k)
	}
	sort.Strings(sorted)
	var out []string
	for _, k := range sorted {
		x, inLeft := left[k]
		y, inRight := right[k]
		if x == y && inLeft == inRight {
			continue
		}
		if inLeft {
			out = append(out, fmt.Sprintf("- %s %s", k, x))
		}
		if inRight {
			out = append(out, fmt.Sprintf("+ %s %s", k, y))
		}
	}
	return out, nil
}

// flat gives every plain value of a text by its path. Elements of vectors that have a :name, or a :method and :path, go by
// those, so that one more in front does not change the rest.
func flat(text string) (map[string]string, error) {
	var v any
	if err := edn.UnmarshalString(text, &v); err != nil {
		return nil, err
	}
	out := map[string]string{}
	walk(out, "", v)
	return out, nil
}

func walk(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[any]any:
		for k, x := range v {
			walk(out, join(path, fmt.Sprint(k)), x)
		}
	case []any:
		for i, x := range v {
			walk(out, join(path, name(x, i)), x)
		}
	default:
		text, err := edn.Marshal(v)
		if err != nil {
			text = fmt.Append(nil, v)
		}
		out[path] = string(text)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + " " + key
}

func name(x any, i int) string {
	if m, ok := x.(map[any]any); ok {
		if n, ok := m[edn.Keyword("name")]; ok {
			return fmt.Sprintf("%q", n)
		}
		if p, ok := m[edn.Keyword("path")]; ok {
			return fmt.Sprintf("%v %v", m[edn.Keyword("method")], p)
		}
	}
	return fmt.Sprint(i)
}
