package proxy

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"flintspread/internal/configstate"
	"flintspread/internal/endpoints"
)

// configVersionText returns the example settings from the :schema key on, as the text of a configuration version.
func configVersionText(t testing.TB) string {
	text, err := os.ReadFile("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	return "{" + regexp.MustCompile(`(?s):schema.*\}`).FindString(string(text))
}

// BenchmarkConfigSwap measures the time to read, check and apply a configuration version.
func BenchmarkConfigSwap(b *testing.B) {
	h := newHarness(b, nil)
	text := configVersionText(b)
	b.ReportAllocs()
	for number := uint64(1); b.Loop(); number++ {
		version, err := configstate.ParseVersion(number, []byte(text))
		if err != nil {
			b.Fatal(err)
		}
		if outcome, err := h.proxy.OfferConfig(version); outcome != configstate.Applied {
			b.Fatalf("outcome %v, error %v, want Applied", outcome, err)
		}
	}
}

// BenchmarkConfigLookup measures the time that a client's goroutine takes to look up the configuration version and
// class of a request, with and without concurrent swaps of the version.
func BenchmarkConfigLookup(b *testing.B) {
	for _, swapping := range []bool{false, true} {
		b.Run(fmt.Sprint("swaps-", swapping), func(b *testing.B) {
			h := newHarness(b, nil)
			stop := make(chan struct{})
			done := make(chan struct{})
			go func() {
				defer close(done)
				text := configVersionText(b)
				for number := uint64(1); swapping; number++ {
					select {
					case <-stop:
						return
					default:
					}
					version, err := configstate.ParseVersion(number, []byte(text))
					if err != nil {
						b.Error(err)
						return
					}
					if _, err := h.proxy.OfferConfig(version); err != nil {
						b.Error(err)
						return
					}
				}
			}()
			b.ReportAllocs()
			for b.Loop() {
				if h.proxy.ConfigVersion().ClassOf("GET", "/chute/4711") < 0 {
					b.Fatal("GET /chute/4711 matches no class")
				}
			}
			close(stop)
			<-done
		})
	}
}

// BenchmarkApplyList measures the time to apply a full endpoint list, in which one entry in a hundred changed, to the
// list, the pools and the balancer.
func BenchmarkApplyList(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("endpoints-", n), func(b *testing.B) {
			h := newHarness(b, nil)
			updates := [2]*endpoints.Update{}
			for k := range updates {
				update := &endpoints.Update{Version: 1, Full: true, Endpoints: make([]endpoints.Endpoint, n)}
				for i := range update.Endpoints {
					update.Endpoints[i] = endpoints.Endpoint{ID: uint32(i + 1), Addr: "127.0.0.1:9000", State: "ready", Build: 1}
					if i%100 == 0 {
						update.Endpoints[i].Build += k
					}
				}
				updates[k] = update
			}
			list := &endpoints.List{}
			apply := func(update *endpoints.Update) {
				changes, err := list.Apply(update, 1)
				if err != nil {
					b.Fatal(err)
				}
				h.proxy.ApplyEndpoints(changes)
			}
			apply(updates[0])
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				apply(updates[i%2])
			}
		})
	}
}
