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

// fixture is a router with a control service, one endpoint, a release service without updates, and clients that record
// which configuration version answered which path.
type fixture struct {
	t                *testing.T
	control          *fakes.ControlService
	stateDir         string
	listenAddr       string
	endpoint         endpoints.Endpoint
	controlAddresses string
	tlsSettings      string
	controlCreds     credentials.TransportCredentials
	document         string // the example file's

	mu      sync.Mutex
	answers map[string]int // by "STATUS by version NUMBER"
	mixed   []string       // answers to one version's routes by another version
}

var documentPattern = regexp.MustCompile(`(?s):schema.*\}`)

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, stateDir: t.TempDir(), listenAddr: freeAddr(t), answers: map[string]int{}}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if d, err := time.ParseDuration(req.Header.Get("X-Take")); err == nil {
			time.Sleep(d)
		}
		if _, err := io.WriteString(w, "ok"); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(upstream.Close)
	f.endpoint = endpoints.Endpoint{ID: 1, Addr: strings.TrimPrefix(upstream.URL, "http://"), State: "ready", Build: 1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.controlAddresses = fmt.Sprintf("%q", l.Addr().String())
	// The service is verified by the name in its certificate, whatever its address.
	o := testca.New(t, "hall")
	ends := time.Now().Add(time.Hour)
	cert, key := o.Issue("control", "control.example.org", ends)
	creds, err := controlrpc.Credentials(&config.Link{Cert: cert, Key: key, CA: o.CAFile(), Peer: "edge.example.org"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	cert, key = o.Issue("edge", "edge.example.org", ends)
	f.tlsSettings = fmt.Sprintf(":cert %q :key %q :ca %q :peer \"control.example.org\"", cert, key, o.CAFile())
	f.controlCreds = creds
	f.control = fakes.StartControlService(l, creds)
	t.Cleanup(func() { f.control.Stop() })
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	f.document = "{" + documentPattern.FindString(string(text))
	return f
}

// documentText returns the example's document with an additional route that only this version has.
func (f *fixture) documentText(n uint64, changes ...string) string {
	text := strings.Replace(f.document, ":routes [", fmt.Sprintf(":routes [{:method \"GET\" :path \"/only-%d/\" :op-type \"chute-lookup\"}\n", n), 1)
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			f.t.Fatalf("%q is not in the document", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	return text
}

// start runs the router. The returned function stops it and checks how it ended.
func (f *fixture) start() (stop func()) {
	installer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		for req.Context().Err() == nil {
			if _, err := io.WriteString(w, "{\"quiet\":true}\n"); err != nil {
				return // the router has stopped
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}))
	file := fmt.Sprintf(`{:relay "r1" :listen %q :admin %q :state-dir %q :log {:format :text :level :info}
 :sources {:installer %q :silence 5.0 :back-least 0.01 :back-most 0.05}
 :control {:addresses [%s] :silence 1.0 :back-least 0.01 :back-most 0.05 :patience 0.4 :most-bytes 1000000 %s}
 %s`, f.listenAddr, freeAddr(f.t), f.stateDir, installer.URL, f.controlAddresses, f.tlsSettings, f.document[1:])
	settings, err := config.ParseRouter("edge.edn", []byte(file))
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var log bytes.Buffer
	go func() { done <- Run(ctx, settings, slog.New(slog.NewTextHandler(&log, nil))) }()
	return func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("%v\n%s", err, log.String())
		}
		installer.CloseClientConnections()
		installer.Close()
	}
}

// get sends a request, and records a route of one version that is served by another.
func (f *fixture) get(path string, header ...string) string {
	req, _ := http.NewRequest(http.MethodGet, "http://"+f.listenAddr+path, nil)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	v := resp.Header.Get("Flint-Version")
	got := fmt.Sprintf("%d by version %s", resp.StatusCode, v)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		got += ": " + err.Error()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[got]++
	var only string
	if _, err := fmt.Sscanf(path, "/only-%s", &only); err == nil && resp.StatusCode != 404 && strings.TrimSuffix(only, "/") != v {
		f.mixed = append(f.mixed, path+": "+got)
	}
	return got
}

