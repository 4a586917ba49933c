package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flintspread/audit"
	"flintspread/catalog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a relay on a site until the test ends it.
func (s *site) start(discovery, desk string) (n *Node, address string, end func() error) {
	l := listen(s.t)
	told, err := Parse([]byte(s.config(l.Addr().String(), discovery, desk)))
	if err != nil {
		s.t.Fatal(err)
	}
	n = New(told, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, l) }()
	return n, l.Addr().String(), func() error { stop(); return <-done }
}

// A short day: units that fail in every way, a release that goes its stages by votes of which some answers are spoilt, a unit that
// drains, addresses that change under load. The rules are checked from what was seen on the sockets.
func TestDay(t *testing.T) {
	s := newSite(t)
	for i := 1; i <= 4; i++ {
		s.unit(i, 1, 0.05)
	}
	s.unit(5, trial, 0)
	s.unit(6, trial, 0)
	var mu sync.Mutex
	spoilt := 3
	first := s.discovery(func() bool {
		mu.Lock()
		defer mu.Unlock()
		spoilt--
		return spoilt >= 0
	})
	desk := s.desk()
	n, address, end := s.start(first.Listener.Addr().String(), desk.Addr().String())
	life := &audit.Life{Relay: relayName, From: s.clock()}
	s.rec.Enter(func(r *audit.Record) { r.Lives = append(r.Lives, life) })
	until := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() { s.client(i+1, address, until) })
	}
	soon(t, "the first vote", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.votes) > 0 })
	// New addresses, twice at once; the old ones are gone a little later.
	other, otherDesk := s.discovery(nil), s.desk()
	told := *n.told
	told.Discovery, told.Platform = other.Listener.Addr().String(), otherDesk.Addr().String()
	n.Move(&told)
	n.Move(&told)
	time.Sleep(300 * time.Millisecond)
	first.CloseClientConnections()
	desk.Close()
	s.list("u1", "127.0.0.1:1", 1, "DRAINING")
	soon(t, "the release", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.phase == "released" })
	time.Sleep(200 * time.Millisecond)
	s.list("u1", "127.0.0.1:1", 1, "DELETED")
	close(until)
	clients.Wait()
	if err := end(); err != nil {
		t.Error(err)
	}
	s.rec.Enter(func(r *audit.Record) { life.To = s.clock() })
	rep := audit.Check(s.rec, audit.Bounds{Slack: 0.25, Grace: 0.3, ColdFrom: 0.3, WarmUp: 1, FallFactor: 4, FallTime: 1, Window: 1, Free: 2, Caps: caps})
	for _, r := range rep.Rules {
		if r.Broken > 0 {
			t.Errorf("%s: %d of %d broken: %v", r.Name, r.Broken, r.Checked, r.First)
		}
	}
	if rep.Answers["acked"] < rep.Asked*8/10 || rep.PerBuild[trial] == 0 {
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

// A malformed file is refused with file and key; at a reload nothing of it is taken.
func TestConfig(t *testing.T) {
	s := newSite(t)
	good := s.config("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for what, edit := range map[string][2]string{
		"listen: \"\" is no HOST:PORT":                 {`"listen":"127.0.0.1:1"`, `"listen":""`},
		"discovery: \"x\" is no HOST:PORT":             {`"discovery":"127.0.0.1:2"`, `"discovery":"x"`},
		"platform.address: \"\" is no HOST:PORT":       {`"address":"127.0.0.1:3"`, `"addr":"127.0.0.1:3"`},
		"seed: \"x\" is no number of 16 hex digits":    {`"seed":"8c1f30d27a5be964"`, `"seed":"x"`},
		"name: missing":                                {`"name":"n1"`, `"nom":"n1"`},
		"limits.memory_mb: 1, 16 at least":             {`"memory_mb":64`, `"memory_mb":1`},
		"limits.sockets: 0, 64 at least":               {`"sockets":256`, `"socks":256`},
		"limits.cores: 0":                              {`"cores":1.0`, `"cores":0`},
		"setting rules.fall is missing":                {`"fall":1000.0`, `"fell":1000.0`},
		"setting family_info.window is no number":      {`"window":1000.0`, `"window":"four"`},
		"setting classes.0.name is missing":            {`"name":"lookup"`, `"nom":"lookup"`},
		"platform.news: unknown phase \"on\"":          {`"phase":"trial"`, `"phase":"on"`},
		"known: host \"u1\" (entry 0): unknown health": {`"known":{"hosts":null`, `"known":{"hosts":[{"host":"u1","health":"x"}]`},
		"unexpected end of JSON input":                 {good, good[:len(good)/2]},
	} {
		text := strings.Replace(good, edit[0], edit[1], 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if _, err := Read(file); err == nil || !strings.Contains(err.Error(), file) {
		t.Error(err)
	}
	os.WriteFile(file, []byte("{}"), 0o600)
	if _, err := Read(file); err == nil || !strings.HasPrefix(err.Error(), file+": listen") {
		t.Error(err)
	}
	t.Setenv("LB_CONFIG", file)
	if err := Main(); err == nil || !strings.Contains(err.Error(), file) {
		t.Error(err)
	}
}

// Changes that were overtaken, and objects that can't be meant, leave the list as it is; names are forgotten in time.
func TestObjects(t *testing.T) {
	s := newSite(t)
	n, _, end := s.start("127.0.0.1:1", "127.0.0.1:1")
	defer end()
	entry := func(host, health string, build int) catalog.Entry {
		return catalog.Entry{Host: host, Dial: "127.0.0.1:1", Health: health, Image: float64(build)}
	}
	enter := func(o *catalog.Object) {
		if err := n.object(o); err != nil {
			t.Error(err)
		}
	}
	enter(&catalog.Object{Seq: 5, Whole: true, Hosts: []catalog.Entry{entry("a", "SERVING", 1), entry("b", "SERVING", 1)}})
	enter(&catalog.Object{Seq: 7, Hosts: []catalog.Entry{entry("b", "DELETED", 1), entry("c", "DRAINING", 2)}})
	enter(&catalog.Object{Seq: 6, Hosts: []catalog.Entry{entry("b", "SERVING", 1)}}) // by the way that is left
	if got := fmt.Sprint(n.list.Len(), n.list.Version); got != "2 7" {
		t.Error(got)
	}
	for i := range 500 { // units ever new
		enter(&catalog.Object{Seq: uint64(8 + i), Whole: true, Hosts: []catalog.Entry{entry(fmt.Sprint("x", i), "SERVING", i)}})
	}
	if n.list.Len() != 1 || n.names.Host("x499") == 0 {
		t.Error(n.list.Len())
	}
	late := n.relay.Now() + 1000
	n.names.Line(&catalog.Object{Whole: true}, late)
	n.names.Line(&catalog.Object{Whole: true}, late+1000)
	if n.names.Len() != 0 {
		t.Errorf("%d names kept", n.names.Len())
	}
	for _, bad := range []catalog.Entry{{}, entry("a", "ILL", 1), entry("a", "SERVING", -1), {Host: "a", Health: "SERVING", Dial: "x"},
		{Host: "a", Health: "DELETED", Block: 1e9}, {Host: "a", Health: "DELETED", Share: -1}} {
		if err := (&catalog.Object{Hosts: []catalog.Entry{bad}}).Check(); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}

// The program's own limits leave room for all that it opens.
func TestDescriptors(t *testing.T) {
	for _, sockets := range []int{64, 256, 1024} {
		clients, units := int(forClients*float64(sockets)), int(forUnits*float64(sockets))
		if left := sockets - clients - units; left < 9 || clients < sockets/3 {
			t.Errorf("%d of %d left", left, sockets)
		}
	}
}
