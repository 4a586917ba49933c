package endpoints

import (
	"fmt"
	"testing"
)

// Apply returns the changes that each update makes. A partial update of an older version is rejected; a full one is
// applied.
func ExampleList_Apply() {
	list := &List{}
	apply := func(update Update) {
		changes, err := list.Apply(&update, 100)
		fmt.Print("version ", list.Version, " at ", list.ConfirmedAt, " endpoints ", list.Len())
		if changes != nil {
			for _, e := range changes.Endpoints {
				fmt.Print(" ", e.ID, " ", e.State)
			}
		}
		fmt.Println("", err)
	}
	first, second := Endpoint{ID: 1, State: "ready"}, Endpoint{ID: 2, State: "ready"}
	apply(Update{Version: 5, Full: true, Endpoints: []Endpoint{first, second}})
	apply(Update{Version: 6, AgeSeconds: 2, Endpoints: []Endpoint{{ID: 1, State: "gone"}, {ID: 3, State: "draining"}}})
	apply(Update{Version: 4, Endpoints: []Endpoint{first}})
	apply(Update{Version: 6})
	apply(Update{Version: 1, Full: true, Endpoints: []Endpoint{second}}) // as after a restart of the service
	// Output:
	// version 5 at 100 endpoints 2 1 ready 2 ready <nil>
	// version 6 at 98 endpoints 2 1 gone 3 draining <nil>
	// version 6 at 98 endpoints 2 changes of version 4 after version 6
	// version 6 at 100 endpoints 2 <nil>
	// version 1 at 100 endpoints 1 3 gone <nil>
}

// BenchmarkApply applies full updates in each of which one endpoint in a hundred has changed.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("endpoints-", count), func(b *testing.B) {
			newUpdate := func(version int) *Update {
				update := &Update{Version: uint64(version), Full: true, Endpoints: make([]Endpoint, count)}
				for i := range update.Endpoints {
					update.Endpoints[i] = Endpoint{ID: uint32(i + 1), Addr: "127.0.0.1:9000", State: "ready", Build: 1}
					if i%100 == 0 {
						update.Endpoints[i].Build = 1 + version%2
					}
				}
				return update
			}
			updates := [2]*Update{newUpdate(0), newUpdate(1)}
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
