package loadgen

import (
	"fmt"
	"math/rand/v2"
)

// RequestClass is a class of requests. Its JSON is stored in the inputs of a run.
type RequestClass struct {
	Name                    string  `json:"Name"`
	Method                  string  `json:"Method"`
	Path                    string  `json:"Path"`  // the request's key is appended
	Share                   float64 `json:"Share"` // share of all requests
	LatencyObjectiveSeconds float64 `json:"Target"`
	TimeoutSeconds          float64 `json:"Timeout"`
	BodyBytes               int     `json:"Body"`
}

// Plan describes the load of a run. Its JSON is stored in the inputs of a run.
type Plan struct {
	// Address is the HOST:PORT that requests are sent to.
	Address string         `json:"Address"`
	Shape   Shape          `json:"Shape"`
	Classes []RequestClass `json:"Ops"`
	// KeyCount is the number of distinct keys.
	KeyCount uint64 `json:"Keys"`
	// ZipfExponent, above 1, is the exponent of the Zipf distribution of keys. With 0, keys are drawn uniformly.
	ZipfExponent float64 `json:"Zipf"`
	// MaxConns is the maximum number of connections. If all are in use, requests wait.
	MaxConns int `json:"Conns"`
	// ClientAddresses is the number of distinct loopback addresses that connections come from; 0 means one.
	ClientAddresses int `json:"Clients"`
	// MaxRetries is the maximum number of retries of a rejected request.
	MaxRetries int `json:"Retries"`
	// IgnoreRetryAfter makes clients retry without waiting for the retry-after time.
	IgnoreRetryAfter bool   `json:"AtOnce"`
	Seed             uint64 `json:"Seed"`
	// MaxLagSeconds is the limit on the generator's own p99 lag. A run above it is invalid; 0 means no limit.
	MaxLagSeconds float64 `json:"Lag"`
}

// check returns an error if the plan is invalid.
func (p *Plan) check() error {
	if err := p.Shape.Check(); err != nil {
		return err
	}
	if len(p.Classes) == 0 || p.MaxConns <= 0 {
		return fmt.Errorf("the plan has %d request classes and at most %d connections; both must be at least 1", len(p.Classes), p.MaxConns)
	}
	return nil
}

// request is one attempt of a request: the first one or a retry.
type request struct {
	dueAt      float64 // when this attempt is due
	firstDueAt float64 // when the first attempt was due
	class      int
	key        uint64
	client     uint64 // number of the client; 0: any
	retries    int    // number of retries including this one; 0 for the first attempt
}

// requestSource turns arrivals into requests. It draws at random what an arrival does not specify.
type requestSource struct {
	plan        *Plan
	rand        *rand.Rand
	zipf        *rand.Zipf // nil: keys are drawn uniformly
	classByName map[string]int
}

func newRequestSource(p *Plan) *requestSource {
	s := &requestSource{plan: p, rand: rand.New(rand.NewPCG(p.Seed, 12)), classByName: map[string]int{}}
	if p.ZipfExponent > 1 {
		s.zipf = rand.NewZipf(s.rand, p.ZipfExponent, 1, max(1, p.KeyCount)-1)
	}
	for i, class := range p.Classes {
		s.classByName[class.Name] = i
	}
	return s
}

// request returns the request for an arrival.
func (s *requestSource) request(a Arrival) (*request, error) {
	req := &request{dueAt: a.At, firstDueAt: a.At, key: a.Key, client: a.Client}
	if a.Class == "" {
		req.class = s.drawClass()
	} else {
		class, ok := s.classByName[a.Class]
		if !ok {
			return nil, fmt.Errorf("the trace has request class %q, which is not in the plan", a.Class)
		}
		req.class = class
	}
	if req.key == 0 {
		req.key = s.drawKey()
	}
	if req.client == 0 && s.plan.ClientAddresses > 0 {
		req.client = s.rand.Uint64N(uint64(s.plan.ClientAddresses)) + 1
	}
	return req, nil
}

func (s *requestSource) drawClass() int {
	classes := s.plan.Classes
	index := 0
	for x := s.rand.Float64(); index < len(classes)-1 && x >= classes[index].Share; index++ {
		x -= classes[index].Share
	}
	return index
}

func (s *requestSource) drawKey() uint64 {
	if s.zipf != nil {
		return s.zipf.Uint64() + 1
	}
	return s.rand.Uint64N(max(1, s.plan.KeyCount)) + 1
}
