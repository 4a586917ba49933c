package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"olympos.io/encoding/edn"

	"flintspread/internal/policy"
)

// Given makes the settings of a relay that a platform tells what to do: it gives the module's terms and the names of their op
// types itself, no file does. Routes it has none: a command names its op type.
func Given(name string, terms policy.Terms, ops []string, clients Clients, units Units, memory int64) *Edge {
	d := Document{Schema: DocumentSchema, Clients: clients, Units: units, terms: terms,
		Rules: Rules{Round: terms.Round, MaxPause: terms.MaxPause, UnitsForget: terms.Forget, OneWayKeys: terms.OneWay,
			CountPerOp: terms.PerOp}}
	for i, op := range terms.Ops {
		d.OpTypes = append(d.OpTypes, OpType{Name: ops[i], Target: op.Target, Timeout: op.Timeout, Importance: op.Importance,
			Group: [...]edn.Keyword{"all", "zone", "cell"}[op.Group], Window: op.Window})
	}
	return &Edge{Relay: name, Name: name, Document: d, Overload: &Overload{Memory: memory}}
}

var jsonFields = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	return v
}()

// CheckJSON checks what was read from JSON by its fields' tags, as files are. An error names the key by its path.
func CheckJSON(v any) error {
	err := jsonFields.Struct(v)
	var bad validator.ValidationErrors
	if errors.As(err, &bad) {
		return fmt.Errorf("%s: %s", strings.TrimPrefix(bad[0].Namespace(), "."), complaint(bad[0]))
	}
	return err
}
