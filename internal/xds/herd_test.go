package xds

import (
	"math/rand/v2"
	"sort"
	"testing"

	"flintspread/internal/watch"
)

// BenchmarkHerd is a hundred clients that lose a service together and try it until it is back after so many seconds; reported
// are, of those that come to the service in its first seconds, the most within a tenth of a second, with chance and without,
// and when the last has come. Times are reckoned, not waited for.
func BenchmarkHerd(b *testing.B) {
	for _, chance := range []bool{true, false} {
		name := "half-chance"
		if !chance {
			name = "none"
		}
		b.Run(name, func(b *testing.B) {
			const clients, away = 100, 30.0
			most, last := 0, 0.0
			rnd := rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				var back []float64
				for range clients {
					at := 0.0
					for n := 0; at < away; n++ {
						c := 0.0
						if chance {
							c = rnd.Float64()
						}
						at += watch.Backoff(n, 0.1, 5, c)
					}
					back = append(back, at-away)
				}
				sort.Float64s(back)
				most, last = 0, back[clients-1]
				for i := range back {
					n := sort.SearchFloat64s(back, back[i]+0.1) - i
					most = max(most, n)
				}
			}
			b.ReportMetric(float64(most), "most-in-0.1s")
			b.ReportMetric(last, "last-s")
		})
	}
}
