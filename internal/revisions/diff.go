package revisions

import (
	"fmt"
	"maps"
	"slices"

	"olympos.io/encoding/edn"
)

// Diff tells by key how two EDN texts differ: one line a key and text, - for what the first holds and + for what the second
// holds, sorted by key.
func Diff(first, second string) ([]string, error) {
	before, err := valuesByPath(first)
	if err != nil {
		return nil, err
	}
	after, err := valuesByPath(second)
	if err != nil {
		return nil, err
	}
	paths := map[string]bool{}
	for path := range before {
		paths[path] = true
	}
	for path := range after {
		paths[path] = true
	}
	var lines []string
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		oldValue, wasThere := before[path]
		newValue, isThere := after[path]
		if oldValue == newValue && wasThere == isThere {
			continue
		}
		if wasThere {
			lines = append(lines, fmt.Sprintf("- %s %s", path, oldValue))
		}
		if isThere {
			lines = append(lines, fmt.Sprintf("+ %s %s", path, newValue))
		}
	}
	return lines, nil
}

// valuesByPath gives every plain value of a text by the keys that lead to it.
func valuesByPath(text string) (map[string]string, error) {
	var root any
	if err := edn.UnmarshalString(text, &root); err != nil {
		return nil, err
	}
	values := map[string]string{}
	collect(values, "", root)
	return values, nil
}

// collect adds the plain values below a node to values.
func collect(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case map[any]any:
		for key, child := range node {
			collect(values, join(path, fmt.Sprint(key)), child)
		}
	case []any:
		for i, child := range node {
			collect(values, join(path, elementName(child, i)), child)
		}
	default:
		text, err := edn.Marshal(node)
		if err != nil {
			text = fmt.Append(nil, node)
		}
		values[path] = string(text)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + " " + key
}

// elementName names an element of a vector: by its :name, or its :method and :path, where it has those, so that a further
// element in front does not change the names of the rest; else by its index.
func elementName(element any, index int) string {
	if fields, ok := element.(map[any]any); ok {
		if name, ok := fields[edn.Keyword("name")]; ok {
			return fmt.Sprintf("%q", name)
		}
		if path, ok := fields[edn.Keyword("path")]; ok {
			return fmt.Sprintf("%v %v", fields[edn.Keyword("method")], path)
		}
	}
	return fmt.Sprint(index)
}
