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

// ForPlatform returns the configuration of a router that runs on the platform, which supplies the policy and the names
// of its request classes instead of a file. There are no routes, because each request names its class.
func ForPlatform(name string, policy policy.Config, classNames []string, clients Clients, endpoints Endpoints, overload Overload) *Router {
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
	return &Router{RouterGroup: name, Name: name, Document: document, Overload: &overload}
}

// jsonValidator checks validate tags. Its errors name fields by their JSON keys.
var jsonValidator = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	return v
}()

// CheckJSON checks a struct decoded from JSON by the validate tags of its fields. An error names the path of the key.
func CheckJSON(v any) error {
	err := jsonValidator.Struct(v)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		return fmt.Errorf("%s: %s", strings.TrimPrefix(failures[0].Namespace(), "."), describe(failures[0]))
	}
	return err
}
