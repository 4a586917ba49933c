package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
	"flintspread/internal/releases"
)

// fakeServices fakes the services that a controller uses: an endpoint list, and a release service in a fixed state that
// records votes.
type fakeServices struct {
	mu          sync.Mutex
	votes       []releases.VoteMessage
	release     releases.Update
	holdReplies bool // record votes, but do not reply to them
}

// serve serves the endpoint list and the release service until the test ends, and returns their base URL.
func (f *fakeServices) serve(t testing.TB) string {
	mux := http.NewServeMux()
	// stream writes the objects that next returns, every 20 ms, until the client disconnects.
	stream := func(w http.ResponseWriter, req *http.Request, next func() any) {
		for req.Context().Err() == nil {
			if err := json.NewEncoder(w).Encode(next()); err != nil {
				return // the client has disconnected
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	mux.HandleFunc("GET /list", func(w http.ResponseWriter, req *http.Request) {
		update := endpoints.Update{Version: 1, Full: true}
		for id := range uint32(4) { // endpoints 1 and 2 run build 1, endpoints 3 and 4 build 2
			update.Endpoints = append(update.Endpoints, endpoints.Endpoint{ID: id + 1, Addr: "127.0.0.1:1", State: "ready", Build: 1 + int(id)/2, StartedAt: 1000})
		}
		stream(w, req, func() any {
			next := update
			update = endpoints.Update{Version: 1} // after the full list, only updates that change nothing
			return next
		})
	})
	mux.HandleFunc("GET /stage", func(w http.ResponseWriter, req *http.Request) {
		stream(w, req, func() any { f.mu.Lock(); defer f.mu.Unlock(); return f.release })
	})
	mux.HandleFunc("POST /vote", func(w http.ResponseWriter, req *http.Request) {
		var vote releases.VoteMessage
		if err := json.NewDecoder(req.Body).Decode(&vote); err != nil {
			vote.Verdict = "malformed"
		}
		f.mu.Lock()
		f.votes = append(f.votes, vote)
		holdReply, reply := f.holdReplies, f.release
		f.mu.Unlock()
		if holdReply {
			<-req.Context().Done()
			return
		}
		reply.Vote = "counted"
		if err := json.NewEncoder(w).Encode(reply); err != nil {
			t.Log(err) // the controller did not wait for the reply
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

// verdicts returns the votes received so far, such as "back on 2" for a rollback vote on build 2.
func (f *fakeServices) verdicts() (verdicts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vote := range f.votes {
		verdicts = append(verdicts, fmt.Sprintf("%s on %d", vote.Verdict, vote.Build))
	}
	return verdicts
}

// exampleSettings returns the settings of the controller's example file. changes lists texts to replace in it, each
// followed by its replacement.
func exampleSettings(t testing.TB, changes ...string) *config.Controller {
	text, err := os.ReadFile("../../deploy/plan.edn")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := config.ParseController("plan.edn", []byte(strings.NewReplacer(changes...).Replace(string(text))))
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// testSettings returns the example settings with the given state folder, base URL of the services, and number of votes
// that a rollback requires.
func testSettings(t *testing.T, dir, url string, rollbackVotes int) *config.Controller {
	settings := exampleSettings(t, ":back-votes 1", fmt.Sprintf(":back-votes %d", rollbackVotes))
	settings.StateDir, settings.MetricsAddress, settings.Sources.EndpointListURL, settings.Sources.ReleaseServiceURL = dir, "127.0.0.1:0", url+"/list", url
	settings.Link.Address = "unix:" + filepath.Join(dir, "s")
	return settings
}

// canaryFailureReport returns the report of a router at which half of the attempts on the canary, build 2, failed with
// server errors, and none on the baseline, build 1.
func canaryFailureReport(sequence uint64) *linkpb.Digest {
	report := &linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: "e", Life: 1, Seq: sequence, Build: 2, Rate: 100}
	for id := range uint32(4) { // endpoints 1 and 2 run build 1, endpoints 3 and 4 build 2
		failures := float32(id/2) * 50
		report.Tally = append(report.Tally, &linkpb.Tally{Unit: id + 1, Build: 1 + int32(id)/2, N: []float32{100, 100, 100, 100}, Bad: []float32{0, failures, 0, 0}})
	}
	return report
}

// startController runs a controller until stop is called; stop returns Run's error.
func startController(settings *config.Controller) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, settings, discardLog()) }()
	return func() error { cancel(); return <-done }
}

// eventually waits for the described condition, and fails the test if it does not become true within 5 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("condition not met within 5 s: %s", description)
}

// discardLog returns a logger that discards everything.
func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// mustClose closes closer and fails the test on an error.
func mustClose(t testing.TB, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Error(err)
	}
}
