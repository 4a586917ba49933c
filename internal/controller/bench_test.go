package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"flintspread/internal/controlrpc"
	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/endpoints"
	"flintspread/internal/lease"
)

// BenchmarkReportInterval measures the work of one report interval of a controller and its routers, without sockets: each
// router's report on endpoints of two builds is encoded, decoded and accepted, each router's assignment is encoded, and
// the controller ticks. It reports the volume of reports and assignments per second at the example's interval of 0.1 s,
// and the cores used.
func BenchmarkReportInterval(b *testing.B) {
	for _, endpointCount := range []int{100, 300, 1000} {
		for _, routers := range []int{1, 4, 16} {
			b.Run(fmt.Sprintf("endpoints-%d/routers-%d", endpointCount, routers), func(b *testing.B) {
				settings := exampleSettings(b)
				controller := newController(settings, discardLog(), nil)
				controller.restore(1, SavedState{})
				update := endpoints.Update{Version: 1, Full: true}
				for id := range endpointCount {
					update.Endpoints = append(update.Endpoints, endpoints.Endpoint{ID: uint32(id + 1), Addr: "127.0.0.1:1", State: "ready", Build: 1 + id%2})
				}
				if _, err := controller.endpointList.Apply(&update, controller.now()); err != nil {
					b.Fatal(err)
				}
				update.ApplyTo(controller.balancer, controller.now())
				controller.balancer.ApplyRelease(controller.now(), 2, 1, 0, 0.5, 0)
				reports := make([]*linkpb.Digest, routers)
				for i := range reports {
					report := &linkpb.Digest{Major: lease.SchemaMajor, Relay: "r1", Edge: fmt.Sprint("edge", i), Life: 1, Build: 2, Rate: 100, ListNo: 1, Terms: controller.configHash}
					for id := range endpointCount {
						outcomes := float32(100 + id)
						report.Tally = append(report.Tally, &linkpb.Tally{Unit: uint32(id + 1), Build: 1 + int32(id%2), N: []float32{outcomes, outcomes, outcomes, outcomes}, Bad: []float32{0, 1, 2, float32(id%7) / 3}})
					}
					reports[i] = report
				}
				reportBytes, assignmentBytes := 0, 0
				for b.Loop() {
					reportBytes, assignmentBytes = 0, 0
					for _, report := range reports {
						report.Seq++
						encoded, err := proto.Marshal(report)
						if err != nil {
							b.Fatal(err)
						}
						reportBytes += len(encoded)
						var decoded linkpb.Digest
						if err := proto.Unmarshal(encoded, &decoded); err != nil {
							b.Fatal(err)
						}
						if reason := controller.acceptReport(&decoded); reason != lease.Accepted {
							b.Fatal(reason)
						}
						assignment, err := proto.Marshal(controller.nextAssignment(report.Edge, decoded.ListNo))
						if err != nil {
							b.Fatal(err)
						}
						assignmentBytes += len(assignment)
					}
					controller.mu.Lock()
					controller.balancer.TickAndVote(controller.now())
					controller.mu.Unlock()
				}
				const intervalsPerSecond = 10
				b.ReportMetric(float64(reportBytes*intervalsPerSecond)/1024, "report-KiB/s")
				b.ReportMetric(float64(assignmentBytes*intervalsPerSecond)/1024, "assignment-KiB/s")
				b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*intervalsPerSecond, "cores")
			})
		}
	}
}

// BenchmarkFirstAssignment measures the time from a controller's start with saved state until a router on a socket
// applies the first assignment with an endpoint list and a release.
func BenchmarkFirstAssignment(b *testing.B) {
	settings := exampleSettings(b)
	settings.StateDir = b.TempDir()
	settings.MetricsAddress = "127.0.0.1:0"
	settings.Link.Address = "unix:" + b.TempDir() + "/s"
	log := discardLog()
	services := &fakeServices{}
	services.release.Version, services.release.Build, services.release.Phase, services.release.CanaryLimit = 4, 2, "on-trial", 0.2
	url := services.serve(b)
	settings.Sources.EndpointListURL, settings.Sources.ReleaseServiceURL = url+"/list", url
	startedAt := time.Now()
	applied := make(chan struct{}, 1)
	client := &controlrpc.RouterClient{Config: &settings.Link, Log: log, Now: func() float64 { return time.Since(startedAt).Seconds() }, RouterGroup: "r1", Router: "e",
		Incarnation: 1,
		FillReport:  func(*linkpb.Digest) {},
		ApplyAssignment: func(assignment *linkpb.View, _, _ bool, _ float64) {
			if assignment.ListAt > 0 && assignment.StageNo > 0 {
				select {
				case applied <- struct{}{}:
				default:
				}
			}
		}}
	ctx, cancel := context.WithCancel(context.Background())
	clientDone := make(chan error, 1)
	go func() { clientDone <- client.Run(ctx, 0, 0) }()
	defer func() {
		cancel()
		if err := <-clientDone; err != nil {
			b.Error(err)
		}
	}()
	for b.Loop() {
		select {
		case <-applied:
		default:
		}
		runCtx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- Run(runCtx, settings, log) }()
		<-applied
		b.StopTimer()
		stop()
		if err := <-done; err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
	}
}
