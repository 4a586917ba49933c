package config

import (
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"olympos.io/encoding/edn"

	"flintspread/internal/policy"
)

// DocumentSchema is the version of the document's schema that this program reads.
const DocumentSchema = 1

// Document is the part of the configuration that may change while a router runs. In a file it stands beside the rest; a control
// service sends it by itself, in numbered versions.
type Document struct {
	// Schema is the version of the schema: DocumentSchema.
	Schema    int       `edn:"schema" validate:"eq=1"`
	Clients   Clients   `edn:"clients"`
	Endpoints Endpoints `edn:"units"`
	Rules     Rules     `edn:"rules"`
	Release   Release   `edn:"release"`
	// Classes are the request classes. Each needs a route that leads to it.
	Classes []RequestClass `edn:"op-types" validate:"required,min=1,max=256,dive"`
	Routes  []Route        `edn:"routes" validate:"required,min=1,max=4096,dive"`

	policy         policy.Config
	classByName    map[string]int               // index into Classes
	routesByMethod map[string]*iradix.Tree[int] // index into Classes by path prefix
}

// Clients bounds what clients may use of a router.
type Clients struct {
	// MaxConns is the largest number of client connections.
	MaxConns int `edn:"connections" validate:"gt=0"`
	// HeadBytes and BodyBytes bound one request.
	HeadBytes int64 `edn:"head-bytes" validate:"gte=1024"`
	BodyBytes int64 `edn:"body-bytes" validate:"gte=0"`
	// ReadTimeoutSeconds is the number of seconds within which a request must have been read, and an answer been taken.
	ReadTimeoutSeconds float64 `edn:"read-time" validate:"gt=0"`
	// IdleTimeoutSeconds is the number of seconds after which an idle connection is closed.
	IdleTimeoutSeconds float64 `edn:"idle-time" validate:"gt=0"`
	// DrainTimeoutSeconds is the longest time, in seconds, that a graceful shutdown waits for requests in flight.
	DrainTimeoutSeconds float64 `edn:"drain-time" validate:"gt=0"`
	// EvictIdleAbove is the number of connections above which an idle one is closed for each that is accepted; 0: none is. No file sets it.
	EvictIdleAbove int `edn:"-"`
}

// Endpoints bounds the connections to endpoints.
type Endpoints struct {
	// MaxConnsPerEndpoint is the largest number of connections to each endpoint.
	MaxConnsPerEndpoint int `edn:"connections" validate:"gt=0"`
	// DialTimeoutSeconds is the number of seconds after which a connection attempt fails.
	DialTimeoutSeconds float64 `edn:"dial-time" validate:"gt=0"`
	// IdleTimeoutSeconds is the number of seconds after which an idle connection is closed. It must be below the endpoints' own, or requests
	// meet connections that were just closed.
	IdleTimeoutSeconds float64 `edn:"idle-time" validate:"gt=0"`
	// MaxAnswerBytes bounds one answer.
	MaxAnswerBytes int64 `edn:"answer-bytes" validate:"gt=0"`
	// MaxConns bounds the connections to all endpoints together; 0: not bounded. No file sets it.
	MaxConns int `edn:"-"`
}

