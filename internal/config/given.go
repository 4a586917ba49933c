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

// ForPlatform makes the settings of a relay that a platform tells what to do: it gives the module's terms and the names of their op
// types itself, no file does. Routes it has none: a command names its op type.
func ForPlatform(name string, terms policy.Config, ops []string, clients Clients, units Endpoints, memory int64) *Router {
	d := Document{Schema: DocumentSchema, Clients: clients, Endpoints: units, terms: terms,
		Rules: Rules{Round: terms.MinTickSeconds, MaxPause: terms.MaxRetryAfterSeconds, UnitsForget: terms.ForgetEndpointSeconds, OneWayKeys: terms.OneWayKeys,
			CountPerOp: terms.CanaryLimitPerClass}}
	for i, op := range terms.Classes {
		d.Classes = append(d.Classes, RequestClass{Name: ops[i], Target: op.LatencyObjectiveSeconds, Timeout: op.TimeoutSeconds, Importance: op.PriorityWeight,
			Group: [...]edn.Keyword{"all", "zone", "cell"}[op.DedupScope], Window: op.DedupWindowSeconds})
	}
	return &Router{Relay: name, Name: name, Document: d, Overload: &Overload{Memory: memory}}
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
