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
	"sync/atomic"
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

// fixture sets up a router with a control service, one endpoint and a release service that sends only heartbeats. Its
// clients count the answers by configuration version.
type fixture struct {
	t                *testing.T
	control          *fakes.ControlService
	stateDir         string
	listenAddr       string
	endpoint         endpoints.Endpoint
	controlAddresses string // quoted, as in the settings file
	tlsSettings      string // the settings of the link to the control service
	controlCreds     credentials.TransportCredentials
	document         string       // configuration document of the example file
	atEndpoint       atomic.Int32 // requests that the endpoint is working on

	mu            sync.Mutex
	answers       map[string]int // number of answers by "STATUS by version NUMBER"
	wrongVersions []string       // answers on a version's own route that another version gave
}

var documentPattern = regexp.MustCompile(`(?s):schema.*\}`)

// freeAddr returns a local address on which nothing listens.
func freeAddr(t *testing.T) string {
	addr, err := fakes.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, stateDir: t.TempDir(), listenAddr: freeAddr(t), answers: map[string]int{}}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		f.atEndpoint.Add(1)
		defer f.atEndpoint.Add(-1)
		if delay, err := time.ParseDuration(req.Header.Get("X-Delay")); err == nil {
			time.Sleep(delay)
		}
		if _, err := io.WriteString(w, "ok"); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(upstream.Close)
	f.endpoint = endpoints.Endpoint{ID: 1, Addr: strings.TrimPrefix(upstream.URL, "http://"), State: "ready", Build: 1}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.controlAddresses = fmt.Sprintf("%q", listener.Addr().String())
	// The service is verified by the name in its certificate, whatever its address.
	ca := testca.New(t, "test CA")
	ends := time.Now().Add(time.Hour)
	cert, key := ca.Issue("control", "control.example.org", ends)
	link := &config.Link{Cert: cert, Key: key, CA: ca.CAFile(), Peer: "edge.example.org"}
	creds, err := controlrpc.Credentials(link, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	cert, key = ca.Issue("edge", "edge.example.org", ends)
	f.tlsSettings = fmt.Sprintf(":cert %q :key %q :ca %q :peer \"control.example.org\"", cert, key, ca.CAFile())
	f.controlCreds = creds
	f.control = fakes.StartControlService(listener, creds)
	t.Cleanup(func() { f.control.Stop() })
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	f.document = "{" + documentPattern.FindString(string(text))
	return f
}

// documentText returns the example's document with an additional route /only-NUMBER/, which no other version has.
// replacements holds pairs of an old text and its replacement.
func (f *fixture) documentText(number uint64, replacements ...string) string {
	route := fmt.Sprintf("{:method \"GET\" :path \"/only-%d/\" :op-type \"chute-lookup\"}\n", number)
	text := strings.Replace(f.document, ":routes [", ":routes ["+route, 1)
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(text, replacements[i]) {
			f.t.Fatalf("%q is not in the document", replacements[i])
		}
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	return text
}