// Rules are the bounds that the routers keep towards clients and endpoints.
type Rules struct {
	// Routers is the number of routers that share the endpoints.
	Routers int `edn:"relays" validate:"gt=0"`
	// TimerResolutionSeconds is how exactly the router keeps a time, in seconds. Answers are sent two to three of it before the client's timeout.
	TimerResolutionSeconds float64 `edn:"round" validate:"gt=0"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int `edn:"deliveries" validate:"gt=0,lte=100"`
	// AllowHedging lets two attempts of a request be in flight together.
	AllowHedging bool `edn:"parallel"`
	// MaxRetryAfterSeconds is the longest retry-after time, in seconds, that a rejected client is told.
	MaxRetryAfterSeconds float64 `edn:"max-pause" validate:"gt=0"`
	// SlowStartInitialShare is the share of its capacity that an endpoint has when it starts.
	SlowStartInitialShare float64 `edn:"cold-from" validate:"gt=0,lte=1"`
	// SlowStartSeconds is the time until an endpoint has all of its capacity.
	SlowStartSeconds float64 `edn:"warm-up" validate:"gte=0"`
	// SlowStartOverloadFactor times its present capacity, for SlowStartOverloadSeconds, makes an endpoint in slow start fail.
	SlowStartOverloadFactor  float64 `edn:"fall-multiple" validate:"gte=1"`
	SlowStartOverloadSeconds float64 `edn:"fall-time" validate:"gt=0"`
	// CanaryWindowSeconds is the time, in seconds, over which the canary traffic limit counts. It is not below GraceSeconds.
	CanaryWindowSeconds float64 `edn:"window" validate:"gt=0"`
	// GraceSeconds is the time within which drains and lower canary limits must be followed.
	GraceSeconds float64 `edn:"grace" validate:"gt=0"`
	// CanaryFreeAttempts is the number of canary attempts that each window allows, beside the share of Release.CanaryLimits.
	CanaryFreeAttempts float64 `edn:"free" validate:"gte=0"`
	// CanaryLimitPerClass applies the canary traffic limit to each request class by itself.
	CanaryLimitPerClass bool `edn:"count-per-op-type"`
	// IdempotentOnlyStages is the number of first rollout stages that take idempotent requests only.
	IdempotentOnlyStages int `edn:"guarded-stages" validate:"gte=0"`
	// OneWayKeys keeps a key that a build answered from ever going to an earlier build.
	OneWayKeys bool `edn:"one-way-keys"`
	// MaxRememberedKeys bounds the keys that are remembered for OneWayKeys.
	MaxRememberedKeys int `edn:"keys-kept" validate:"gte=0"`
	// ForgetEndpointSeconds is the time, in seconds, after which an endpoint that left the list is forgotten. It is above every request timeout.
	ForgetEndpointSeconds float64 `edn:"forget-units" validate:"gt=0"`
}

// Release says how canaries are rolled out, and what mistakes about them cost.
type Release struct {
	// StageShares are the shares of the endpoints that run the canary, by rollout stage. They don't fall.
	StageShares []float64 `edn:"stages" validate:"required,min=1,dive,gt=0,lte=1"`
	// CanaryLimits are the shares of the requests that may go to the canary, by rollout stage: none below the stage's share.
	CanaryLimits []float64 `edn:"caps" validate:"required,min=1,dive,gte=0,lte=1"`
	// RollbackVotes is the number of votes that roll a release back.
	RollbackVotes int `edn:"back-votes" validate:"gt=0"`
	// AutomaticStages says that stages advance by time; votes only hold or roll back.
	AutomaticStages bool `edn:"by-clock"`
	// ReplaceInPlace says that baseline endpoints leave as their successors come, instead of staying beside them.
	ReplaceInPlace bool `edn:"replace"`
	// WrongAnswerPrice is the cost of work that is answered wrongly, StaleBuildPrice that of work that the baseline serves while a
	// good canary waits: their ratio counts.
	WrongAnswerPrice float64 `edn:"harm-price" validate:"gt=0"`
	StaleBuildPrice  float64 `edn:"stale-price" validate:"gt=0"`
	// WrongAnswerReportShare is the share of wrong answers that clients report.
	WrongAnswerReportShare float64 `edn:"report-share" validate:"gte=0,lte=1"`
	// VoteLifetimeSeconds is how long a vote counts.
	VoteLifetimeSeconds float64 `edn:"vote-life" validate:"gt=0"`
	// VoteTimeoutSeconds is the number of seconds that the answer to a vote is waited for.
	VoteTimeoutSeconds float64 `edn:"vote-timeout" validate:"gt=0"`
	// VotesPerSecond is what the release service takes from all relays together.
	VotesPerSecond float64 `edn:"votes-a-second" validate:"gt=0"`
}

// RequestClass is one kind of request.
type RequestClass struct {
	Name string `edn:"name" validate:"required"`
	// LatencyObjectiveSeconds is the latency objective in seconds: a later answer earns nothing. It is not above Timeout.
	LatencyObjectiveSeconds float64 `edn:"target" validate:"gt=0"`
	// TimeoutSeconds is the client's time for the request in seconds, its retries included. It is above three of Rules.Round.
	TimeoutSeconds float64 `edn:"timeout" validate:"gt=0"`
	// PriorityWeight is the relative worth of an answer within the objective.
	PriorityWeight float64 `edn:"importance" validate:"gt=0"`
	// Idempotency says whether the request may run again: policy.Idempotent, IdempotentWithKey or NonIdempotent, in this order.
	Idempotency edn.Keyword `edn:"effect" validate:"oneof=redeliverable deduplicated at-most-once"`
	// DedupScope says which endpoints recognise a repeated key. Needed for deduplicated classes.
	DedupScope edn.Keyword `edn:"group" validate:"omitempty,oneof=all zone cell"`
	// DedupWindowSeconds is how long an endpoint recognises a repeated key. Needed for deduplicated classes.
	DedupWindowSeconds float64 `edn:"window" validate:"omitempty,gte=0"`
}

// Route assigns a request class to the requests of a method by a prefix of their path. The longest prefix wins.
type Route struct {
	Method string `edn:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path   string `edn:"path" validate:"required,startswith=/"`
	Class  string `edn:"op-type" validate:"required"`
}

