package config

import (
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"olympos.io/encoding/edn"

	"flintspread/internal/policy"
)

// DocumentSchema is the schema version of documents that this program reads.
const DocumentSchema = 1

// Document is the part of the configuration that may change while a router runs. In a settings file its keys are at the
// top level; a control service sends it separately, in numbered versions.
type Document struct {
	// Schema must be DocumentSchema.
	Schema    int       `edn:"schema" validate:"eq=1"`
	Clients   Clients   `edn:"clients"`
	Endpoints Endpoints `edn:"units"`
	Rules     Rules     `edn:"rules"`
	Release   Release   `edn:"release"`
	// Classes are the request classes. Each needs at least one route.
	Classes []RequestClass `edn:"op-types" validate:"required,min=1,max=256,dive"`
	Routes  []Route        `edn:"routes" validate:"required,min=1,max=4096,dive"`

	policy         policy.Config
	classByName    map[string]int               // index into Classes
	routesByMethod map[string]*iradix.Tree[int] // index into Classes by path prefix
}

// Clients limits the resources that a router spends on its clients.
type Clients struct {
	// MaxConns is the maximum number of client connections.
	MaxConns int `edn:"connections" validate:"gt=0"`
	// HeadBytes and BodyBytes are the maximum sizes of the head and the body of a request.
	HeadBytes int64 `edn:"head-bytes" validate:"gte=1024"`
	BodyBytes int64 `edn:"body-bytes" validate:"gte=0"`
	// ReadTimeoutSeconds is the time within which a client must have sent a request completely, and again the time
	// within which it must have received an answer completely.
	ReadTimeoutSeconds float64 `edn:"read-time" validate:"gt=0"`
	// IdleTimeoutSeconds is the time after which an idle connection is closed.
	IdleTimeoutSeconds float64 `edn:"idle-time" validate:"gt=0"`
	// DrainTimeoutSeconds is the longest time that a graceful shutdown waits for requests in flight.
	DrainTimeoutSeconds float64 `edn:"drain-time" validate:"gt=0"`
	// IdleEvictionThreshold is the number of client connections at which the router begins to close an idle connection
	// for each one that it accepts; 0: never. It cannot be set in a file.
	IdleEvictionThreshold int `edn:"-"`
}

// Endpoints limits the connections to endpoints.
type Endpoints struct {
	// MaxConnsPerEndpoint is the maximum number of connections to each endpoint.
	MaxConnsPerEndpoint int `edn:"connections" validate:"gt=0"`
	// DialTimeoutSeconds is the time after which a connection attempt fails.
	DialTimeoutSeconds float64 `edn:"dial-time" validate:"gt=0"`
	// IdleTimeoutSeconds is the time after which an idle connection is closed. It must be below the endpoints' own idle
	// timeout; otherwise requests hit connections that the endpoint has just closed.
	IdleTimeoutSeconds float64 `edn:"idle-time" validate:"gt=0"`
	// MaxAnswerBytes is the maximum size of an answer.
	MaxAnswerBytes int64 `edn:"answer-bytes" validate:"gt=0"`
	// MaxConns is the maximum number of connections to all endpoints together; 0: unlimited. It cannot be set in a file.
	MaxConns int `edn:"-"`
}

