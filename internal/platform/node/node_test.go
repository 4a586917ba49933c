package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flintspread/internal/fakes"
	"flintspread/internal/invariants"
	"flintspread/internal/loadshed"
	"flintspread/internal/platform/discovery"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// site is a stand-in's, with a relay that runs on it until the test ends it.
type site struct {
	*fakes.PlatformSite
	t     *testing.T
	n     *Node
	at    string
	until chan struct{}
	asked sync.WaitGroup
	life  *invariants.Life
	end   func()
}

func must[T any](t *testing.T) func(v T, err error) T {
	return func(v T, err error) T {
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// start makes a site of units, builds and their share of bad deliveries by number, with a relay and so many clients.
func start(t *testing.T, discovery, desk string, clients int, site *site) *site {
	return startWith(t, discovery, desk, clients, site, func(*Node) {})
}

// startWith edits the relay before it runs.
func startWith(t *testing.T, discovery, desk string, clients int, site *site, edit func(*Node)) *site {
	l := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	site.t, site.at, site.until = t, l.Addr().String(), make(chan struct{})
	told := must[*Config](t)(ParseConfig([]byte(site.Config(site.at, discovery, desk))))
	site.n = New(told, slog.New(slog.NewTextHandler(io.Discard, nil)))
	edit(site.n)
	site.life = &invariants.Life{Relay: site.Relay, From: site.Clock()}
	site.Rec.Enter(func(r *invariants.Record) { r.Lives = append(r.Lives, site.life) })
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- site.n.Run(ctx, l) }()
	for i := range clients {
		site.asked.Go(func() { site.Client(i+1, site.at, site.until) })
	}
	site.end = func() {
		site.life.Stopping = site.Clock()
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	return site
}

// kept checks so many of the rules, once nobody asks any more.
func (s *site) kept(rules int) *invariants.Report {
	s.asked.Wait()
	s.life.To = s.Clock()
	rep := invariants.Check(s.Rec, fakes.PlatformSiteBounds)
	for _, r := range rep.Rules[:rules] {
		if r.Broken > 0 {
			s.t.Errorf("%s: %d of %d broken: %v", r.Name, r.Broken, r.Checked, r.First)
		}
	}
	return rep
}

// newSite lists units by build; a share of what those of earlier builds get ends badly.
func newSite(t *testing.T, bad float64, builds ...int) *site {
	s := &site{PlatformSite: fakes.NewPlatformSite("n1")}
	t.Cleanup(s.Close)
	for i, build := range builds {
		share := bad
		if build == fakes.PlatformSiteCanary {
			share = 0
		}
		if err := s.Unit(i+1, build, share); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// serves starts discovery and a desk.
func (s *site) serves(t *testing.T, spoil func() bool) (discovery, desk string, end func()) {
	discovery, endList, err := s.Discovery(spoil)
	desk, endDesk, other := s.Desk()
	if err = errors.Join(err, other); err != nil {
		t.Fatal(err)
	}
	return discovery, desk, func() { endList(); endDesk() }
}

// A short day: units that fail in every way, a release that goes its stages by votes of which some answers are spoilt, a unit that
// drains, addresses that change under load. The rules are checked from what was seen on the sockets.
func TestDay(t *testing.T) {
	s := newSite(t, 0.05, 1, 1, 1, 1, fakes.PlatformSiteCanary, fakes.PlatformSiteCanary)
	var spoilt atomic.Int32
	discovery, desk, endOld := s.serves(t, func() bool { return spoilt.Add(1) <= 3 })
	start(t, discovery, desk, 12, s)
	soon(t, "the first vote", func() bool { return s.Votes() > 0 })
	// New addresses, twice at once; the old ones are gone a little later.
	told := *s.n.told
	told.Discovery, told.Platform, _ = s.serves(t, nil)
	s.n.Reload(&told)
	s.n.Reload(&told)
	time.Sleep(300 * time.Millisecond)
	endOld()
	s.List("u1", "127.0.0.1:1", 1, "DRAINING")
	soon(t, "the release", s.Released)
	time.Sleep(200 * time.Millisecond)
	s.List("u1", "127.0.0.1:1", 1, "DELETED")
	close(s.until)
	s.asked.Wait()
	s.end()
	rep := s.kept(5)
	if rep.Answers["acked"] < rep.Asked*8/10 || rep.PerBuild[fakes.PlatformSiteCanary] == 0 {
		t.Errorf("%d asked, %v, %v", rep.Asked, rep.Answers, rep.PerBuild)
	}
}

func soon(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 3000 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not within 30 s:", what)
}

// From the signal on clients are served on the connections that they have for as long as there is time to answer them; whatever was
// taken is answered, silent units or not, and the end comes before the kill.
func TestLeaves(t *testing.T) {
	s := newSite(t, 0.2, 1, 1, 1)
	discovery, desk, _ := s.serves(t, nil)
	start(t, discovery, desk, 6, s)
	soon(t, "traffic", func() bool { return s.n.relay.Stats().Succeeded > 50 })
	s.n.plan = loadshed.PlanShutdown(2) // as where clients wait longer than here
	from := s.Clock()
	s.end()
	if took := s.Clock() - from; took < s.n.plan.ServeUntil || took > s.n.plan.KillAfter {
		t.Errorf("%.2f s until the end, planned %+v", took, s.n.plan)
	}
	s.kept(2)
	late := 0
	for _, c := range s.Rec.Commands {
		if c.Asked > from+s.n.plan.AcceptUntil && len(c.Answers) == 1 && c.Answers[0].Kind == "acked" {
			late++
		}
	}
	if late == 0 {
		t.Error("nobody was served once the listener was closed")
	}
}

// A malformed file is refused with file and key; at a reload nothing of it is taken.
func TestConfig(t *testing.T) {
	s := newSite(t, 0)
	good := s.Config("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	if _, err := ParseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for what, edit := range map[string][2]string{
		"listen: \"\" is no HOST:PORT":                 {`"listen":"127.0.0.1:1"`, `"listen":""`},
		"discovery: \"x\" is no HOST:PORT":             {`"discovery":"127.0.0.1:2"`, `"discovery":"x"`},
		"platform.address: \"\" is no HOST:PORT":       {`"address":"127.0.0.1:3"`, `"addr":"127.0.0.1:3"`},
		"seed: \"x\" is no number of 16 hex digits":    {`"seed":"8c1f30d27a5be964"`, `"seed":"x"`},
		"name: must not be empty":                      {`"name":"n1"`, `"nom":"n1"`},
		"limits.memory_mb: 1 must be at least 16":      {`"memory_mb":64`, `"memory_mb":1`},
		"limits.sockets: 0 must be at least 64":        {`"sockets":256`, `"socks":256`},
		"limits.cores: 0 must be above 0":              {`"cores":1.0`, `"cores":0`},
		"setting rules.fall is missing":                {`"fall":1000.0`, `"fell":1000.0`},
		"setting family_info.window is no number":      {`"window":1000.0`, `"window":"four"`},
		"setting classes.0.name is missing":            {`"name":"lookup"`, `"nom":"lookup"`},
		"platform.news: unknown phase \"on\"":          {`"phase":"trial"`, `"phase":"on"`},
		"known: host \"u1\" (entry 0): unknown health": {`"known":{"hosts":null`, `"known":{"hosts":[{"host":"u1","health":"x"}]`},
		"unexpected end of JSON input":                 {good, good[:len(good)/2]},
	} {
		text := strings.Replace(good, edit[0], edit[1], 1)
		if _, err := ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if _, err := ReadConfig(file); err == nil || !strings.Contains(err.Error(), file) {
		t.Error(err)
	}
	os.WriteFile(file, []byte("{}"), 0o600)
	if _, err := ReadConfig(file); err == nil || !strings.HasPrefix(err.Error(), file+": ") {
		t.Error(err)
	}
	t.Setenv("LB_CONFIG", file)
	if err := Main(); err == nil || !strings.Contains(err.Error(), file) {
		t.Error(err)
	}
}

// Changes that were overtaken, and objects that can't be meant, leave the list as it is; names are forgotten in time.
func TestObjects(t *testing.T) {
	s := start(t, "127.0.0.1:1", "127.0.0.1:1", 0, newSite(t, 0))
	defer s.end()
	n := s.n
	entry := func(host, health string, build int) discovery.Member {
		return discovery.Member{Host: host, Dial: "127.0.0.1:1", Health: health, Image: float64(build)}
	}
	enter := func(o *discovery.Message) {
		if err := n.object(o); err != nil {
			t.Error(err)
		}
	}
	enter(&discovery.Message{Seq: 5, Whole: true, Hosts: []discovery.Member{entry("a", "SERVING", 1), entry("b", "SERVING", 1)}})
	enter(&discovery.Message{Seq: 7, Hosts: []discovery.Member{entry("b", "DELETED", 1), entry("c", "DRAINING", 2)}})
	enter(&discovery.Message{Seq: 6, Hosts: []discovery.Member{entry("b", "SERVING", 1)}}) // by the way that is left
	if got := fmt.Sprint(n.list.Len(), n.list.Version); got != "2 7" {
		t.Error(got)
	}
	for i := range 500 { // units ever new
		enter(&discovery.Message{Seq: uint64(8 + i), Whole: true, Hosts: []discovery.Member{entry(fmt.Sprint("x", i), "SERVING", i)}})
	}
	if n.list.Len() != 1 || n.names.EndpointID("x499") == 0 {
		t.Error(n.list.Len())
	}
	late := n.relay.Now() + 1000
	n.names.Update(&discovery.Message{Whole: true}, late)
	n.names.Update(&discovery.Message{Whole: true}, late+1000)
	if n.names.Len() != 0 {
		t.Errorf("%d names kept", n.names.Len())
	}
	for _, bad := range []discovery.Member{{}, entry("a", "ILL", 1), entry("a", "SERVING", -1), {Host: "a", Health: "SERVING", Dial: "x"},
		{Host: "a", Health: "DELETED", Block: 1e9}, {Host: "a", Health: "DELETED", Share: -1}} {
		if err := (&discovery.Message{Hosts: []discovery.Member{bad}}).Check(); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}
