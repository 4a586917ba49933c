package policyconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// ParseJSON gives the pairs of settings that come as nested JSON, by the paths that a text would give them: a list of plain values
// becomes one value, a list of objects its length and its items.
func ParseJSON(text []byte) (map[string]string, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var root map[string]any
	if err := d.Decode(&root); err != nil {
		return nil, err
	}
	pairs := map[string]string{}
	for key, v := range root {
		flatten(pairs, key, v)
	}
	return pairs, nil
}

func flatten(pairs map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, w := range v {
			flatten(pairs, path+"."+key, w)
		}
	case []any:
		var plain []string
		for i, w := range v {
			if _, object := w.(map[string]any); object {
				flatten(pairs, path+"."+strconv.Itoa(i), w)
				continue
			}
			plain = append(plain, fmt.Sprint(w))
		}
		pairs[path+".count"] = strconv.Itoa(len(v))
		pairs[path] = strings.Join(plain, ",")
	case nil:
	default:
		pairs[path] = fmt.Sprint(v)
	}
}

// ClassNames gives the op types' names, in the order of the terms' op types.
func ClassNames(pairs map[string]string) ([]string, error) {
	n, err := strconv.Atoi(pairs["classes.count"])
	if err != nil {
		return nil, fmt.Errorf("setting classes is no list")
	}
	var names []string
	for i := range n {
		key := fmt.Sprintf("classes.%d.name", i)
		if pairs[key] == "" {
			return nil, fmt.Errorf("setting %s is missing", key)
		}
		names = append(names, pairs[key])
	}
	return names, nil
}

// Seconds reads one setting that the module does not need, in milliseconds.
func Seconds(pairs map[string]string, key string) (float64, error) {
	r := &reader{pairs: pairs}
	return r.secs(key), r.err
}
