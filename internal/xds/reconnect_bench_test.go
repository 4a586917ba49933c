package xds_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"regexp"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
	"flintspread/internal/xds"
)

// BenchmarkReconnect measures, over sockets, a hundred routers that lose a control service, which starts again with a
// new version two seconds later. It reports the time from the start until the last router has accepted the version, and
// the maximum number of routers that accepted it within a tenth of a second.
func BenchmarkReconnect(b *testing.B) {
	const routers = 100
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		b.Fatal(err)
	}
	document := "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(string(text))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := listener.Addr().String()
	control := fakes.StartControlService(listener, insecure.NewCredentials())
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var acceptedAt []time.Time
	settings := &config.Control{Addresses: []string{address}, SilenceSeconds: 2, BackoffMinSeconds: 0.1, BackoffMaxSeconds: 5, MaxResponseBytes: 1 << 20}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	handler := xds.Handler{
		OnEndpoints: func(*endpoints.Update) error { return nil },
		OnConfig: func(*configstate.Version) (configstate.Outcome, error) {
			mu.Lock()
			defer mu.Unlock()
			acceptedAt = append(acceptedAt, time.Now())
			return configstate.Applied, nil
		},
	}
	var following sync.WaitGroup
	defer following.Wait()
	defer cancel()
	for i := range routers {
		following.Go(func() {
			if err := xds.FollowAll(ctx, settings, log, fmt.Sprint("router-", i), "r1", 0.5, handler); err != nil {
				b.Error(err)
			}
		})
	}
	last, most := 0.0, 0
	for number := uint64(1); b.Loop(); number++ {
		for control.Streams() < routers {
			time.Sleep(10 * time.Millisecond)
		}
		control.Stop()
		time.Sleep(2 * time.Second)
		mu.Lock()
		acceptedAt = nil
		mu.Unlock()
		if listener, err = net.Listen("tcp", address); err != nil {
			b.Fatal(err)
		}
		startedAt := time.Now()
		control = fakes.StartControlService(listener, insecure.NewCredentials())
		control.Set(fakes.DocumentResponse("r1", number, 0, document))
		for accepted := 0; accepted < routers; time.Sleep(5 * time.Millisecond) {
			mu.Lock()
			accepted = len(acceptedAt)
			mu.Unlock()
		}
		last = time.Since(startedAt).Seconds()
		most = 0
		for i := range acceptedAt {
			count := 0
			for _, t := range acceptedAt {
				if d := t.Sub(acceptedAt[i]); d >= 0 && d < 100*time.Millisecond {
					count++
				}
			}
			most = max(most, count)
		}
	}
	b.ReportMetric(last, "last-s")
	b.ReportMetric(float64(most), "most-in-0.1s")
	control.Stop()
}
