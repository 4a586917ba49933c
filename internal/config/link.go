package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"olympos.io/encoding/edn"

	"flintspread/internal/policy"
)

// Link is how an edge and its planner reach each other. Over TCP both show a certificate; the files may be replaced while
// the programs run.
type Link struct {
	Address string  `edn:"address" validate:"required"`          // unix:PATH, or HOST:PORT
	Beat    float64 `edn:"beat" validate:"gt=0"`                 // s between an edge's digests, and its tries to come back; twice that is to stay below the grace of the rules
	Silence float64 `edn:"silence" validate:"gtfield=Beat"`      // s without a message after which the other end is taken for dead
	Lease   float64 `edn:"lease" validate:"gtfield=Beat"`        // s for which an edge may spend what it was lent
	Cert    string  `edn:"cert" validate:"omitempty,filepath"`   // own certificate and those that vouch for it, PEM
	Key     string  `edn:"key" validate:"omitempty,filepath"`    // its key, PEM
	CA      string  `edn:"ca" validate:"omitempty,filepath"`     // who vouches for the other end, PEM
	Peer    string  `edn:"peer" validate:"omitempty,printascii"` // DNS name in the other end's certificate
}

// Unix gives the socket's path where the link is one.
func (l *Link) Unix() (path string, ok bool) { return strings.CutPrefix(l.Address, "unix:") }

// Control is where a control service is, and how it is met.
type Control struct {
	Addresses []string `edn:"addresses" validate:"required,min=1,max=8,dive,hostname_port"` // all are followed
	Silence   float64  `edn:"silence" validate:"gt=0"`                                      // s of an unanswered question whether it lives
	BackLeast float64  `edn:"back-least" validate:"gt=0"`
	BackMost  float64  `edn:"back-most" validate:"gtefield=BackLeast"`
	Patience  float64  `edn:"patience" validate:"gt=0"` // s that a version waits for the list that it belongs with
	MostBytes int      `edn:"most-bytes" validate:"gte=1024"`
	Cert      string   `edn:"cert" validate:"omitempty,filepath"` // as in a link; without all four the stream is plain,
	Key       string   `edn:"key" validate:"omitempty,filepath"`  // which is for a service on the same host
	CA        string   `edn:"ca" validate:"omitempty,filepath"`
	Peer      string   `edn:"peer" validate:"omitempty,printascii"`
}

func (l *Link) check() (key, what string) {
	if _, ok := l.Unix(); ok {
		return "", ""
	}
	if err := fields.Var(l.Address, "hostname_port"); err != nil {
		return ":address", fmt.Sprintf("%q is neither unix:PATH nor HOST:PORT", l.Address)
	}
	for key, v := range map[string]string{":cert": l.Cert, ":key": l.Key, ":ca": l.CA, ":peer": l.Peer} {
		if v == "" {
			return key, "missing; a link over TCP is encrypted and both ends are known"
		}
	}
	return "", ""
}

// Controller is a planner's file.
type Controller struct {
	Relay    string         `edn:"relay" validate:"required,printascii,excludesall= "` // the relay that its edges make up
	Admin    string         `edn:"admin" validate:"required,hostname_port"`
	StateDir string         `edn:"state-dir" validate:"required"`
	Seed     uint64         `edn:"seed"` // optional
	Log      Log            `edn:"log"`
	Sources  Sources        `edn:"sources"`
	Control  *Control       `edn:"control"` // optional: where the list, and versions of the document for its edges, come from
	Link     Link           `edn:"link"`
	Health   *Health        `edn:"health"` // optional: query servers beside what edges count
	Rules    Rules          `edn:"rules"`
	Release  Release        `edn:"release"`
	OpTypes  []RequestClass `edn:"op-types" validate:"required,min=1,max=256,dive"`
	terms    policy.Config
}

// Policy gives the module's part of the file.
func (p *Controller) Policy() policy.Config { return p.terms }

// Document gives the planner's part of the settings in the form of a version.
func (p *Controller) Document() *Document {
	return &Document{Schema: DocumentSchema, Rules: p.Rules, Release: p.Release, Classes: p.OpTypes, terms: p.terms}
}

// ReadController reads and checks a planner's file.
func ReadController(file string) (*Controller, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseController(file, text)
}

// ParseController reads and checks a planner's settings from their text.
func ParseController(file string, text []byte) (*Controller, error) {
	p := &Controller{}
	where, err := decode(file, text, p)
	if err != nil {
		return nil, err
	}
	at := place{file, where}
	if key, what := p.Link.check(); key != "" {
		return nil, at.fault(":link "+key, what)
	}
	if err := checkSources(at, &p.Sources, p.Control); err != nil {
		return nil, err
	}
	if p.Health != nil {
		if err := p.Health.check(at); err != nil {
			return nil, err
		}
	}
	p.terms, err = terms(at, p.Rules, p.Release, p.OpTypes)
	return p, err
}

// place makes faults of one file.
type place struct {
	file  string
	where *places
}

