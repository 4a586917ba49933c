package loadgen

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// RequestClass is one class of requests. Its JSON is part of the inputs that runs keep.
type RequestClass struct {
	Name                    string  `json:"Name"`
	Method                  string  `json:"Method"`
	Path                    string  `json:"Path"`  // a key is put behind it
	Share                   float64 `json:"Share"` // of all requests
	LatencyObjectiveSeconds float64 `json:"Target"`
	TimeoutSeconds          float64 `json:"Timeout"`
	BodyBytes               int     `json:"Body"`
}

// Plan is what a run offers, and how. Its JSON is part of the inputs that runs keep.
type Plan struct {
	// Address is HOST:PORT.
	Address string         `json:"Address"`
	Shape   Shape          `json:"Shape"`
	Classes []RequestClass `json:"Ops"`
	// KeyCount is the number of different keys.
	KeyCount uint64 `json:"Keys"`
	// ZipfExponent, above 1, is how unevenly keys are drawn; 0: evenly.
	ZipfExponent float64 `json:"Zipf"`
	// MaxConns bounds the connections. Requests wait for one.
	MaxConns int `json:"Conns"`
	// ClientAddresses is the number of different loopback addresses that connections come from; 0: one.
	ClientAddresses int `json:"Clients"`
	// MaxRetries bounds the retries of a request that was rejected.
	MaxRetries int `json:"Retries"`
	// IgnoreRetryAfter retries at once.
	IgnoreRetryAfter bool   `json:"AtOnce"`
	Seed             uint64 `json:"Seed"`
	// MaxLagSeconds is the generator's own lag, at the 99th percentile, above which a run is invalid; 0: it never is.
	MaxLagSeconds float64 `json:"Lag"`
}

// check reports what is wrong with a plan.
func (p *Plan) check() error {
	if err := p.Shape.Check(); err != nil {
		return err
	}
	if len(p.Classes) == 0 || p.MaxConns <= 0 {
		return errors.New("no op types, or no connections")
	}
	return nil
}

// request is one request, or a retry of it.
type request struct {
	at      float64 // when this try is meant to be sent
	first   float64 // when the request was meant to be sent
	class   int
	key     uint64
	client  uint64 // 0: any
	retries int    // before this try
}

// requestSource draws what arrivals leave open.
type requestSource struct {
	plan        *Plan
	rand        *rand.Rand
	zipf        *rand.Zipf // nil: keys are drawn evenly
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

// request makes the request of an arrival.
func (s *requestSource) request(a Arrival) (*request, error) {
	r := &request{at: a.At, first: a.At, key: a.Key, client: a.Client}
	if a.Class == "" {
		r.class = s.drawClass()
	} else {
		class, ok := s.classByName[a.Class]
		if !ok {
			return nil, fmt.Errorf("the trace names op type %q, which the plan does not", a.Class)
		}
		r.class = class
	}
	if r.key == 0 {
		r.key = s.drawKey()
	}
	if r.client == 0 && s.plan.ClientAddresses > 0 {
		r.client = s.rand.Uint64N(uint64(s.plan.ClientAddresses)) + 1
	}
	return r, nil
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
