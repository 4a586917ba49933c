package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"olympos.io/encoding/edn"
)

// maxFileBytes is the size above which a file is rejected without reading it.
const maxFileBytes = 4 << 20

func tooLargeError(file string, size int64) error {
	return &FieldError{File: file, Line: 1, Problem: fmt.Sprintf("%d bytes; %d at most", size, maxFileBytes)}
}

func readFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, tooLargeError(file, info.Size())
	}
	return os.ReadFile(file)
}

// ednValidator checks validate tags. Its errors name fields by their EDN keys.
var ednValidator = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("edn") })
	return v
}()

// Decode decodes an EDN text into a struct with edn and validate tags. A missing, unknown, duplicate, mistyped or
// invalid key is a *FieldError, in which file is the name of the text.
func Decode(file string, text []byte, into any) error {
	_, err := decode(file, text, into)
	return err
}

// decode is like Decode, but also returns the positions of the keys, for the errors of later checks.
func decode(file string, text []byte, into any) (*positions, error) {
	positions, err := findPositions(string(text))
	if err != nil {
		return nil, &FieldError{File: file, Line: positions.line, Problem: err.Error()}
	}
	if err := edn.Unmarshal(text, into); err != nil {
		return nil, mistypedError(file, text, positions, into, err)
	}
	loc, target := locator{file, positions}, reflect.TypeOf(into).Elem()
	for _, key := range positions.keys {
		discarded := strings.Contains(key, "#_")
		if !discarded && !isKnownPath(target, strings.Fields(key)) {
			return nil, loc.fieldError(key, "unknown key")
		}
	}
	if path := missingKey(positions, target, ""); path != "" {
		return nil, loc.fieldError(path, "missing")
	}
	if err := ednValidator.Struct(into); err != nil {
		var failures validator.ValidationErrors
		if !errors.As(err, &failures) {
			return nil, &FieldError{File: file, Line: 1, Problem: err.Error()}
		}
		return nil, loc.fieldError(namespacePath(failures[0].Namespace()), describe(failures[0]))
	}
	return positions, nil
}

// fieldByKey returns the field for an EDN key such as ":target", including fields of embedded structs.
func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for _, f := range reflect.VisibleFields(t) {
		if name, _, _ := strings.Cut(f.Tag.Get("edn"), ","); name != "" && ":"+name == key {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// isKnownPath reports whether a path of EDN keys leads to a field of the type. It does not check what is below a
// scalar, where the EDN decoder itself rejects unexpected content.
func isKnownPath(t reflect.Type, path []string) bool {
	for _, part := range path {
		if t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		switch t.Kind() {
		case reflect.Struct:
			f, ok := fieldByKey(t, part)
			if !ok {
				return false
			}
			t = f.Type
		case reflect.Slice, reflect.Map:
			t = t.Elem()
		default:
			return true
		}
	}
	return true
}

// isRequired reports whether the key of a field must be in the text. Keys of structs, and of fields with a validate tag
// that does not begin with omitempty, are required. The validator cannot check this, because the decoder leaves the
// field of a missing key at its zero value.
func isRequired(f reflect.StructField) bool {
	checks := f.Tag.Get("validate")
	return f.Type.Kind() == reflect.Struct || checks != "" && !strings.HasPrefix(checks, "omitempty")
}

// missingKey returns the path of the first required key that is not in the text, or "" if there is none.
func missingKey(positions *positions, t reflect.Type, path string) string {
	for _, f := range reflect.VisibleFields(t) {
		name := f.Tag.Get("edn")
		if name == "" || !f.IsExported() {
			continue
		}
		fieldPath := strings.TrimSpace(path + " :" + name)
		_, present := positions.lineOf[fieldPath]
		if !present && isRequired(f) {
			return fieldPath
		}
		inner := f.Type
		if inner.Kind() == reflect.Pointer && present {
			inner = inner.Elem() // may be omitted, but must be complete if present
		}
		if inner.Kind() == reflect.Struct {
			if missing := missingKey(positions, inner, fieldPath); missing != "" {
				return missing
			}
		}
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			if missing := missingInElements(positions, f.Type.Elem(), fieldPath); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// missingInElements applies missingKey to each element of a list of structs.
func missingInElements(positions *positions, element reflect.Type, path string) string {
	for i := 0; ; i++ {
		elementPath := fmt.Sprintf("%s %d", path, i)
		if positions.lineOf[elementPath] == 0 {
			return ""
		}
		if missing := missingKey(positions, element, elementPath); missing != "" {
			return missing
		}
	}
}

// mistypedError returns an error with the position of the value that the EDN decoder rejected with err. The decoder's
// errors have no position, so mistypedError decodes the parts of the text one by one, descends into the first one that
// is rejected, and so on.
func mistypedError(file string, text []byte, positions *positions, into any, err error) error {
	path, t, cause := "", reflect.TypeOf(into).Elem(), err
	for deeper := true; deeper; {
		deeper = false
		for _, childPath := range positions.children(path, t) {
			child := childType(t, childPath[len(path):])
			at := positions.rangeOf[childPath]
			if child == nil || at.to <= at.from {
				continue
			}
			if err := edn.Unmarshal(text[at.from:at.to], reflect.New(child).Interface()); err != nil {
				path, t, cause, deeper = childPath, child, err, true
				break
			}
		}
	}
	return locator{file, positions}.fieldError(path, strings.TrimPrefix(cause.Error(), "edn: "))
}

// childType returns the type of the value at a key of a struct, or of the elements of a slice, array or map. It returns
// nil for an unknown key and for other types.
func childType(t reflect.Type, key string) reflect.Type {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Slice, reflect.Array, reflect.Map:
		return t.Elem()
	case reflect.Struct:
		if f, ok := fieldByKey(t, strings.TrimSpace(key)); ok {
			return f.Type
		}
	}
	return nil
}
