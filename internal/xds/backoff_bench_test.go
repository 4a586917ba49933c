package xds

import (
	"math/rand/v2"
	"sort"
	"testing"

	"flintspread/internal/watch"
)

// BenchmarkHerd simulates a hundred clients that lose a service together and retry until it is back. It reports the
// most clients that reconnect within a tenth of a second, with and without jitter, and when the last one does. Times
// are computed, not waited for.
func BenchmarkHerd(b *testing.B) {
	for _, jitter := range []bool{true, false} {
		name := "half-chance"
		if !jitter {
			name = "none"
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
						chance := 0.0
						if jitter {
							chance = random.Float64()
						}
						at += watch.Backoff(failures, 0.1, 5, chance)
					}
					reconnectedAt = append(reconnectedAt, at-outageSeconds)
				}
				sort.Float64s(reconnectedAt)
				most, last = 0, reconnectedAt[clients-1]
				for i := range reconnectedAt {
					n := sort.SearchFloat64s(reconnectedAt, reconnectedAt[i]+0.1) - i
					most = max(most, n)
				}
			}
			b.ReportMetric(float64(most), "most-in-0.1s")
			b.ReportMetric(last, "last-s")
		})
	}
}
