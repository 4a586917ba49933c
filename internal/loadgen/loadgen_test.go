package loadgen

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"flintspread/internal/fakes"
)

func arrivalTimes(s Shape) (at []float64) {
	next := s.Arrivals(3)
	for a, ok := next(); ok; a, ok = next() {
		at = append(at, a.At)
	}
	return at
}

// TestShapes checks that each shape yields as many arrivals as the integral of its rate, in order of time.
func TestShapes(t *testing.T) {
	for _, test := range []struct {
		shape Shape
		want  float64
	}{
		{Shape{Kind: "constant", RequestsPerSecond: 100, LengthSeconds: 50}, 5000},
		{Shape{Kind: "poisson", RequestsPerSecond: 100, LengthSeconds: 50}, 5000},
		{Shape{Kind: "on-off", RequestsPerSecond: 100, LengthSeconds: 50, PeriodSeconds: 5, OnShare: 0.2}, 1000},
		{Shape{Kind: "ramp", RequestsPerSecond: 20, EndRequestsPerSecond: 180, LengthSeconds: 50}, 5000},
		{Shape{Kind: "step", RequestsPerSecond: 200, EndRequestsPerSecond: 50, OnShare: 0.4, LengthSeconds: 50}, 5500},
	} {
		if err := test.shape.Check(); err != nil {
			t.Fatal(err)
		}
		at := arrivalTimes(test.shape)
		if n := float64(len(at)); math.Abs(n-test.want) > 4*math.Sqrt(test.want) {
			t.Errorf("%s: %g arrivals, want about %g", test.shape.Kind, n, test.want)
		}
		for i := 1; i < len(at); i++ {
			if at[i] < at[i-1] || at[i] > test.shape.LengthSeconds {
				t.Fatalf("%s: arrival at %g s after one at %g s, length %g s", test.shape.Kind, at[i], at[i-1], test.shape.LengthSeconds)
			}
		}
	}
	rush := arrivalTimes(Shape{Kind: "rush", RequestsPerSecond: 100, LengthSeconds: 100})
	early, nearPeak := 0, 0
	for _, x := range rush {
		if x < 20 {
			early++
		} else if x > 50 && x < 70 {
			nearPeak++
		}
	}
	if nearPeak < 2*early {
		t.Errorf("rush: %d arrivals in the first fifth, %d around the peak; want at least twice as many around the peak", early, nearPeak)
	}
	for _, s := range []Shape{{Kind: "sine", RequestsPerSecond: 1, LengthSeconds: 1}, {Kind: "poisson", LengthSeconds: 1}, {Kind: "on-off", RequestsPerSecond: 1, LengthSeconds: 1}, {Kind: "trace"}, {Kind: "ramp", RequestsPerSecond: 1, LengthSeconds: 1}} {
		if s.Check() == nil {
			t.Errorf("Check accepted the invalid shape %+v", s)
		}
	}
}

func TestTraces(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return file
	}
	got, err := ReadTrace(write("a.csv", "at,op,key\n0.5,seal-gate,7\n0.75,,\n"))
	if err != nil || len(got) != 2 || got[0] != (Arrival{At: 0.5, Class: "seal-gate", Key: 7}) || got[1].At != 0.75 {
		t.Errorf("CSV trace: got %v, error %v", got, err)
	}
	file := filepath.Join(dir, "a.parquet")
	if err := parquet.WriteFile(file, got); err != nil {
		t.Fatal(err)
	}
	if back, err := ReadTrace(file); err != nil || len(back) != 2 || back[0] != got[0] {
		t.Errorf("Parquet trace: got %v, error %v", back, err)
	}
	for text, want := range map[string]string{"op\nx\n": `:1: no column "at"`, "at\nsoon\n": ":2: at: ", "at\n2\n1\n": "arrival 2", "at,key\n1,x\n": ":2: key: ", "at\n-1\n": ":2: at: ", "": "EOF"} {
		if _, err := ReadTrace(write("b.csv", text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("CSV text %q: got error %v, want %q", text, err, want)
		}
	}
}

