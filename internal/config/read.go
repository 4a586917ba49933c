package config

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"olympos.io/encoding/edn"
)

const mostBytes = 4 << 20 // a longer file is no settings file

// FieldError is what is wrong with a file, and where.
type FieldError struct {
	File string
	Line int
	Key  string // the path to it, empty where the text itself is broken
	What string
}

func (f *FieldError) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.What)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.What)
}

// ReadRouter reads and checks an edge's file. Every error that lies in the text is a *Fault.
func ReadRouter(file string) (*Router, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseRouter(file, text)
}

// ParseRouter reads and checks an edge's settings from their text; file is the name that errors give.
func ParseRouter(file string, text []byte) (*Router, error) {
	e := &Router{file: file}
	where, err := decode(file, text, e)
	if err != nil {
		return nil, err
	}
	e.places = where
	return e, e.Check()
}

// Decode reads one EDN text into a struct with edn and validate tags. A missing, unknown, doubled, mistyped or invalid
// key is a *Fault.
func Decode(file string, text []byte, into any) error {
	_, err := decode(file, text, into)
	return err
}

func decode(file string, text []byte, into any) (*places, error) {
	where, err := findPlaces(string(text))
	if err != nil {
		return nil, &FieldError{file, where.line, "", err.Error()}
	}
	if err := edn.Unmarshal(text, into); err != nil {
		return nil, mistyped(file, text, where, into, err)
	}
	for _, key := range where.keys {
		if !strings.Contains(key, "#_") && !known(reflect.TypeOf(into).Elem(), strings.Fields(key)) {
			return nil, &FieldError{file, where.of[key], key, "unknown key"}
		}
	}
	// Keys that may be left out say so; the rest must stand in the file, since 0 is a value like any other.
	if path, line := missing(where, reflect.TypeOf(into).Elem(), ""); path != "" {
		return nil, &FieldError{file, line, path, "missing"}
	}
	if err := fields.Struct(into); err != nil {
		var bad validator.ValidationErrors
		if !errors.As(err, &bad) {
			return nil, &FieldError{file, 1, "", err.Error()}
		}
		path := namespacePath(bad[0].Namespace())
		return nil, &FieldError{file, where.line1(path), path, complaint(bad[0])}
	}
	return where, nil
}

// line1 is the line of a path, or of the nearest thing around it that stands in the text.
func (p *places) line1(path string) int {
	for path != "" {
		if line := p.of[path]; line > 0 {
			return line
		}
		path = path[:max(0, strings.LastIndexByte(path, ' '))]
	}
	return 1
}

var fields = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("edn") })
	return v
}()

var humps = regexp.MustCompile(`([a-z])([A-Z])`)

var index = regexp.MustCompile(`\[(\d+)\]`)

// namespacePath turns the validator's Edge.op-types[0].target into :op-types 0 :target.
func namespacePath(s string) string {
	_, s, _ = strings.Cut(s, ".")
	var path []string
	for _, part := range strings.Split(s, ".") {
		if part[0] >= 'A' && part[0] <= 'Z' {
			continue // an embedded struct, which no key names
		}
		i := index.FindStringSubmatch(part)
		path = append(path, ":"+index.ReplaceAllString(part, ""))
		if i != nil {
			path = append(path, i[1])
		}
	}
	return strings.Join(path, " ")
}

// complaint words a failed check.
func complaint(f validator.FieldError) string {
	words := map[string]string{"gt": "must be above", "gte": "must be at least", "lte": "must be at most", "oneof": "must be one of",
		"min": "must number at least", "max": "must number at most", "startswith": "must begin with"}
	switch f.Tag() {
	case "required":
		return "must not be empty"
	case "hostname_port":
		return fmt.Sprintf("%q is no HOST:PORT", f.Value())
	case "http_url":
		return fmt.Sprintf("%q is no http:// address", f.Value())
	}
	if of := map[string]string{"gtefield": "must be at least that of", "gtfield": "must be above that of"}[f.Tag()]; of != "" {
		return fmt.Sprintf("%v %s :%s", f.Value(), of, strings.ToLower(humps.ReplaceAllString(f.Param(), "$1-$2")))
	}
	if w := words[f.Tag()]; w != "" {
		return fmt.Sprintf("%v %s %s", f.Value(), w, f.Param())
	}
	return fmt.Sprintf("%v does not do (%s %s)", f.Value(), f.Tag(), f.Param())
}

