package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"flintspread/internal/fakes"
	"flintspread/internal/platform/discovery"
	"flintspread/internal/platform/resp"
)

// mute is an address that takes connections and never says anything.
func mute(t *testing.T) (at string, taken func() int) {
	var n atomic.Int32
	l, err := fakes.Serve(func(c net.Conn) {
		n.Add(1)
		io.Copy(io.Discard, c)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() int { return int(n.Load()) }
}

// ask is a client that sends words and reads a line.
type asker struct {
	net.Conn
	br *bufio.Reader
}

func (s *site) dial() *asker {
	c := must[net.Conn](s.t)(net.Dial("tcp", s.at))
	s.t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	return &asker{c, bufio.NewReader(c)}
}

func (a *asker) send(list ...string) {
	buf := resp.Array(nil, len(list))
	for _, w := range list {
		buf = resp.Bulk(buf, w)
	}
	a.Write(buf)
}

func (a *asker) line() string {
	text, err := a.br.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(text)
}

// A relay says that it is ready once it knows units to decide about: at once when discovery's list comes, and after a short time where
// discovery says nothing, with an old list, an empty one or none.
func TestReady(t *testing.T) {
	silent, asked := mute(t)
	for _, builds := range [][]int{{1}, nil} {
		s := start(t, silent, silent, 0, newSite(t, 0, builds...))
		c := s.dial()
		c.send("PING")
		if got := c.line(); got != "+PONG" {
			t.Errorf("%d units known, discovery silent: %q", len(builds), got)
		}
		s.end()
	}
	if asked() == 0 {
		t.Error("discovery was not asked")
	}
	// Here the list comes only once the PING waits; the time-out is off, so that nothing else can answer.
	gate := make(chan struct{})
	site := newSite(t, 0)
	srv := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	real, _, _ := site.serves(t, nil)
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case <-gate:
		case <-req.Context().Done():
			return
		}
		from, err := http.Get("http://" + real + req.URL.String())
		if err != nil {
			return
		}
		defer from.Body.Close()
		var buf [4096]byte
		n, _ := from.Body.Read(buf[:])
		w.Write(buf[:n])
	})}
	go web.Serve(srv)
	defer web.Close()
	s := startWith(t, srv.Addr().String(), silent, 0, site, func(n *Node) { n.unheard = 1000 })
	defer s.end()
	c := s.dial()
	c.send("PING")
	soon(t, "it is asked", func() bool { return s.n.relay.Stats().ClientConns == 1 })
	if err := s.Unit(1, 1, 0); err != nil {
		t.Fatal(err)
	}
	close(gate)
	if got := c.line(); got != "+PONG" || s.n.units() != 1 {
		t.Errorf("%q with %d units", got, s.n.units())
	}
}

// A list that is behind is refused: it would bring back units that left. What began its numbers anew is taken in the end.
func TestListBehind(t *testing.T) {
	s := start(t, "127.0.0.1:1", "127.0.0.1:1", 0, newSite(t, 0))
	defer s.end()
	entry := func(host, health string) discovery.Member {
		return discovery.Member{Host: host, Dial: "127.0.0.1:1", Health: health, Image: 1}
	}
	enter := func(o *discovery.Message) error { return s.n.object(o) }
	if err := enter(&discovery.Message{Seq: 9, Whole: true, Hosts: []discovery.Member{entry("a", "DRAINING"), entry("b", "SERVING")}}); err != nil {
		t.Error(err)
	}
	old := &discovery.Message{Seq: 8, Whole: true, Hosts: []discovery.Member{entry("a", "SERVING"), entry("c", "SERVING")}}
	if err := enter(old); err == nil || !strings.Contains(err.Error(), "older") || s.n.units() != 2 || s.n.names.EndpointID("c") != 0 {
		t.Errorf("%v, %d units", err, s.n.units())
	}
	var r discovery.Renewal
	for _, c := range []struct {
		version, have uint64
		at            float64
		want          bool
	}{{9, 9, 1, true}, {3, 9, 2, false}, {4, 9, 11, false}, {9, 9, 11.5, true}, {1, 9, 12, false}, {2, 9, 21.9, false}, {2, 9, 22, true}} {
		if got := r.Takes(c.version, c.have, c.at, 10); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Addresses that are silent, then others: the last ones count, also when they come while the relay stops, and after it none do.
func TestMoves(t *testing.T) {
	silent, asked := mute(t)
	s := newSite(t, 0, 1)
	discovery, desk, endOld := s.serves(t, nil)
	start(t, discovery, desk, 0, s)
	soon(t, "the list", func() bool { return s.n.units() == 1 })
	told := *s.n.told
	told.Discovery, told.Platform = silent, silent
	s.n.Reload(&told)
	soon(t, "the silent one is asked", func() bool { return asked() >= 2 })
	endOld()
	told.Discovery, told.Platform, _ = s.serves(t, nil)
	s.n.Reload(&told)
	if err := s.Unit(2, 1, 0); err != nil {
		t.Fatal(err)
	}
	soon(t, "the list of the third", func() bool { return s.n.units() == 2 })
	s.end()
	before, feed := asked(), s.n.feed
	told.Discovery, told.Platform = silent, silent
	s.n.Reload(&told)
	s.n.running.Wait()
	if asked() != before || s.n.feed != feed {
		t.Error("something is followed after the end")
	}
}

// A signal to stop that comes before the relay serves, and a reload in the midst of the stop: who connects is answered.
func TestStopBeforeStart(t *testing.T) {
	s := newSite(t, 0, 1)
	discovery, desk, _ := s.serves(t, nil)
	l := must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	s.t, s.at = t, l.Addr().String()
	told := must[*Config](t)(ParseConfig([]byte(s.Config(s.at, discovery, desk))))
	s.n = New(told, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c := s.dial() // the kernel has it, the program has not
	c.send("API.READ", "k", fmt.Sprintf("%016x", 1), "c=lookup,d=500")
	ctx, stop := context.WithCancel(context.Background())
	stop()
	done := make(chan error, 1)
	go func() { done <- s.n.Run(ctx, l) }()
	if got := c.line(); got != "$17" {
		t.Errorf("%q", got)
	}
	other, _, _ := s.serves(t, nil)
	told.Discovery = other
	s.n.Reload(told)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
