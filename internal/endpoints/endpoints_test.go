package endpoints

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	valid := Endpoint{ID: 1, Addr: "127.0.0.1:1", State: "ready", Build: 1}
	with := func(edit func(*Endpoint)) Endpoint { e := valid; edit(&e); return e }
	for want, entries := range map[string][]Endpoint{
		"":              {valid, with(func(e *Endpoint) { e.ID, e.State, e.Addr = 2, "gone", "" })},
		"no id":         {with(func(e *Endpoint) { e.ID = 0 })},
		"named twice":   {valid, valid},
		"unknown state": {with(func(e *Endpoint) { e.State = "well" })},
		"no HOST:PORT":  {with(func(e *Endpoint) { e.Addr = "here" })},
		"build -1":      {with(func(e *Endpoint) { e.Build = -1 })},
		"below 0":       {with(func(e *Endpoint) { e.Weight = -1 })},
		"units;":        make([]Endpoint, maxEndpoints+1),
	} {
		err := (&Update{Endpoints: entries}).Check()
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// Each update gives what it changes.
func ExampleList_Apply() {
	l := &List{}
	apply := func(update Update) {
		changes, err := l.Apply(&update, 100)
		fmt.Print("version ", l.Version, " at ", l.At, " endpoints ", l.Len())
		if changes != nil {
			for _, e := range changes.Endpoints {
				fmt.Print(" ", e.ID, " ", e.State)
			}
		}
		fmt.Println("", err)
	}
	a, b := Endpoint{ID: 1, State: "ready"}, Endpoint{ID: 2, State: "ready"}
	apply(Update{Version: 5, Full: true, Endpoints: []Endpoint{a, b}})
	apply(Update{Version: 6, Age: 2, Endpoints: []Endpoint{{ID: 1, State: "gone"}, {ID: 3, State: "draining"}}})
	apply(Update{Version: 4, Endpoints: []Endpoint{a}})
	apply(Update{Version: 6})
	apply(Update{Version: 1, Full: true, Endpoints: []Endpoint{b}}) // the service has started anew
	// Output:
	// version 5 at 100 endpoints 2 1 ready 2 ready <nil>
	// version 6 at 98 endpoints 2 1 gone 3 draining <nil>
	// version 6 at 98 endpoints 2 changes of version 4 after version 6
	// version 6 at 100 endpoints 2 <nil>
	// version 1 at 100 endpoints 1 3 gone <nil>
}

// A kill while saving leaves the old file; a broken file is set aside and the list empty.
func TestSaveAndLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "units.json")
	if l, err := Load(file); err != nil || l.Len() != 0 {
		t.Fatal(l, err)
	}
	l, endpoint := &List{}, Endpoint{ID: 1, Addr: "127.0.0.1:1", State: "ready", Build: 2}
	if _, err := l.Apply(&Update{Version: 7, Full: true, Endpoints: []Endpoint{endpoint}}, 5); err != nil {
		t.Fatal(err)
	}
	if err := l.Save(file); err != nil {
		t.Fatal(err)
	}
	leftover := file + ".new-1"
	if err := os.WriteFile(leftover, []byte(`{"version":8,"un`), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := Load(file)
	if e, _ := loaded.Get(1); err != nil || loaded.Version != 7 || loaded.At != 5 || e != endpoint {
		t.Fatal(loaded, err)
	}
	if _, err := os.Stat(leftover); err == nil {
		t.Error("what the kill left was not removed")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{string(text[:len(text)/2]), "", `{"units":[{"id":1,"state":"odd"}]}`} {
		if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		loaded, err = Load(file)
		if err == nil || loaded.Len() != 0 || !strings.Contains(err.Error(), "set aside") {
			t.Errorf("%q: %v %v", bad, loaded, err)
		}
		if _, err := os.Stat(file); err == nil {
			t.Error("the broken file is still there")
		}
	}
	if aside, _ := filepath.Glob(file + ".bad-*"); len(aside) != 3 {
		t.Error(aside)
	}
	if err := l.Save(filepath.Join(file, "no", "such")); err == nil {
		t.Error("saved nowhere")
	}
}

// BenchmarkApply applies a new full version of a list of which one endpoint in a hundred changed.
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