func fieldOf(t reflect.Type, key string) (reflect.StructField, bool) {
	for _, f := range reflect.VisibleFields(t) { // those of embedded structs too
		if name, _, _ := strings.Cut(f.Tag.Get("edn"), ","); name != "" && ":"+name == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// known tells whether a path leads to a field.
func known(t reflect.Type, path []string) bool {
	for _, part := range path {
		if t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		switch t.Kind() {
		case reflect.Struct:
			f, ok := fieldOf(t, part)
			if !ok {
				return false
			}
			t = f.Type
		case reflect.Slice:
			t = t.Elem()
		case reflect.Map:
			t = t.Elem()
		default:
			return true // below a plain value the decoder has the say
		}
	}
	return true
}

// missing finds the first field that the text leaves out though it is not optional: those are the fields without a
// validate tag that are no struct, those with omitempty, and booleans.
func missing(where *places, t reflect.Type, path string) (string, int) {
	for _, f := range reflect.VisibleFields(t) {
		name := f.Tag.Get("edn")
		if name == "" || !f.IsExported() {
			continue
		}
		at := strings.TrimSpace(path + " :" + name)
		_, stands := where.of[at]
		must := f.Type.Kind() == reflect.Struct || f.Tag.Get("validate") != "" &&
			!strings.HasPrefix(f.Tag.Get("validate"), "omitempty")
		if !stands && must {
			return at, where.line1(path)
		}
		inner := f.Type
		if inner.Kind() == reflect.Pointer && stands {
			inner = inner.Elem() // left out it is fine, begun it is to be whole
		}
		if inner.Kind() == reflect.Struct {
			if p, line := missing(where, inner, at); p != "" {
				return p, line
			}
		}
		for j := 0; f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct; j++ {
			each := fmt.Sprintf("%s %d", at, j)
			if where.of[each] == 0 {
				break
			}
			if p, line := missing(where, f.Type.Elem(), each); p != "" {
				return p, line
			}
		}
	}
	return "", 0
}

// mistyped finds which value the decoder would not take, by decoding the parts of what it would not take by themselves.
func mistyped(file string, text []byte, where *places, into any, err error) error {
	path, t, what := "", reflect.TypeOf(into).Elem(), err
	for deeper := true; deeper; {
		deeper = false
		for _, at := range where.below(path, t) {
			field := typeAt(t, at[len(path):])
			v := where.values[at]
			if field == nil || v.to <= v.from {
				continue
			}
			if e := edn.Unmarshal(text[v.from:v.to], reflect.New(field).Interface()); e != nil {
				path, t, what, deeper = at, field, e, true
				break
			}
		}
	}
	return &FieldError{file, where.line1(path), path, strings.TrimPrefix(what.Error(), "edn: ")}
}

// below gives the paths of a value's own keys or elements.
func (p *places) below(path string, t reflect.Type) (list []string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() == reflect.Slice || t.Kind() == reflect.Array {
		for i := 0; ; i++ {
			at := strings.TrimSpace(fmt.Sprint(path, " ", i))
			if _, ok := p.of[at]; !ok {
				return list
			}
			list = append(list, at)
		}
	}
	for _, key := range p.keys {
		if rest, ok := strings.CutPrefix(key, path); ok && len(strings.Fields(rest)) == 1 && (path == "" || rest[0] == ' ') {
			list = append(list, key)
		}
	}
	return list
}

// typeAt is the type of one key or element of a type, nil where there is none.
func typeAt(t reflect.Type, key string) reflect.Type {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Slice, reflect.Array, reflect.Map:
		return t.Elem()
	case reflect.Struct:
		if f, ok := fieldOf(t, strings.TrimSpace(key)); ok {
			return f.Type
		}
	}
	return nil
}
