package revisions

import (
	"fmt"
	"maps"
	"slices"

	"olympos.io/encoding/edn"
)

// Diff returns the differences between two EDN texts, sorted by key path: "- PATH VALUE" for a value that is only in
// first, "+ PATH VALUE" for a value that is only in second, and both for a changed value. An error means that a text is
// not EDN.
func Diff(first, second string) ([]string, error) {
	firstValues, err := valuesByPath(first)
	if err != nil {
		return nil, err
	}
	secondValues, err := valuesByPath(second)
	if err != nil {
		return nil, err
	}
	paths := map[string]bool{}
	for path := range firstValues {
		paths[path] = true
	}
	for path := range secondValues {
		paths[path] = true
	}
	var lines []string
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		firstValue, inFirst := firstValues[path]
		secondValue, inSecond := secondValues[path]
		if firstValue == secondValue && inFirst == inSecond {
			continue
		}
		if inFirst {
			lines = append(lines, fmt.Sprintf("- %s %s", path, firstValue))
		}
		if inSecond {
			lines = append(lines, fmt.Sprintf("+ %s %s", path, secondValue))
		}
	}
	return lines, nil
}

// valuesByPath returns the scalar values of a text by their key paths.
func valuesByPath(text string) (map[string]string, error) {
	var root any
	if err := edn.UnmarshalString(text, &root); err != nil {
		return nil, err
	}
	values := map[string]string{}
	collect(values, "", root)
	return values, nil
}

// collect adds the scalar values of a node to values, by key path. path is that of the node.
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

// elementName names an element of a vector by its :name, or its :method and :path, if it has them, so that inserting an
// element does not rename those after it. Otherwise the name is the index.
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