// traffic requests routes of many versions until ctx ends.
func (f *fixture) traffic(ctx context.Context, work *sync.WaitGroup) {
	for w := range 4 {
		work.Go(func() {
			for i := w; ctx.Err() == nil; i++ {
				f.get(fmt.Sprintf("/only-%d/", i%12+1))
			}
		})
	}
}

func (f *fixture) eventually(what string, is func() bool) {
	f.t.Helper()
	for range 500 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Errorf("not within 5 s: %s; the service received\n%s", what, strings.Join(f.control.Log(), "\n"))
}

// sendAndWait sends a response and waits for the client to acknowledge or reject it.
func (f *fixture) sendAndWait(send func()) {
	f.t.Helper()
	n := len(f.control.Log())
	send()
	f.eventually("an answer", func() bool { return len(f.control.Log()) > n })
}

// A control service sends difficult cases while traffic runs. The router's reply to each is compared with the lines of
// a file.
func TestControlScript(t *testing.T) {
	f := newFixture(t)
	c := f.control
	endpointList := func(version uint64) *discovery.DiscoveryResponse {
		return fakes.EndpointsResponse("r1", version, []endpoints.Endpoint{f.endpoint})
	}
	doc := func(n, needs uint64, text string) *discovery.DiscoveryResponse {
		return fakes.DocumentResponse("r1", n, needs, text)
	}
	stop := f.start()
	defer func() { stop() }()
	f.eventually("the stream", func() bool { return len(c.Log()) == 2 })
	f.sendAndWait(func() { c.Set(endpointList(5)) })
	f.sendAndWait(func() { c.Set(doc(1, 0, f.documentText(1))) })
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	f.traffic(ctx, &work)
	serves := func(n int) {
		t.Helper()
		f.eventually(fmt.Sprintf("version %d serves", n), func() bool { return f.get(fmt.Sprintf("/only-%d/", n)) == fmt.Sprintf("200 by version %d", n) })
	}
	serves(1)
	good := doc(2, 0, f.documentText(2))
	good.Nonce = "same"
	f.sendAndWait(func() { c.Send(good) })
	f.sendAndWait(func() { c.Send(good) })                                                                           // the same nonce twice
	f.sendAndWait(func() { c.Send(doc(2, 0, f.documentText(2))) })                                                   // resent: the acknowledgement was lost
	f.sendAndWait(func() { c.Send(doc(2, 0, f.documentText(3))) })                                                   // the same number, another text
	f.sendAndWait(func() { c.Send(doc(1, 0, f.documentText(1))) })                                                   // an old version replayed
	f.sendAndWait(func() { c.Send(doc(3, 0, f.documentText(3, "[0.15 0.5 1.0]", "[0.05 0.5 1.0]"))) })               // above the canary limit
	f.sendAndWait(func() { c.Send(doc(3, 0, f.documentText(3, ":grace         1.0", ":grace 9.0"))) })               // an unsatisfiable rule
	f.sendAndWait(func() { c.Send(doc(3, 0, f.documentText(3, ":group :all", ":group :cell"))) })                    // a deduplication scope without endpoints
	f.sendAndWait(func() { c.Send(doc(3, 0, f.documentText(3, ":connections 10000", ":connections 1"))) })           // fewer than are open
	f.sendAndWait(func() { c.Send(doc(3, 0, strings.Replace(f.documentText(3), "]}", "", 1))) })                     // truncated
	f.sendAndWait(func() { c.Send(doc(3, 0, f.documentText(3, ":window        4.0", ":widow 4.0"))) })               // unknown key
	f.sendAndWait(func() { c.Send(fakes.DocumentResponse("r2", 3, 0, f.documentText(3))) })                          // for another router
	f.sendAndWait(func() { c.Send(endpointList(4)) })                                                                // an older list
	f.sendAndWait(func() { r := endpointList(6); r.VersionInfo = "six"; c.Send(r) })                                 // a version that is not a number
	f.sendAndWait(func() { c.Send(fakes.EndpointsResponse("r1", 6, []endpoints.Endpoint{f.endpoint, f.endpoint})) }) // an endpoint twice
	f.sendAndWait(func() { c.Send(doc(4, 7, f.documentText(4))) })                                                   // requires an endpoint list that does not arrive
	f.sendAndWait(func() { c.Send(doc(5, 7, f.documentText(5))); c.Send(endpointList(7)) })                          // requires one that does
	f.eventually("both", func() bool { return strings.Contains(strings.Join(c.Log(), "\n"), `"v5"`) })
	serves(5)
	f.sendAndWait(func() { c.Set(endpointList(7)) })
	f.sendAndWait(func() { c.Set(doc(5, 7, f.documentText(5))) })
	begun := len(c.Log())
	c.CloseStreams() // the stream breaks; nothing changed meanwhile
	f.eventually("the stream again", func() bool { return len(c.Log()) >= begun+2 })
	f.sendAndWait(func() { c.Set(doc(6, 0, f.documentText(6))) })
	f.eventually("version 6 serves", func() bool { return f.get("/only-6/") == "200 by version 6" })
	cancel()
	work.Wait()
	c.Stop()
	stop()
	// The service is down; the router starts with the last good version.
	stop = f.start()
	f.eventually("the last version serves", func() bool { return f.get("/only-6/") == "200 by version 6" })
	if f.mixed != nil {
		t.Error("served under a mix:", f.mixed[0])
	}
	for _, v := range []string{"1", "2", "5"} {
		if f.answers["200 by version "+v] == 0 {
			t.Errorf("no answer under version %s: %v", v, f.answers)
		}
	}
	for _, v := range []string{"3", "4"} {
		if f.answers["200 by version "+v] > 0 {
			t.Errorf("served under version %s, which was rejected", v)
		}
	}
	want, err := os.ReadFile("testdata/control-script.txt")
	got := regexp.MustCompile(`while \d+ are open`).ReplaceAllString(strings.Join(c.Log(), "\n")+"\n", "while some are open")
	if os.Getenv("FLINT_UPDATE") != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		err = os.WriteFile("testdata/control-script.txt", []byte(got), 0o644)
		want = []byte(got)
	}
	if err != nil || got != string(want) {
		t.Errorf("%v; the service received\n%s\nwant\n%s", err, got, want)
	}
	if kept, _ := filepath.Glob(filepath.Join(f.stateDir, "versions.db")); len(kept) != 1 {
		t.Error("no history")
	}
}

