package xds

import (
	"math/rand/v2"
	"sort"
	"testing"

	"flintspread/internal/watch"
)

// BenchmarkReconnectBackoff simulates a hundred clients that lose a service at the same time and retry until it is
// available again. With and without jitter, it reports the maximum number of clients that reconnect within a tenth of a
// second, and the time from the end of the outage until the last client has reconnected. The simulation does not wait.
func BenchmarkReconnectBackoff(b *testing.B) {
	for _, jitter := range []bool{true, false} {
		name := "jitter"
		if !jitter {
			name = "no-jitter"
		}
		b.Run(name, func(b *testing.B) {
			const clients, outageSeconds = 100, 30.0
			most, last := 0, 0.0
			random := rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				var reconnectedAt []float64
				for range clients {
					at := 0.0
					for failures := 0; at < outageSeconds; failures++ {
						jitterDraw := 0.0
						if jitter {
							jitterDraw = random.Float64()
						}
						at += watch.Backoff(failures, 0.1, 5, jitterDraw)
					}
					reconnectedAt = append(reconnectedAt, at-outageSeconds)
				}
				sort.Float64s(reconnectedAt)
				most, last = 0, reconnectedAt[clients-1]
				for i := range reconnectedAt {
					count := sort.SearchFloat64s(reconnectedAt, reconnectedAt[i]+0.1) - i
					most = max(most, count)
				}
			}
			b.ReportMetric(float64(most), "most-in-0.1s")
			b.ReportMetric(last, "last-s")
		})
	}
}