// start runs the router. The returned function stops it and checks that it ended without an error.
func (f *fixture) start() (stop func()) {
	releaseService := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
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
 %s`, f.listenAddr, freeAddr(f.t), f.stateDir, releaseService.URL, f.controlAddresses, f.tlsSettings, f.document[1:])
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
		releaseService.CloseClientConnections()
		releaseService.Close()
	}
}

// get sends a request, and returns "STATUS by version NUMBER" or an error. It records an answer on a version's own route
// (/only-NUMBER/) that another version gave. headers holds pairs of a name and a value.
func (f *fixture) get(path string, headers ...string) string {
	req, _ := http.NewRequest(http.MethodGet, "http://"+f.listenAddr+path, nil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	version := resp.Header.Get("Flint-Version")
	got := fmt.Sprintf("%d by version %s", resp.StatusCode, version)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		got += ": " + err.Error()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[got]++
	var only string
	_, err = fmt.Sscanf(path, "/only-%s", &only)
	if err == nil && resp.StatusCode != 404 && strings.TrimSuffix(only, "/") != version {
		f.wrongVersions = append(f.wrongVersions, path+": "+got)
	}
	return got
}

// startTraffic starts clients that request the routes of versions 1 to 12 until ctx ends.
func (f *fixture) startTraffic(ctx context.Context, clients *sync.WaitGroup) {
	for client := range 4 {
		clients.Go(func() {
			for i := client; ctx.Err() == nil; i++ {
				f.get(fmt.Sprintf("/only-%d/", i%12+1))
			}
		})
	}
}

// eventually waits for a condition, and fails the test if it is not met within 5 s.
func (f *fixture) eventually(description string, condition func() bool) {
	f.t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Errorf("not within 5 s: %s; the control service received\n%s", description, strings.Join(f.control.Log(), "\n"))
}

// sendAndWait calls a function that sends a response, and waits for the router to acknowledge or reject the response.
func (f *fixture) sendAndWait(send func()) {
	f.t.Helper()
	lines := len(f.control.Log())
	send()
	f.eventually("an acknowledgement or rejection", func() bool { return len(f.control.Log()) > lines })
}

// The router must keep the last valid configuration, and serve each request under one version, whatever the control
// service sends. The replies to each response are compared with testdata/control-script.txt.
func TestControlScript(t *testing.T) {
	f := newFixture(t)
	control := f.control
	endpointList := func(version uint64) *discovery.DiscoveryResponse {
		return fakes.EndpointsResponse("r1", version, []endpoints.Endpoint{f.endpoint})
	}
	document := func(number, requiredList uint64, text string) *discovery.DiscoveryResponse {
		return fakes.DocumentResponse("r1", number, requiredList, text)
	}
	// set does the same as send, and makes the response the first one of its type on new streams.
	set := func(response *discovery.DiscoveryResponse) {
		t.Helper()
		f.sendAndWait(func() { control.Set(response) })
	}
	send := func(response *discovery.DiscoveryResponse) {
		t.Helper()
		f.sendAndWait(func() { control.Send(response) })
	}
	stop := f.start()
	defer func() { stop() }()
	f.eventually("the streams begin", func() bool { return len(control.Log()) == 2 })
	set(endpointList(5))
	set(document(1, 0, f.documentText(1)))
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	f.startTraffic(ctx, &clients)
	waitUntilServing := func(number int) {
		t.Helper()
		f.eventually(fmt.Sprintf("version %d serves", number), func() bool {
			return f.get(fmt.Sprintf("/only-%d/", number)) == fmt.Sprintf("200 by version %d", number)
		})
	}
	waitUntilServing(1)
	valid := document(2, 0, f.documentText(2))
	valid.Nonce = "same"
	send(valid)
	send(valid) // the same nonce again
	// Resent, because the acknowledgement was lost.
	send(document(2, 0, f.documentText(2)))
	// The same number with another text.
	send(document(2, 0, f.documentText(3)))
	// An old version.
	send(document(1, 0, f.documentText(1)))
	// A canary limit too low for the first stage.
	send(document(3, 0, f.documentText(3, "[0.15 0.5 1.0]", "[0.05 0.5 1.0]")))
	// A grace that is longer than the window.
	send(document(3, 0, f.documentText(3, ":grace         1.0", ":grace 9.0")))
	// A deduplication scope without endpoints.
	send(document(3, 0, f.documentText(3, ":group :all", ":group :cell")))
	// Fewer connections than are open.
	send(document(3, 0, f.documentText(3, ":connections 10000", ":connections 1")))
	// A truncated text.
	send(document(3, 0, strings.Replace(f.documentText(3), "]}", "", 1)))
	// An unknown key.
	send(document(3, 0, f.documentText(3, ":window        4.0", ":widow 4.0")))
	// A document for another router.
	send(fakes.DocumentResponse("r2", 3, 0, f.documentText(3)))
	// An older endpoint list.
	send(endpointList(4))
	// A version that is not a number.
	notANumber := endpointList(6)
	notANumber.VersionInfo = "six"
	send(notANumber)
	// An endpoint that is in the list twice.
	send(fakes.EndpointsResponse("r1", 6, []endpoints.Endpoint{f.endpoint, f.endpoint}))
	// Requires an endpoint list that does not arrive.
	send(document(4, 7, f.documentText(4)))
	// Requires an endpoint list that arrives.
	f.sendAndWait(func() {
		control.Send(document(5, 7, f.documentText(5)))
		control.Send(endpointList(7))
	})
	f.eventually("version 5 is acknowledged", func() bool {
		return strings.Contains(strings.Join(control.Log(), "\n"), `"v5"`)
	})
	waitUntilServing(5)
	set(endpointList(7))
	set(document(5, 7, f.documentText(5)))
	// The streams break, and nothing has changed when they are established again.
	lines := len(control.Log())
	control.CloseStreams()
	f.eventually("the streams begin again", func() bool { return len(control.Log()) >= lines+2 })
	set(document(6, 0, f.documentText(6)))
	waitUntilServing(6)
	cancel()
	clients.Wait()
	control.Stop()
	stop()
	// The control service is down; the router starts with the last valid version.
	stop = f.start()
	waitUntilServing(6)
	if f.wrongVersions != nil {
		t.Error("a request was served by the wrong version:", f.wrongVersions[0])
	}
	for _, number := range []string{"1", "2", "5"} {
		if f.answers["200 by version "+number] == 0 {
			t.Errorf("no answer by version %s: %v", number, f.answers)
		}
	}
	for _, number := range []string{"3", "4"} {
		if f.answers["200 by version "+number] > 0 {
			t.Errorf("version %s was rejected, but answered requests", number)
		}
	}
	want, err := os.ReadFile("testdata/control-script.txt")
	log := strings.Join(control.Log(), "\n") + "\n"
	got := regexp.MustCompile(`while \d+ are open`).ReplaceAllString(log, "while some are open")
	if os.Getenv("FLINT_UPDATE") != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		err = os.WriteFile("testdata/control-script.txt", []byte(got), 0o644)
		want = []byte(got)
	}
	if err != nil || got != string(want) {
		t.Errorf("%v; the control service received\n%s\nwant\n%s", err, got, want)
	}
	if files, _ := filepath.Glob(filepath.Join(f.stateDir, "versions.db")); len(files) != 1 {
		t.Error("the state folder has no history of versions")
	}
}

// A version that removes a request class with a request in flight must be rejected, and the request must be served by
// the version that accepted it.
func TestRequestInFlightKeepsItsVersion(t *testing.T) {
	f := newFixture(t)
	control := f.control
	stop := f.start()
	defer stop()
	f.eventually("the streams begin", func() bool { return len(control.Log()) == 2 })
	f.sendAndWait(func() { control.Set(fakes.EndpointsResponse("r1", 1, []endpoints.Endpoint{f.endpoint})) })
	f.sendAndWait(func() { control.Set(fakes.DocumentResponse("r1", 1, 0, f.documentText(1))) })
	answer := make(chan string)
	go func() { answer <- f.get("/chute/1", "X-Delay", "250ms", "Flint-Time", "0.7") }()
	time.Sleep(80 * time.Millisecond)
	renamedClass := f.documentText(2, "{:name \"chute-lookup\"  :target 0.3", "{:name \"look\"  :target 0.3")
	renamedClass = strings.ReplaceAll(renamedClass, "\"chute-lookup\"", "\"look\"")
	f.sendAndWait(func() { control.Send(fakes.DocumentResponse("r1", 2, 0, renamedClass)) })
	f.sendAndWait(func() { control.Send(fakes.DocumentResponse("r1", 3, 0, f.documentText(3))) })
	if got := <-answer; got != "200 by version 1" {
		t.Errorf("the request in flight got %q, want \"200 by version 1\"", got)
	}
	f.sendAndWait(func() { control.Send(fakes.DocumentResponse("r1", 4, 0, renamedClass)) })
	f.eventually("version 4 serves", func() bool { return f.get("/chute/1") == "200 by version 4" })
	log := strings.Join(control.Log(), "\n")
	const rejection = `"chute-lookup" is left out while 1 of its commands are in hand`
	if !strings.Contains(log, rejection) || !strings.Contains(log, `"v4"`) {
		t.Errorf("want the rejection %q, and version 4 acknowledged; the control service received\n%s", rejection, log)
	}
}

// A response above the size limit must end the stream before the whole response is in memory. The version in force
// stays, and the stream is established again.
func TestOversizedResponseBreaksStream(t *testing.T) {
	f := newFixture(t)
	control := f.control
	stop := f.start()
	defer stop()
	f.eventually("the streams begin", func() bool { return len(control.Log()) == 2 })
	f.sendAndWait(func() { control.Set(fakes.EndpointsResponse("r1", 1, []endpoints.Endpoint{f.endpoint})) })
	f.sendAndWait(func() { control.Set(fakes.DocumentResponse("r1", 1, 0, f.documentText(1))) })
	var manyEndpoints []endpoints.Endpoint
	for id := range uint32(30000) {
		manyEndpoints = append(manyEndpoints, endpoints.Endpoint{ID: id + 1, Addr: "127.0.0.1:9", State: "ready"})
	}
	for i, response := range []*discovery.DiscoveryResponse{
		fakes.DocumentResponse("r1", 2, 0, f.documentText(2)+strings.Repeat(" ", 1100000)),
		fakes.EndpointsResponse("r1", 2, manyEndpoints),
	} {
		control.Send(response)
		f.eventually("the stream begins again", func() bool {
			return strings.Count(strings.Join(control.Log(), "\n"), `Document begins at "v1"`) == i+1
		})
	}
	if got := f.get("/only-1/"); got != "200 by version 1" {
		t.Errorf("got %q, want \"200 by version 1\"", got)
	}
}

// If two control services disagree, a version must be applied once, with the content that arrived first; the other
// service's must be rejected.
func TestDisagreeingControlServices(t *testing.T) {
	f := newFixture(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	first, second := f.control, fakes.StartControlService(listener, f.controlCreds)
	defer second.Stop()
	f.controlAddresses += fmt.Sprintf(" %q", listener.Addr().String())
	stop := f.start()
	defer stop()
	f.eventually("both streams begin", func() bool { return len(first.Log()) == 2 && len(second.Log()) == 2 })
	waitForLine := func(service *fakes.ControlService, count int) string {
		f.eventually("an acknowledgement or rejection", func() bool { return len(service.Log()) >= count })
		lines := service.Log()
		return lines[len(lines)-1]
	}
	otherBuild := f.endpoint
	otherBuild.Build = 9
	for i, test := range []struct {
		service  *fakes.ControlService
		response *discovery.DiscoveryResponse
		want     string
	}{
		{first, fakes.EndpointsResponse("r1", 5, []endpoints.Endpoint{f.endpoint}), "ACK"},
		{second, fakes.EndpointsResponse("r1", 5, []endpoints.Endpoint{f.endpoint}), "ACK"},
		{
			second, fakes.EndpointsResponse("r1", 5, []endpoints.Endpoint{otherBuild}),
			"list version 5 is in force with other units: 1 differ",
		},
		{first, fakes.DocumentResponse("r1", 1, 0, f.documentText(1)), "ACK"},
		{second, fakes.DocumentResponse("r1", 1, 0, f.documentText(2)), "version 1 is in force with another text"},
		{second, fakes.DocumentResponse("r1", 2, 0, f.documentText(2)), "ACK"},
		{first, fakes.DocumentResponse("r1", 1, 0, f.documentText(1)), "version 1 is older than 2"},
	} {
		lines := len(test.service.Log())
		test.service.Send(test.response)
		if got := waitForLine(test.service, lines+1); !strings.Contains(got, test.want) {
			t.Errorf("response %d: the control service received %q, want %q in it", i, got, test.want)
		}
	}
	if got := f.get("/only-2/"); got != "200 by version 2" {
		t.Errorf("got %q, want \"200 by version 2\"", got)
	}
}

// Guards against requests in flight that a graceful shutdown cuts off: it waited for the drain timeout of the settings file
// while a version with a longer one was in force. Requests that were accepted under a version keep its drain timeout, too,
// when a later version shortens it.
func TestDrainTimeoutOfVersions(t *testing.T) {
	const example, short = ":drain-time  10.0", ":drain-time 0.1"
	for _, test := range []struct{ name, file, version string }{
		{"the version in force lengthens it", short, example},
		{"a version shortens it while a request is in flight", example, short},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			version := f.documentText(1, example, test.version)
			f.document = strings.Replace(f.document, example, test.file, 1)
			stop := f.start()
			f.eventually("the streams begin", func() bool { return len(f.control.Log()) == 2 })
			f.sendAndWait(func() { f.control.Set(fakes.EndpointsResponse("r1", 1, []endpoints.Endpoint{f.endpoint})) })
			applyVersion := func() { f.sendAndWait(func() { f.control.Set(fakes.DocumentResponse("r1", 1, 0, version)) }) }
			want := "200 by version 0"
			if test.file == short {
				want = "200 by version 1"
				applyVersion()
			}
			answer := make(chan string)
			go func() { answer <- f.get("/chute/1", "X-Delay", "500ms") }()
			f.eventually("the request is in flight", func() bool { return f.atEndpoint.Load() == 1 })
			if test.file == example {
				applyVersion()
			}
			stop()
			if got := <-answer; got != want {
				t.Errorf("the request in flight got %q, want %q", got, want)
			}
		})
	}
}