// A request class with a request in flight is not removed; the request is served by the version that accepted it.
func TestRequestInFlightKeepsItsVersion(t *testing.T) {
	f := newFixture(t)
	c := f.control
	stop := f.start()
	defer stop()
	f.eventually("the stream", func() bool { return len(c.Log()) == 2 })
	f.sendAndWait(func() { c.Set(fakes.EndpointsResponse("r1", 1, []endpoints.Endpoint{f.endpoint})) })
	f.sendAndWait(func() { c.Set(fakes.DocumentResponse("r1", 1, 0, f.documentText(1))) })
	got := make(chan string)
	go func() { got <- f.get("/chute/1", "X-Take", "250ms", "Flint-Time", "0.7") }()
	time.Sleep(80 * time.Millisecond)
	without := f.documentText(2, "{:name \"chute-lookup\"  :target 0.3", "{:name \"look\"  :target 0.3")
	without = strings.ReplaceAll(without, "\"chute-lookup\"", "\"look\"")
	f.sendAndWait(func() { c.Send(fakes.DocumentResponse("r1", 2, 0, without)) })
	f.sendAndWait(func() { c.Send(fakes.DocumentResponse("r1", 3, 0, f.documentText(3))) })
	if a := <-got; a != "200 by version 1" {
		t.Error("in flight:", a)
	}
	f.sendAndWait(func() { c.Send(fakes.DocumentResponse("r1", 4, 0, without)) })
	f.eventually("the request class has another name", func() bool { return f.get("/chute/1") == "200 by version 4" })
	log := strings.Join(c.Log(), "\n")
	if !strings.Contains(log, `"chute-lookup" is left out while 1 of its commands are in hand`) || !strings.Contains(log, `"v4"`) {
		t.Error(log)
	}
}

