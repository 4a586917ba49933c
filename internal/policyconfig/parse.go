package policyconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// ParseLines reads settings from KEY=VALUE lines and ignores other lines.
func ParseLines(text string) Values {
	values := Values{}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(line, "="); ok {
			values[key] = strings.TrimSuffix(value, "\r")
		}
	}
	return values
}

// ParseJSON reads settings from nested JSON objects, with the same keys as in KEY=VALUE lines. The length of a list is
// stored as KEY.count; scalar elements are stored as KEY, separated by commas, and objects as KEY.INDEX.
func ParseJSON(text []byte) (Values, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // keep the digits of numbers
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
		return nil, fmt.Errorf("setting classes is no list")
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

// Seconds reads one time setting, which is in milliseconds, and returns it in seconds. It is for settings that Decode
// ignores.
func Seconds(values Values, key string) (float64, error) {
	d := &decoder{values: values}
	return d.seconds(key), d.err
}
