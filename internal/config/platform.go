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

// ForPlatform makes the configuration of a router that a platform starts: the platform gives the policy and the names of its request
// classes, no file does. There are no routes, since a request names its class itself. A memory of 0 is not bounded.
func ForPlatform(name string, policy policy.Config, classNames []string, clients Clients, endpoints Endpoints, memory int64) *Router {
	document := Document{
		Schema:    DocumentSchema,
		Clients:   clients,
		Endpoints: endpoints,
		Rules: Rules{
			TimerResolutionSeconds: policy.TimerResolutionSeconds,
			MaxRetryAfterSeconds:   policy.MaxRetryAfterSeconds,
			ForgetEndpointSeconds:  policy.ForgetEndpointSeconds,
			OneWayKeys:             policy.OneWayKeys,
			CanaryLimitPerClass:    policy.CanaryLimitPerClass,
		},
		policy: policy,
	}
	for i, class := range policy.Classes {
		document.Classes = append(document.Classes, RequestClass{
			Name:                    classNames[i],
			LatencyObjectiveSeconds: class.LatencyObjectiveSeconds,
			TimeoutSeconds:          class.TimeoutSeconds,
			PriorityWeight:          class.PriorityWeight,
			DedupScope:              [...]edn.Keyword{"all", "zone", "cell"}[class.DedupScope],
			DedupWindowSeconds:      class.DedupWindowSeconds,
		})
	}
	return &Router{Relay: name, Name: name, Document: document, Overload: &Overload{MemoryBytes: memory}}
}

// jsonValidator checks validate tags; its errors name fields by their JSON keys.
var jsonValidator = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	return v
}()

// CheckJSON checks what was read from JSON by the validate tags of its fields, as files are. An error names the key by its path.
func CheckJSON(v any) error {
	err := jsonValidator.Struct(v)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		return fmt.Errorf("%s: %s", strings.TrimPrefix(failures[0].Namespace(), "."), describe(failures[0]))
	}
	return err
}
