package proxy

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"flintspread/internal/configstate"
	"flintspread/internal/endpoints"
)

func configVersionText(b *testing.B) string {
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		b.Fatal(err)
	}
	return "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(string(text))
}

// BenchmarkSwap measures reading, checking and applying a configuration version.
func BenchmarkSwap(b *testing.B) {
	h := newHarness(b, nil)
	text := configVersionText(b)
	b.ReportAllocs()
	for no := uint64(1); b.Loop(); no++ {
		v, err := configstate.ParseVersion(no, []byte(text))
		if err != nil {
			b.Fatal(err)
		}
		if o, err := h.proxy.OfferConfig(v); o != configstate.Applied {
			b.Fatal(o, err)
		}
	}
}

// BenchmarkReader measures how long a client's goroutine takes to find its request's configuration version and class,
// with and without concurrent swaps of the version.
func BenchmarkReader(b *testing.B) {
	for _, swaps := range []bool{false, true} {
		b.Run(fmt.Sprint("swaps-", swaps), func(b *testing.B) {
			h := newHarness(b, nil)
			stop := make(chan struct{})
			done := make(chan struct{})
			go func() {
				defer close(done)
				text := configVersionText(b)
				for no := uint64(1); swaps; no++ {
					select {
					case <-stop:
						return
					default:
					}
					v, err := configstate.ParseVersion(no, []byte(text))
					if err != nil {
						b.Error(err)
						return
					}
					if _, err := h.proxy.OfferConfig(v); err != nil {
						b.Error(err)
						return
					}
				}
			}()
			b.ReportAllocs()
			for b.Loop() {
				if h.proxy.ConfigVersion().ClassOf("GET", "/chute/4711") < 0 {
					b.Fatal("no class")
				}
			}
			close(stop)
			<-done
		})
	}
}

// BenchmarkApplyList measures applying a full endpoint list, of which one entry in a hundred changed, to the list, the
// pools and the balancer.
func BenchmarkApplyList(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("endpoints-", n), func(b *testing.B) {
			h := newHarness(b, nil)
			lines := [2]*endpoints.Update{}
			for k := range lines {
				l := &endpoints.Update{Version: 1, Full: true, Endpoints: make([]endpoints.Endpoint, n)}
				for i := range l.Endpoints {
					l.Endpoints[i] = endpoints.Endpoint{ID: uint32(i + 1), Addr: "127.0.0.1:9000", State: "ready", Build: 1}
					if i%100 == 0 {
						l.Endpoints[i].Build += k
					}
				}
				lines[k] = l
			}
			list := &endpoints.List{}
			apply := func(l *endpoints.Update) {
				changes, err := list.Apply(l, 1)
				if err != nil {
					b.Fatal(err)
				}
				h.proxy.ApplyEndpoints(changes)
			}
			apply(lines[0])
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				apply(lines[i%2])
			}
		})
	}
}
