package controller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"flintspread/internal/controlrpc"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
)

// BenchmarkBeat is one beat of a planner's edges, pure cores in one process: each edge's digest of all units under two
// builds is encoded, decoded and taken, the planner's turn is done, and each gets its view. Reported are what that is a
// second at the example's beat of 0.1 s: bytes of digests and of views, and the share of a core.
func BenchmarkBeat(b *testing.B) {
	for _, units := range []int{100, 300, 1000} {
		for _, edges := range []int{1, 4, 16} {
			b.Run(fmt.Sprintf("units-%d/edges-%d", units, edges), func(b *testing.B) {
				set := exampleSet(b)
				p := newPlanner(set, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
				p.begin(1, SavedState{})
				line := endpoints.Update{Version: 1, Full: true}
				for id := range units {
					line.Endpoints = append(line.Endpoints, endpoints.Endpoint{ID: uint32(id + 1), Addr: "127.0.0.1:1", State: "ready", Build: 1 + id%2})
				}
				p.list.Apply(&line, p.now())
				line.ApplyTo(p.b, p.now())
				p.b.ApplyRelease(p.now(), 2, 1, 0, 0.5, 0)
				digests := make([]*linkpb.Digest, edges)
				for i := range digests {
					d := &linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: fmt.Sprint("edge", i), Life: 1, Build: 2, Rate: 100, ListNo: 1, Terms: p.terms}
					for id := range units {
						n := float32(100 + id)
						d.Tally = append(d.Tally, &linkpb.Tally{Unit: uint32(id + 1), Build: 1 + int32(id%2), N: []float32{n, n, n, n}, Bad: []float32{0, 1, 2, float32(id%7) / 3}})
					}
					digests[i] = d
				}
				up, down := 0, 0
				for b.Loop() {
					up, down = 0, 0
					for _, d := range digests {
						d.Seq++
						text, err := proto.Marshal(d)
						if err != nil {
							b.Fatal(err)
						}
						up += len(text)
						var got linkpb.Digest
						if err := proto.Unmarshal(text, &got); err != nil {
							b.Fatal(err)
						}
						if r := p.digest(&got); r != lease.Accepted {
							b.Fatal(r)
						}
						view, err := proto.Marshal(p.view(d.Edge, got.ListNo))
						if err != nil {
							b.Fatal(err)
						}
						down += len(view)
					}
					p.mu.Lock()
					p.b.TickController(p.now())
					p.mu.Unlock()
				}
				const beats = 10
				b.ReportMetric(float64(up*beats)/1024, "digest-KiB/s")
				b.ReportMetric(float64(down*beats)/1024, "view-KiB/s")
				b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*beats, "cores")
			})
		}
	}
}

// BenchmarkFirstView is the time from a planner's start, on the state it left, to the first view with list and news that an
// edge takes over the socket.
func BenchmarkFirstView(b *testing.B) {
	set := exampleSet(b)
	set.StateDir = b.TempDir()
	set.Admin = "127.0.0.1:0"
	set.Link.Address = "unix:" + b.TempDir() + "/s"
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	h := &hall{}
	h.news.Version, h.news.Build, h.news.Phase, h.news.Cap = 4, 2, "on-trial", 0.2
	url := h.serve(b)
	set.Sources.List, set.Sources.Installer = url+"/list", url
	from := time.Now()
	got := make(chan struct{}, 1)
	e := &controlrpc.RouterClient{Config: &set.Link, Log: quiet, Now: func() float64 { return time.Since(from).Seconds() }, Relay: "r1", Router: "e", Incarnation: 1,
		FillReport: func(*linkpb.Digest) {},
		ApplyAssignment: func(v *linkpb.View, list, stage bool, _ float64) {
			if v.ListAt > 0 && v.StageNo > 0 {
				select {
				case got <- struct{}{}:
				default:
				}
			}
		}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run(ctx, 0)
	for b.Loop() {
		select {
		case <-got:
		default:
		}
		life, end := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- Run(life, set, quiet) }()
		<-got
		b.StopTimer()
		end()
		if err := <-done; err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
	}
}