// TestPauseDelaysEveryDueRequest pauses an endpoint. Open-loop load must show the delay on every request that is due
// during the pause; a closed loop would show it on one or two requests only.
func TestPauseDelaysEveryDueRequest(t *testing.T) {
	endpoint, err := fakes.StartFastEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Stop()
	const ratePerSecond, pauseSeconds = 400.0, 1.0
	plan := &Plan{Address: endpoint.Addr, Shape: Shape{Kind: "constant", RequestsPerSecond: ratePerSecond, LengthSeconds: 3}, MaxConns: 800, KeyCount: 100, Seed: 1, MaxLagSeconds: 0.05,
		Classes: []RequestClass{{Name: "any", Method: "GET", Path: "/", Share: 1, LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 10}}}
	time.AfterFunc(time.Second, func() { endpoint.Pause(time.Duration(pauseSeconds * float64(time.Second))) })
	outcome, err := Run(context.Background(), plan, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !outcome.Valid {
		t.Skip("machine too busy for a valid run: ", outcome.InvalidBecause)
	}
	if outcome.Offered != int(ratePerSecond*3) || outcome.Classes[0].Ends["acked"] != outcome.Offered {
		t.Fatalf("%d requests offered, results %v; want all offered requests to succeed", outcome.Offered, outcome.Classes[0].Ends)
	}
	// The expected number of requests that are due during the pause and wait longer than minWaitSeconds is
	// ratePerSecond x (pauseSeconds - minWaitSeconds). The tolerance covers timers that end the pause some milliseconds
	// late.
	const minWaitSeconds = 0.2
	late := 0
	for _, bar := range outcome.latencies.Distribution() {
		if bar.From >= int64(minWaitSeconds*1e6) {
			late += int(bar.Count)
		}
	}
	t.Logf("%d requests waited longer than %g s, expected %g; p50 %.3f s, maximum %.3f s", late, minWaitSeconds, ratePerSecond*(pauseSeconds-minWaitSeconds), outcome.Latency.P50, outcome.Latency.Max)
	if want := ratePerSecond * (pauseSeconds - minWaitSeconds); math.Abs(float64(late)-want) > 0.06*want {
		t.Errorf("%d requests waited longer than %g s, want about %g", late, minWaitSeconds, want)
	}
	// The same pause with a closed loop: the client waits for each response before it sends the next request.
	delayed, sent := 0, 0
	r := &runner{plan: plan, startedAt: time.Now()}
	c := &conn{}
	time.AfterFunc(500*time.Millisecond, func() { endpoint.Pause(time.Duration(pauseSeconds * float64(time.Second))) })
	for r.now() < 2 {
		from := r.now()
		r.attempt(c, &request{firstDueAt: from, key: 1})
		if sent++; r.now()-from > minWaitSeconds {
			delayed++
		}
		time.Sleep(time.Millisecond)
	}
	c.close()
	t.Logf("closed loop: %d of %d requests were delayed", delayed, sent)
	if delayed > 2 || sent < 50 {
		t.Errorf("closed loop: %d of %d requests were delayed, want at most 2 of at least 50", delayed, sent)
	}
}

// TestUnreachableAddress checks that a run against a closed port ends and counts no request as successful.
func TestUnreachableAddress(t *testing.T) {
	endpoint, err := fakes.StartFastEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	endpoint.Stop()
	outcome, err := Run(context.Background(), &Plan{Address: endpoint.Addr, Shape: Shape{Kind: "poisson", RequestsPerSecond: 200, LengthSeconds: 0.5}, MaxConns: 10, KeyCount: 10, Seed: 1, MaxRetries: 2,
		Classes: []RequestClass{{Name: "any", Method: "GET", Path: "/", Share: 1, LatencyObjectiveSeconds: 0.1, TimeoutSeconds: 0.2}}}, nil)
	if err != nil || outcome.Classes[0].Ends["acked"] != 0 || outcome.unfinished() != 0 || outcome.Offered < 50 {
		t.Errorf("outcome %+v, error %v", outcome, err)
	}
}