// Rules are the limits that routers keep when they answer clients and send attempts to endpoints.
type Rules struct {
	// RouterGroups is the number of router groups that share the endpoints. The routers of one controller form a group; a
	// router without a controller is a group of its own. Each group casts one vote.
	RouterGroups int `edn:"relays" validate:"gt=0"`
	// TimerResolutionSeconds is the resolution of the router's timers. Answers are sent two to three times this
	// resolution before the client's timeout.
	TimerResolutionSeconds float64 `edn:"round" validate:"gt=0"`
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts int `edn:"deliveries" validate:"gt=0,lte=100"`
	// AllowHedging allows two attempts of a request in flight at the same time.
	AllowHedging bool `edn:"parallel"`
	// MaxRetryAfterSeconds is the longest retry-after time that is sent to a rejected client.
	MaxRetryAfterSeconds float64 `edn:"max-pause" validate:"gt=0"`
	// SlowStartInitialShare is the share of its full capacity that an endpoint has when it starts.
	SlowStartInitialShare float64 `edn:"cold-from" validate:"gt=0,lte=1"`
	// SlowStartSeconds is the time until an endpoint reaches its full capacity.
	SlowStartSeconds float64 `edn:"warm-up" validate:"gte=0"`
	// SlowStartOverloadFactor and SlowStartOverloadSeconds define the overload of an endpoint in slow start: it fails if
	// its traffic over SlowStartOverloadSeconds exceeds SlowStartOverloadFactor times the mean traffic per endpoint,
	// scaled by the share of its capacity that it has at the time.
	SlowStartOverloadFactor  float64 `edn:"fall-multiple" validate:"gte=1"`
	SlowStartOverloadSeconds float64 `edn:"fall-time" validate:"gt=0"`
	// CanaryWindowSeconds is the length of the window to which the canary traffic limit applies. It must be at least
	// GraceSeconds.
	CanaryWindowSeconds float64 `edn:"window" validate:"gt=0"`
	// GraceSeconds is the time within which drains and lower canary traffic limits must take effect.
	GraceSeconds float64 `edn:"grace" validate:"gt=0"`
	// CanaryFreeAttempts is the number of canary attempts allowed per window in addition to the share of
	// Release.CanaryLimits.
	CanaryFreeAttempts float64 `edn:"free" validate:"gte=0"`
	// CanaryLimitPerClass applies the canary traffic limit to each request class separately.
	CanaryLimitPerClass bool `edn:"count-per-op-type"`
	// IdempotentOnlyStages is the number of initial rollout stages in which the canary gets idempotent requests only.
	IdempotentOnlyStages int `edn:"guarded-stages" validate:"gte=0"`
	// OneWayKeys means that once a build has answered a request with a key, no later request with this key is sent to an
	// earlier build.
	OneWayKeys bool `edn:"one-way-keys"`
	// MaxRememberedKeys is the maximum number of keys remembered for OneWayKeys.
	MaxRememberedKeys int `edn:"keys-kept" validate:"gte=0"`
	// ForgetEndpointSeconds is the time after which an endpoint that left the list is forgotten. It must be above every
	// request timeout.
	ForgetEndpointSeconds float64 `edn:"forget-units" validate:"gt=0"`
}

// Release configures how canaries are rolled out, and the costs of wrong decisions about them.
type Release struct {
	// StageShares are the shares of the endpoints that run the canary, by rollout stage. They must not decrease.
	StageShares []float64 `edn:"stages" validate:"required,min=1,dive,gt=0,lte=1"`
	// CanaryLimits are the maximum shares of requests that may go to the canary, by rollout stage. None may be below
	// that stage's share or below the previous limit.
	CanaryLimits []float64 `edn:"caps" validate:"required,min=1,dive,gte=0,lte=1"`
	// RollbackVotes is the number of votes needed to roll a release back.
	RollbackVotes int `edn:"back-votes" validate:"gt=0"`
	// AutomaticStages makes stages advance by time, so that votes only hold or roll back.
	AutomaticStages bool `edn:"by-clock"`
	// ReplaceInPlace means that canary endpoints replace baseline endpoints, instead of running in addition to them.
	ReplaceInPlace bool `edn:"replace"`
	// WrongAnswerPrice is the cost of work that is answered wrongly, StaleBuildPrice the cost of work that the baseline
	// serves while a good canary waits. Only their ratio matters.
	WrongAnswerPrice float64 `edn:"harm-price" validate:"gt=0"`
	StaleBuildPrice  float64 `edn:"stale-price" validate:"gt=0"`
	// WrongAnswerReportShare is the share of wrong answers that clients report.
	WrongAnswerReportShare float64 `edn:"report-share" validate:"gte=0,lte=1"`
	// VoteLifetimeSeconds is how long a vote stays valid.
	VoteLifetimeSeconds float64 `edn:"vote-life" validate:"gt=0"`
	// VoteTimeoutSeconds is how long to wait for the reply to a vote.
	VoteTimeoutSeconds float64 `edn:"vote-timeout" validate:"gt=0"`
	// VotesPerSecond is the rate of votes that the release service accepts from all router groups together.
	VotesPerSecond float64 `edn:"votes-a-second" validate:"gt=0"`
}