// ParseDocument reads and checks a document that stands by itself, as a control service sends it. Errors call it by the given name.
func ParseDocument(name string, text []byte) (*Document, error) {
	if len(text) > maxFileBytes {
		return nil, tooLarge(name, int64(len(text)))
	}
	d := &Document{}
	positions, err := decode(name, text, d)
	if err != nil {
		return nil, err
	}
	return d, d.validate(source{name, positions})
}

// Policy is the configuration of the decision core.
func (d *Document) Policy() policy.Config { return d.policy }

// ClassOf is the index of the request class of a request, or -1 if no route leads to one.
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

// validate checks what concerns several fields, and fills what is derived from them.
func (d *Document) validate(src source) (err error) {
	if d.policy, err = policyConfig(src, d.Rules, d.Release, d.Classes); err != nil {
		return err
	}
	d.policy.ConnIdleSeconds = d.Endpoints.IdleTimeoutSeconds
	d.classByName = map[string]int{}
	for i, class := range d.Classes {
		d.classByName[class.Name] = i
	}
	return d.buildRoutes(src)
}

// buildRoutes fills routesByMethod. Each route leads to a class, no two have one prefix, and each class has a route.
func (d *Document) buildRoutes(src source) error {
	d.routesByMethod = map[string]*iradix.Tree[int]{}
	hasRoute := map[string]bool{}
	firstWith := map[string]int{} // index into Routes by method and path
	for i, route := range d.Routes {
		key := fmt.Sprintf(":routes %d", i)
		if _, ok := d.classByName[route.Class]; !ok {
			return src.fieldError(key+" :op-type", fmt.Sprintf("no op type is called %q", route.Class))
		}
		hasRoute[route.Class] = true
		methodAndPath := route.Method + " " + route.Path
		if first, twice := firstWith[methodAndPath]; twice {
			return src.fieldError(key+" :path", fmt.Sprintf("the same as :routes %d", first))
		}
		firstWith[methodAndPath] = i
		tree := d.routesByMethod[route.Method]
		if tree == nil {
			tree = iradix.New[int]()
		}
		d.routesByMethod[route.Method], _, _ = tree.Insert([]byte(route.Path), d.classByName[route.Class])
	}
	for i, class := range d.Classes {
		if !hasRoute[class.Name] {
			return src.fieldError(fmt.Sprintf(":op-types %d :name", i), fmt.Sprintf("no route leads to %q", class.Name))
		}
	}
	return nil
}
