package endpoints

import (
	"fmt"
	"testing"
)

// Each update returns what it changes.
func ExampleList_Apply() {
	l := &List{}
	apply := func(update Update) {
		changes, err := l.Apply(&update, 100)
		fmt.Print("version ", l.Version, " at ", l.ConfirmedAt, " endpoints ", l.Len())
		if changes != nil {
			for _, e := range changes.Endpoints {
				fmt.Print(" ", e.ID, " ", e.State)
			}
		}
		fmt.Println("", err)
	}
	a, b := Endpoint{ID: 1, State: "ready"}, Endpoint{ID: 2, State: "ready"}
	apply(Update{Version: 5, Full: true, Endpoints: []Endpoint{a, b}})
	apply(Update{Version: 6, AgeSeconds: 2, Endpoints: []Endpoint{{ID: 1, State: "gone"}, {ID: 3, State: "draining"}}})
	apply(Update{Version: 4, Endpoints: []Endpoint{a}})
	apply(Update{Version: 6})
	apply(Update{Version: 1, Full: true, Endpoints: []Endpoint{b}}) // the service has restarted
	// Output:
	// version 5 at 100 endpoints 2 1 ready 2 ready <nil>
	// version 6 at 98 endpoints 2 1 gone 3 draining <nil>
	// version 6 at 98 endpoints 2 changes of version 4 after version 6
	// version 6 at 100 endpoints 2 <nil>
	// version 1 at 100 endpoints 1 3 gone <nil>
}

// BenchmarkApply applies a full update of a new version in which one endpoint in a hundred has changed.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("endpoints-", n), func(b *testing.B) {
			full := func(version int) *Update {
				u := &Update{Version: uint64(version), Full: true, Endpoints: make([]Endpoint, n)}
				for i := range u.Endpoints {
					u.Endpoints[i] = Endpoint{ID: uint32(i + 1), Addr: "127.0.0.1:9000", State: "ready", Build: 1}
					if i%100 == 0 {
						u.Endpoints[i].Build = 1 + version%2
					}
				}
				return u
			}
			updates := [2]*Update{full(0), full(1)}
			list := &List{}
			if _, err := list.Apply(updates[0], 1); err != nil {
				b.Fatal(err)
			}
			changed := 0
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				changes, err := list.Apply(updates[i%2], 1)
				if err != nil {
					b.Fatal(err)
				}
				changed = len(changes.Endpoints)
			}
			b.ReportMetric(float64(changed), "changed")
		})
	}
}