// RequestClass describes one class of requests.
type RequestClass struct {
	Name string `edn:"name" validate:"required"`
	// LatencyObjectiveSeconds is the latency objective: a later answer has no value. It must not be above
	// TimeoutSeconds.
	LatencyObjectiveSeconds float64 `edn:"target" validate:"gt=0"`
	// TimeoutSeconds is the client's timeout for the request, retries included. It must be above three times
	// Rules.TimerResolutionSeconds.
	TimeoutSeconds float64 `edn:"timeout" validate:"gt=0"`
	// PriorityWeight is the relative value of an answer within the latency objective.
	PriorityWeight float64 `edn:"importance" validate:"gt=0"`
	// Idempotency says whether the request may run more than once. The values correspond to policy.Idempotent,
	// policy.IdempotentWithKey and policy.NonIdempotent, in this order.
	Idempotency edn.Keyword `edn:"effect" validate:"oneof=redeliverable deduplicated at-most-once"`
	// DedupScope says which endpoints recognize a repeated key. Required for deduplicated classes.
	DedupScope edn.Keyword `edn:"group" validate:"omitempty,oneof=all zone cell"`
	// DedupWindowSeconds is how long an endpoint recognizes a repeated key. Required for deduplicated classes.
	DedupWindowSeconds float64 `edn:"window" validate:"omitempty,gte=0"`
}

// Route assigns a request class to requests by method and path prefix. The longest prefix wins.
type Route struct {
	Method string `edn:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path   string `edn:"path" validate:"required,startswith=/"`
	Class  string `edn:"op-type" validate:"required"`
}

// ParseDocument parses and checks a separate document, as sent by a control service. name is the file name in errors.
func ParseDocument(name string, text []byte) (*Document, error) {
	if len(text) > maxFileBytes {
		return nil, tooLargeError(name, int64(len(text)))
	}
	d := &Document{}
	positions, err := decode(name, text, d)
	if err != nil {
		return nil, err
	}
	return d, d.validate(locator{name, positions})
}

// Policy returns the configuration for package policy.
func (d *Document) Policy() policy.Config { return d.policy }

// ClassOf returns the index of the request class for a method and path, or -1 if no route matches.
func (d *Document) ClassOf(method, path string) int {
	routes := d.routesByMethod[method]
	if routes == nil {
		return -1
	}
	if _, class, ok := routes.Root().LongestPrefix([]byte(path)); ok {
		return class
	}
	return -1
}

// validate checks fields against each other, and sets the derived fields.
func (d *Document) validate(loc locator) (err error) {
	if d.policy, err = policyConfig(loc, d.Rules, d.Release, d.Classes); err != nil {
		return err
	}
	d.policy.ConnIdleSeconds = d.Endpoints.IdleTimeoutSeconds
	d.classByName = map[string]int{}
	for i, class := range d.Classes {
		d.classByName[class.Name] = i
	}
	return d.buildRoutes(loc)
}

// buildRoutes fills routesByMethod. It fails if a route names an unknown class, two routes have the same method and
// prefix, or a class has no route.
func (d *Document) buildRoutes(loc locator) error {
	d.routesByMethod = map[string]*iradix.Tree[int]{}
	hasRoute := map[string]bool{}
	firstRoute := map[string]int{} // index into Routes by method and path
	for i, route := range d.Routes {
		key := fmt.Sprintf(":routes %d", i)
		if _, ok := d.classByName[route.Class]; !ok {
			return loc.fieldError(key+" :op-type", fmt.Sprintf("no op type is called %q", route.Class))
		}
		hasRoute[route.Class] = true
		methodAndPath := route.Method + " " + route.Path
		if first, duplicate := firstRoute[methodAndPath]; duplicate {
			return loc.fieldError(key+" :path", fmt.Sprintf("the same as :routes %d", first))
		}
		firstRoute[methodAndPath] = i
		tree := d.routesByMethod[route.Method]
		if tree == nil {
			tree = iradix.New[int]()
		}
		d.routesByMethod[route.Method], _, _ = tree.Insert([]byte(route.Path), d.classByName[route.Class])
	}
	for i, class := range d.Classes {
		if !hasRoute[class.Name] {
			return loc.fieldError(fmt.Sprintf(":op-types %d :name", i), fmt.Sprintf("no route leads to %q", class.Name))
		}
	}
	return nil
}