// A response above the size limit ends the stream before it is in memory. The version in force stays, and the stream is
// re-established.
func TestOversizedResponseBreaksStream(t *testing.T) {
	f := newFixture(t)
	c := f.control
	stop := f.start()
	defer stop()
	f.eventually("the stream", func() bool { return len(c.Log()) == 2 })
	f.sendAndWait(func() { c.Set(fakes.EndpointsResponse("r1", 1, []endpoints.Endpoint{f.endpoint})) })
	f.sendAndWait(func() { c.Set(fakes.DocumentResponse("r1", 1, 0, f.documentText(1))) })
	var many []endpoints.Endpoint
	for id := range uint32(30000) {
		many = append(many, endpoints.Endpoint{ID: id + 1, Addr: "127.0.0.1:9", State: "ready"})
	}
	for i, r := range []*discovery.DiscoveryResponse{fakes.DocumentResponse("r1", 2, 0, f.documentText(2)+strings.Repeat(" ", 1100000)), fakes.EndpointsResponse("r1", 2, many)} {
		c.Send(r)
		f.eventually("the stream again", func() bool { return strings.Count(strings.Join(c.Log(), "\n"), `Document begins at "v1"`) == i+1 })
	}
	if got := f.get("/only-1/"); got != "200 by version 1" {
		t.Error(got)
	}
}

// If two services disagree, a version is applied once, with the text that arrived first; the other service gets a
// rejection.
func TestDisagreeingControlServices(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a, b := f.control, fakes.StartControlService(l, f.controlCreds)
	defer b.Stop()
	f.controlAddresses += fmt.Sprintf(" %q", l.Addr().String())
	stop := f.start()
	defer stop()
	f.eventually("both streams", func() bool { return len(a.Log()) == 2 && len(b.Log()) == 2 })
	last := func(c *fakes.ControlService, n int) string {
		f.eventually("an answer", func() bool { return len(c.Log()) >= n })
		lines := c.Log()
		return lines[len(lines)-1]
	}
	other := f.endpoint
	other.Build = 9
	for i, x := range []struct {
		c    *fakes.ControlService
		r    *discovery.DiscoveryResponse
		want string
	}{
		{a, fakes.EndpointsResponse("r1", 5, []endpoints.Endpoint{f.endpoint}), "ACK"},
		{b, fakes.EndpointsResponse("r1", 5, []endpoints.Endpoint{f.endpoint}), "ACK"},
		{b, fakes.EndpointsResponse("r1", 5, []endpoints.Endpoint{other}), "list version 5 is in force with other units: 1 differ"},
		{a, fakes.DocumentResponse("r1", 1, 0, f.documentText(1)), "ACK"},
		{b, fakes.DocumentResponse("r1", 1, 0, f.documentText(2)), "version 1 is in force with another text"},
		{b, fakes.DocumentResponse("r1", 2, 0, f.documentText(2)), "ACK"},
		{a, fakes.DocumentResponse("r1", 1, 0, f.documentText(1)), "version 1 is older than 2"},
	} {
		n := len(x.c.Log())
		x.c.Send(x.r)
		if got := last(x.c, n+1); !strings.Contains(got, x.want) {
			t.Errorf("%d: %s, want %s", i, got, x.want)
		}
	}
	if got := f.get("/only-2/"); got != "200 by version 2" {
		t.Error(got)
	}
}
