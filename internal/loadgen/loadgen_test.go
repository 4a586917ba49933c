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
	for _, c := range []struct {
		s    Shape
		want float64
	}{
		{Shape{Kind: "constant", RequestsPerSecond: 100, LengthSeconds: 50}, 5000},
		{Shape{Kind: "poisson", RequestsPerSecond: 100, LengthSeconds: 50}, 5000},
		{Shape{Kind: "on-off", RequestsPerSecond: 100, LengthSeconds: 50, PeriodSeconds: 5, OnShare: 0.2}, 1000},
		{Shape{Kind: "ramp", RequestsPerSecond: 20, EndRequestsPerSecond: 180, LengthSeconds: 50}, 5000},
		{Shape{Kind: "step", RequestsPerSecond: 200, EndRequestsPerSecond: 50, OnShare: 0.4, LengthSeconds: 50}, 5500},
	} {
		if err := c.s.Check(); err != nil {
			t.Fatal(err)
		}
		at := arrivalTimes(c.s)
		if n := float64(len(at)); math.Abs(n-c.want) > 4*math.Sqrt(c.want) {
			t.Errorf("%s: %g arrivals, want about %g", c.s.Kind, n, c.want)
		}
		for i := 1; i < len(at); i++ {
			if at[i] < at[i-1] || at[i] > c.s.LengthSeconds {
				t.Fatalf("%s: arrival at %g s after one at %g s, length %g s", c.s.Kind, at[i], at[i-1], c.s.LengthSeconds)
			}
		}
	}
	rush := arrivalTimes(Shape{Kind: "rush", RequestsPerSecond: 100, LengthSeconds: 100})
	early, top := 0, 0
	for _, x := range rush {
		if x < 20 {
			early++
		} else if x > 50 && x < 70 {
			top++
		}
	}
	if top < 2*early {
		t.Errorf("rush: %d arrivals in the first fifth, %d around the peak; want at least twice as many around the peak", early, top)
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
		t.Error(got, err)
	}
	file := filepath.Join(dir, "a.parquet")
	if err := parquet.WriteFile(file, got); err != nil {
		t.Fatal(err)
	}
	if back, err := ReadTrace(file); err != nil || len(back) != 2 || back[0] != got[0] {
		t.Error(back, err)
	}
	for text, want := range map[string]string{"op\nx\n": `:1: no column "at"`, "at\nsoon\n": ":2: at: ", "at\n2\n1\n": "arrival 2", "at,key\n1,x\n": ":2: key: ", "at\n-1\n": ":2: at: ", "": "EOF"} {
		if _, err := ReadTrace(write("b.csv", text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestPauseDelaysEveryDueRequest pauses an endpoint. Open-loop load must show the delay on every request that is due
// during the pause; a closed loop would show it on one or two requests only.
func TestPauseDelaysEveryDueRequest(t *testing.T) {
	q, err := fakes.StartFastEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	defer q.Stop()
	const rate, pause = 400.0, 1.0
	p := &Plan{Address: q.Addr, Shape: Shape{Kind: "constant", RequestsPerSecond: rate, LengthSeconds: 3}, MaxConns: 800, KeyCount: 100, Seed: 1, MaxLagSeconds: 0.05,
		Classes: []RequestClass{{Name: "any", Method: "GET", Path: "/", Share: 1, LatencyObjectiveSeconds: 0.3, TimeoutSeconds: 10}}}
	time.AfterFunc(time.Second, func() { q.Pause(time.Duration(pause * float64(time.Second))) })
	o, err := Run(context.Background(), p, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !o.Valid {
		t.Skip("machine too busy for a valid run: ", o.InvalidBecause)
	}
	if o.Offered != int(rate*3) || o.Classes[0].Ends["acked"] != o.Offered {
		t.Fatalf("%d offered, %v", o.Offered, o.Classes[0].Ends)
	}
	// Requests that are due during the pause and wait longer than w: rate x (pause - w). The tolerance covers timers
	// that end the pause some milliseconds late.
	const w = 0.2
	late := 0
	for _, bar := range o.latencies.Distribution() {
		if bar.From >= int64(w*1e6) {
			late += int(bar.Count)
		}
	}
	t.Logf("%d requests waited longer than %g s, expected %g; p50 %.3f s, maximum %.3f s", late, w, rate*(pause-w), o.Latency.P50, o.Latency.Max)
	if want := rate * (pause - w); math.Abs(float64(late)-want) > 0.06*want {
		t.Errorf("%d requests waited longer than %g s, want about %g", late, w, want)
	}
	// The same pause with a closed loop: the client waits for each response before it sends the next request.
	seen, sent := 0, 0
	r := &runner{plan: p, startedAt: time.Now()}
	c := &conn{}
	time.AfterFunc(500*time.Millisecond, func() { q.Pause(time.Duration(pause * float64(time.Second))) })
	for r.now() < 2 {
		from := r.now()
		r.attempt(c, &request{firstDueAt: from, key: 1})
		if sent++; r.now()-from > w {
			seen++
		}
		time.Sleep(time.Millisecond)
	}
	c.close()
	t.Logf("closed loop: %d of %d requests were delayed", seen, sent)
	if seen > 2 || sent < 50 {
		t.Errorf("closed loop: %d of %d requests were delayed, want at most 2 of at least 50", seen, sent)
	}
}

// TestUnreachableAddress checks that a run against a closed port ends and counts no request as successful.
func TestUnreachableAddress(t *testing.T) {
	q, err := fakes.StartFastEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	q.Stop()
	o, err := Run(context.Background(), &Plan{Address: q.Addr, Shape: Shape{Kind: "poisson", RequestsPerSecond: 200, LengthSeconds: 0.5}, MaxConns: 10, KeyCount: 10, Seed: 1, MaxRetries: 2,
		Classes: []RequestClass{{Name: "any", Method: "GET", Path: "/", Share: 1, LatencyObjectiveSeconds: 0.1, TimeoutSeconds: 0.2}}}, nil)
	if err != nil || o.Classes[0].Ends["acked"] != 0 || o.unfinished() != 0 || o.Offered < 50 {
		t.Errorf("outcome %+v, error %v", o, err)
	}
}
