package policyconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// ParseLines parses settings from lines of the form KEY=VALUE, and ignores other lines.
func ParseLines(text string) Values {
	values := Values{}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(line, "="); ok {
			values[key] = strings.TrimSuffix(value, "\r")
		}
	}
	return values
}

// ParseJSON parses settings from nested JSON objects into the same keys as in KEY=VALUE lines. A list is stored as its
// length under KEY.count, its scalar elements under KEY, separated by commas, and its objects under KEY.INDEX.
func ParseJSON(text []byte) (Values, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // keeps numbers as they are written
	var root map[string]any
	if err := decoder.Decode(&root); err != nil {
		return nil, err
	}
	values := Values{}
	for key, value := range root {
		flatten(values, key, value)
	}
	return values, nil
}

// flatten stores a JSON value and its descendants. A null is not stored.
func flatten(values Values, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, child := range value {
			flatten(values, path+"."+key, child)
		}
	case []any:
		var scalars []string
		for i, item := range value {
			if _, isObject := item.(map[string]any); isObject {
				flatten(values, path+"."+strconv.Itoa(i), item)
				continue
			}
			scalars = append(scalars, fmt.Sprint(item))
		}
		values[path+".count"] = strconv.Itoa(len(value))
		values[path] = strings.Join(scalars, ",")
	case nil:
	default:
		values[path] = fmt.Sprint(value)
	}
}

// ClassNames returns the names of the request classes, in the order of policy.Config.Classes.
func ClassNames(values Values) ([]string, error) {
	count, err := strconv.Atoi(values["classes.count"])
	if err != nil {
		return nil, fmt.Errorf("setting classes is not a list")
	}
	var names []string
	for i := range count {
		key := fmt.Sprintf("classes.%d.name", i)
		name := values[key]
		if name == "" {
			return nil, fmt.Errorf("setting %s is missing", key)
		}
		names = append(names, name)
	}
	return names, nil
}

// Seconds reads one setting, which is a time in milliseconds, and returns it in seconds. It is for settings that Decode
// ignores.
func Seconds(values Values, key string) (float64, error) {
	d := &decoder{values: values}
	return d.seconds(key), d.err
}
