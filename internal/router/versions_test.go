package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/credentials"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc"
	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
	"flintspread/internal/fakes/testca"
)

// hall is an edge under a control service, with one unit, an installer that says nothing new, and a client that asks without
// end and keeps what version answered what.
type hall struct {
	t       *testing.T
	control *fakes.Control
	dir     string
	listen  string
	unit    endpoints.Endpoint
	address string
	tls     string
	creds   credentials.TransportCredentials
	text    string // of the file's document

	mu   sync.Mutex
	seen map[string]int // "path by version": answers
	bad  []string
}

var document = regexp.MustCompile(`(?s):schema.*\}`)

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newHall(t *testing.T) *hall {
	h := &hall{t: t, dir: t.TempDir(), listen: freeAddr(t), seen: map[string]int{}}
	unit := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if d, err := time.ParseDuration(req.Header.Get("X-Take")); err == nil {
			time.Sleep(d)
		}
		io.WriteString(w, "ok")
	}))
	t.Cleanup(unit.Close)
	h.unit = endpoints.Endpoint{ID: 1, Addr: strings.TrimPrefix(unit.URL, "http://"), State: "ready", Build: 1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = fmt.Sprintf("%q", l.Addr().String())
	// The service is named in its certificate, whatever its address.
	o := testca.New(t, "hall")
	ends := time.Now().Add(time.Hour)
	cert, key := o.Issue("control", "control.example.org", ends)
	creds, err := controlrpc.Credentials(&config.Link{Cert: cert, Key: key, CA: o.CAFile(), Peer: "edge.example.org"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	cert, key = o.Issue("edge", "edge.example.org", ends)
	h.tls = fmt.Sprintf(":cert %q :key %q :ca %q :peer \"control.example.org\"", cert, key, o.CAFile())
	h.creds = creds
	h.control = fakes.StartControl(l, creds)
	t.Cleanup(func() { h.control.Stop() })
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	h.text = "{" + document.FindString(string(text))
	return h
}

// doc is the example's document with one more route that only this version has.
func (h *hall) doc(n uint64, changes ...string) string {
	text := strings.Replace(h.text, ":routes [", fmt.Sprintf(":routes [{:method \"GET\" :path \"/only-%d/\" :op-type \"chute-lookup\"}\n", n), 1)
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			h.t.Fatalf("%q is not in the document", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	return text
}

// run runs the edge; the function that it gives stops it.
func (h *hall) run() (stop func()) {
	installer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		for req.Context().Err() == nil {
			io.WriteString(w, "{\"quiet\":true}\n")
			http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}))
	file := fmt.Sprintf(`{:relay "r1" :listen %q :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:installer %q :silence 5.0 :back-least 0.01 :back-most 0.05}
 :control {:addresses [%s] :silence 1.0 :back-least 0.01 :back-most 0.05 :patience 0.4 :most-bytes 1000000 %s}
 %s`, h.listen, freeAddr(h.t), h.dir, installer.URL, h.address, h.tls, h.text[1:])
	set, err := config.ParseRouter("edge.edn", []byte(file))
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var log bytes.Buffer
	go func() { done <- Run(ctx, set, slog.New(slog.NewTextHandler(&log, nil))) }()
	return func() {
		cancel()
		if err := <-done; err != nil {
			h.t.Errorf("%v\n%s", err, log.String())
		}
		installer.CloseClientConnections()
		installer.Close()
	}
}

// ask asks once and checks that a route of one version is never served under another.
func (h *hall) ask(path string, header ...string) string {
	req, _ := http.NewRequest(http.MethodGet, "http://"+h.listen+path, nil)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	v := resp.Header.Get("Flint-Version")
	got := fmt.Sprintf("%d by version %s", resp.StatusCode, v)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[got]++
	var only string
	if _, err := fmt.Sscanf(path, "/only-%s", &only); err == nil && resp.StatusCode != 404 && strings.TrimSuffix(only, "/") != v {
		h.bad = append(h.bad, path+": "+got)
	}
	return got
}

// traffic asks for routes of many versions until ctx ends.
func (h *hall) traffic(ctx context.Context, work *sync.WaitGroup) {
	for w := range 4 {
		work.Go(func() {
			for i := w; ctx.Err() == nil; i++ {
				h.ask(fmt.Sprintf("/only-%d/", i%12+1))
			}
		})
	}
}

func (h *hall) soon(what string, is func() bool) {
	h.t.Helper()
	for range 500 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Errorf("not within 5 s: %s; the service heard\n%s", what, strings.Join(h.control.Log(), "\n"))
}

// after sends a response and waits for what the client says to it.
func (h *hall) after(send func()) {
	h.t.Helper()
	n := len(h.control.Log())
	send()
	h.soon("an answer", func() bool { return len(h.control.Log()) > n })
}

// A control service plays the hard cases while traffic runs; what the edge says to each is compared with the lines kept here.
func TestControlScript(t *testing.T) {
	h := newHall(t)
	c := h.control
	units := func(version uint64) *discovery.DiscoveryResponse {
		return fakes.UnitsResponse("r1", version, []endpoints.Endpoint{h.unit})
	}
	doc := func(n, needs uint64, text string) *discovery.DiscoveryResponse {
		return fakes.DocumentResponse("r1", n, needs, text)
	}
	stop := h.run()
	defer func() { stop() }()
	h.soon("the stream", func() bool { return len(c.Log()) == 2 })
	h.after(func() { c.Set(units(5)) })
	h.after(func() { c.Set(doc(1, 0, h.doc(1))) })
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	h.traffic(ctx, &work)
	serves := func(n int) {
		t.Helper()
		h.soon(fmt.Sprintf("version %d serves", n), func() bool { return h.ask(fmt.Sprintf("/only-%d/", n)) == fmt.Sprintf("200 by version %d", n) })
	}
	serves(1)
	good := doc(2, 0, h.doc(2))
	good.Nonce = "same"
	h.after(func() { c.Send(good) })
	h.after(func() { c.Send(good) })                                                               // the same nonce twice
	h.after(func() { c.Send(doc(2, 0, h.doc(2))) })                                                // resent: the acknowledgement was lost
	h.after(func() { c.Send(doc(2, 0, h.doc(3))) })                                                // the same number, another text
	h.after(func() { c.Send(doc(1, 0, h.doc(1))) })                                                // an old one replayed
	h.after(func() { c.Send(doc(3, 0, h.doc(3, "[0.15 0.5 1.0]", "[0.05 0.5 1.0]"))) })            // breaks the trial cap
	h.after(func() { c.Send(doc(3, 0, h.doc(3, ":grace         1.0", ":grace 9.0"))) })            // unkeepable
	h.after(func() { c.Send(doc(3, 0, h.doc(3, ":group :all", ":group :cell"))) })                 // a group that no unit belongs to
	h.after(func() { c.Send(doc(3, 0, h.doc(3, ":connections 10000", ":connections 1"))) })        // under what is open
	h.after(func() { c.Send(doc(3, 0, strings.Replace(h.doc(3), "]}", "", 1))) })                  // cut off
	h.after(func() { c.Send(doc(3, 0, h.doc(3, ":window        4.0", ":widow 4.0"))) })            // unknown key
	h.after(func() { c.Send(fakes.DocumentResponse("r2", 3, 0, h.doc(3))) })                       // for another relay
	h.after(func() { c.Send(units(4)) })                                                           // an older list
	h.after(func() { r := units(6); r.VersionInfo = "six"; c.Send(r) })                            // a version that is no number
	h.after(func() { c.Send(fakes.UnitsResponse("r1", 6, []endpoints.Endpoint{h.unit, h.unit})) }) // a unit twice
	h.after(func() { c.Send(doc(4, 7, h.doc(4))) })                                                // belongs with a list that does not come
	h.after(func() { c.Send(doc(5, 7, h.doc(5))); c.Send(units(7)) })                              // and with one that does
	h.soon("both", func() bool { return strings.Contains(strings.Join(c.Log(), "\n"), `"v5"`) })
	serves(5)
	h.after(func() { c.Set(units(7)) })
	h.after(func() { c.Set(doc(5, 7, h.doc(5))) })
	begun := len(c.Log())
	c.Drop() // the stream drops; nothing changed meanwhile
	h.soon("the stream again", func() bool { return len(c.Log()) >= begun+2 })
	h.after(func() { c.Set(doc(6, 0, h.doc(6))) })
	h.soon("version 6 serves", func() bool { return h.ask("/only-6/") == "200 by version 6" })
	cancel()
	work.Wait()
	c.Stop()
	stop()
	// The service is gone; the edge comes back on the last good version.
	stop = h.run()
	h.soon("the last version serves", func() bool { return h.ask("/only-6/") == "200 by version 6" })
	if h.bad != nil {
		t.Error("served under a mix:", h.bad[0])
	}
	for _, v := range []string{"1", "2", "5"} {
		if h.seen["200 by version "+v] == 0 {
			t.Errorf("no answer under version %s: %v", v, h.seen)
		}
	}
	for _, v := range []string{"3", "4"} {
		if h.seen["200 by version "+v] > 0 {
			t.Errorf("served under version %s, which was turned down", v)
		}
	}
	want, err := os.ReadFile("testdata/control-script.txt")
	got := regexp.MustCompile(`while \d+ are open`).ReplaceAllString(strings.Join(c.Log(), "\n")+"\n", "while some are open")
	if os.Getenv("FLINT_UPDATE") != "" {
		os.MkdirAll("testdata", 0o755)
		err = os.WriteFile("testdata/control-script.txt", []byte(got), 0o644)
		want = []byte(got)
	}
	if err != nil || got != string(want) {
		t.Errorf("%v; the service heard\n%s\nwant\n%s", err, got, want)
	}
	if kept, _ := filepath.Glob(filepath.Join(h.dir, "versions.db")); len(kept) != 1 {
		t.Error("no history")
	}
}

// An op type with a command in hand is not taken away under it; the command is served by the version it came under.
func TestInHand(t *testing.T) {
	h := newHall(t)
	c := h.control
	stop := h.run()
	defer stop()
	h.soon("the stream", func() bool { return len(c.Log()) == 2 })
	h.after(func() { c.Set(fakes.UnitsResponse("r1", 1, []endpoints.Endpoint{h.unit})) })
	h.after(func() { c.Set(fakes.DocumentResponse("r1", 1, 0, h.doc(1))) })
	got := make(chan string)
	go func() { got <- h.ask("/chute/1", "X-Take", "250ms", "Flint-Time", "0.7") }()
	time.Sleep(80 * time.Millisecond)
	without := h.doc(2, "{:name \"chute-lookup\"  :target 0.3", "{:name \"look\"  :target 0.3")
	without = strings.ReplaceAll(without, "\"chute-lookup\"", "\"look\"")
	h.after(func() { c.Send(fakes.DocumentResponse("r1", 2, 0, without)) })
	h.after(func() { c.Send(fakes.DocumentResponse("r1", 3, 0, h.doc(3))) })
	if a := <-got; a != "200 by version 1" {
		t.Error("in hand:", a)
	}
	h.after(func() { c.Send(fakes.DocumentResponse("r1", 4, 0, without)) })
	h.soon("the op type has another name", func() bool { return h.ask("/chute/1") == "200 by version 4" })
	log := strings.Join(c.Log(), "\n")
	if !strings.Contains(log, `"chute-lookup" is left out while 1 of its commands are in hand`) || !strings.Contains(log, `"v4"`) {
		t.Error(log)
	}
}

// A response above the limit breaks the stream before it is held; what is in force stays, and the stream comes back.
func TestTooLarge(t *testing.T) {
	h := newHall(t)
	c := h.control
	stop := h.run()
	defer stop()
	h.soon("the stream", func() bool { return len(c.Log()) == 2 })
	h.after(func() { c.Set(fakes.UnitsResponse("r1", 1, []endpoints.Endpoint{h.unit})) })
	h.after(func() { c.Set(fakes.DocumentResponse("r1", 1, 0, h.doc(1))) })
	var many []endpoints.Endpoint
	for id := range uint32(30000) {
		many = append(many, endpoints.Endpoint{ID: id + 1, Addr: "127.0.0.1:9", State: "ready"})
	}
	for i, r := range []*discovery.DiscoveryResponse{fakes.DocumentResponse("r1", 2, 0, h.doc(2)+strings.Repeat(" ", 1100000)), fakes.UnitsResponse("r1", 2, many)} {
		c.Send(r)
		h.soon("the stream again", func() bool { return strings.Count(strings.Join(c.Log(), "\n"), `Document begins at "v1"`) == i+1 })
	}
	if got := h.ask("/only-1/"); got != "200 by version 1" {
		t.Error(got)
	}
}

// Two services that disagree: a number counts once, with the text that came first; the other is told.
func TestTwoServices(t *testing.T) {
	h := newHall(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a, b := h.control, fakes.StartControl(l, h.creds)
	defer b.Stop()
	h.address += fmt.Sprintf(" %q", l.Addr().String())
	stop := h.run()
	defer stop()
	h.soon("both streams", func() bool { return len(a.Log()) == 2 && len(b.Log()) == 2 })
	last := func(c *fakes.Control, n int) string {
		h.soon("an answer", func() bool { return len(c.Log()) >= n })
		lines := c.Log()
		return lines[len(lines)-1]
	}
	other := h.unit
	other.Build = 9
	for i, x := range []struct {
		c    *fakes.Control
		r    *discovery.DiscoveryResponse
		want string
	}{
		{a, fakes.UnitsResponse("r1", 5, []endpoints.Endpoint{h.unit}), "ACK"},
		{b, fakes.UnitsResponse("r1", 5, []endpoints.Endpoint{h.unit}), "ACK"},
		{b, fakes.UnitsResponse("r1", 5, []endpoints.Endpoint{other}), "list version 5 is in force with other units: 1 differ"},
		{a, fakes.DocumentResponse("r1", 1, 0, h.doc(1)), "ACK"},
		{b, fakes.DocumentResponse("r1", 1, 0, h.doc(2)), "version 1 is in force with another text"},
		{b, fakes.DocumentResponse("r1", 2, 0, h.doc(2)), "ACK"},
		{a, fakes.DocumentResponse("r1", 1, 0, h.doc(1)), "version 1 is older than 2"},
	} {
		n := len(x.c.Log())
		x.c.Send(x.r)
		if got := last(x.c, n+1); !strings.Contains(got, x.want) {
			t.Errorf("%d: %s, want %s", i, got, x.want)
		}
	}
	if got := h.ask("/only-2/"); got != "200 by version 2" {
		t.Error(got)
	}
}
