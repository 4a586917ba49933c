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

// BenchmarkReturn is a hundred relays that lose a control service and have its version two seconds later, over sockets: the
// time from its return until the last has taken the version, and the most that did so within a tenth of a second.
func BenchmarkReturn(b *testing.B) {
	const relays = 100
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		b.Fatal(err)
	}
	doc := "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(string(text))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := l.Addr().String()
	control := fakes.StartControl(l, insecure.NewCredentials())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var took []time.Time
	set := &config.Control{Addresses: []string{address}, Silence: 2, BackLeast: 0.1, BackMost: 5, MostBytes: 1 << 20}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	for i := range relays {
		go xds.FollowAll(ctx, set, quiet, fmt.Sprint("relay-", i), "r1", 0.5, xds.Taker{
			List: func(*endpoints.Update) error { return nil },
			Settings: func(*configstate.Version) (configstate.Outcome, error) {
				mu.Lock()
				defer mu.Unlock()
				took = append(took, time.Now())
				return configstate.Applied, nil
			}})
	}
	last, most := 0.0, 0
	for no := uint64(1); b.Loop(); no++ {
		for control.Streams() < relays {
			time.Sleep(10 * time.Millisecond)
		}
		control.Stop()
		time.Sleep(2 * time.Second)
		mu.Lock()
		took = nil
		mu.Unlock()
		if l, err = net.Listen("tcp", address); err != nil {
			b.Fatal(err)
		}
		from := time.Now()
		control = fakes.StartControl(l, insecure.NewCredentials())
		control.Set(fakes.DocumentResponse("r1", no, 0, doc))
		for done := 0; done < relays; time.Sleep(5 * time.Millisecond) {
			mu.Lock()
			done = len(took)
			mu.Unlock()
		}
		last = time.Since(from).Seconds()
		most = 0
		for i := range took {
			n := 0
			for _, t := range took {
				if d := t.Sub(took[i]); d >= 0 && d < 100*time.Millisecond {
					n++
				}
			}
			most = max(most, n)
		}
	}
	b.ReportMetric(last, "last-s")
	b.ReportMetric(float64(most), "most-in-0.1s")
	control.Stop()
}