func (p place) fault(path, what string) error {
	return &FieldError{p.file, p.where.line1(path), path, what}
}

func readFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > mostBytes {
		return nil, &FieldError{file, 1, "", fmt.Sprintf("%d bytes; %d at most", info.Size(), mostBytes)}
	}
	return os.ReadFile(file)
}

// IsFieldError tells whether an error lies in a settings file.
func IsFieldError(err error) bool {
	var f *FieldError
	return errors.As(err, &f)
}

// terms fills the module's terms and finds what the fields alone do not show.
func terms(at place, r Rules, rel Release, ops []RequestClass) (policy.Config, error) {
	none := policy.Config{}
	if len(rel.Caps) != len(rel.Stages) {
		return none, at.fault(":release :caps", fmt.Sprintf("%d caps for %d stages", len(rel.Caps), len(rel.Stages)))
	}
	for i := 1; i < len(rel.Stages); i++ {
		if rel.Stages[i] < rel.Stages[i-1] {
			return none, at.fault(fmt.Sprintf(":release :stages %d", i), "a stage below the one before it")
		}
	}
	if r.Window < r.Grace {
		return none, at.fault(":rules :window", fmt.Sprintf("below the grace (%g s): a lower cap would bind after the window it is for", r.Grace))
	}
	for i, most := range rel.Caps {
		if most < rel.Stages[i] {
			return none, at.fault(fmt.Sprintf(":release :caps %d", i), fmt.Sprintf("%g of a relay's commands for %g of the fleet: the stage's units could not be used", most, rel.Stages[i]))
		}
		if i > 0 && most < rel.Caps[i-1] {
			return none, at.fault(fmt.Sprintf(":release :caps %d", i), "a cap below that of the stage before it")
		}
	}
	if r.Guarded > len(rel.Stages) {
		return none, at.fault(":rules :guarded-stages", fmt.Sprintf("%d of %d stages", r.Guarded, len(rel.Stages)))
	}
	if r.OneWayKeys && r.KeysKept == 0 {
		return none, at.fault(":rules :keys-kept", "one-way keys need room for some")
	}
	t := policy.Config{
		Routers: r.Relays, RollbackVotes: rel.BackVotes, MinTickSeconds: r.Round, AllowHedging: r.Parallel, AllowCancel: true,
		MaxRetryAfterSeconds: r.MaxPause, RequestsPerConn: 1, MaxAttempts: r.Deliveries, SlowStartInitialShare: r.ColdFrom,
		SlowStartSeconds: r.WarmUp, SlowStartOverloadFactor: r.FallFactor, SlowStartOverloadSeconds: r.FallTime, CanaryWindowSeconds: r.Window, CanaryFreeAttempts: r.Free,
		CanaryLimits: rel.Caps, StageShares: rel.Stages, CanaryLimitPerClass: r.CountPerOp, IdempotentOnlyStages: r.Guarded, OneWayKeys: r.OneWayKeys,
		MaxRememberedKeys: r.KeysKept, ForgetEndpointSeconds: r.UnitsForget, AutomaticStages: rel.ByClock, ReplaceInPlace: rel.Replace,
		WrongAnswerPrice: rel.HarmPrice, StaleBuildPrice: rel.StalePrice, WrongAnswerReportShare: rel.ReportShare, VoteLifetimeSeconds: rel.VoteLife,
		VoteTimeoutSeconds: rel.VoteTimeout, VotesPerSecond: rel.VotesASecond,
	}
	names := map[string]bool{}
	for i, op := range ops {
		key := fmt.Sprintf(":op-types %d", i)
		if names[op.Name] {
			return none, at.fault(key+" :name", fmt.Sprintf("%q stands twice", op.Name))
		}
		names[op.Name] = true
		if op.Timeout <= 3*r.Round {
			return none, at.fault(key+" :timeout", "not above three rounds (:rules :round): no answer could be in time")
		}
		if op.Target > op.Timeout {
			return none, at.fault(key+" :target", "above the timeout")
		}
		if op.Timeout >= r.UnitsForget {
			return none, at.fault(":rules :forget-units", fmt.Sprintf("not above the timeout of %q", op.Name))
		}
		o := policy.RequestClass{LatencyObjectiveSeconds: op.Target, TimeoutSeconds: op.Timeout, PriorityWeight: op.Importance, DedupWindowSeconds: op.Window,
			Idempotency: effects[op.Effect], DedupScope: groups[op.Group]}
		if o.Idempotency == policy.IdempotentWithKey && (op.Window <= 0 || op.Group == "") {
			return none, at.fault(key, "a deduplicated op type needs :group and a :window above 0")
		}
		t.Classes = append(t.Classes, o)
	}
	return t, nil
}

var effects = map[edn.Keyword]policy.Idempotency{
	"redeliverable": policy.Idempotent, "deduplicated": policy.IdempotentWithKey, "at-most-once": policy.NonIdempotent,
}

var groups = map[edn.Keyword]policy.DedupScope{"": policy.DedupAll, "all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell}
