package endpoints

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	fine := Endpoint{ID: 1, Addr: "127.0.0.1:1", State: "ready", Build: 1}
	with := func(edit func(*Endpoint)) Endpoint { u := fine; edit(&u); return u }
	for want, units := range map[string][]Endpoint{
		"":              {fine, with(func(u *Endpoint) { u.ID, u.State, u.Addr = 2, "gone", "" })},
		"no id":         {with(func(u *Endpoint) { u.ID = 0 })},
		"named twice":   {fine, fine},
		"unknown state": {with(func(u *Endpoint) { u.State = "well" })},
		"no HOST:PORT":  {with(func(u *Endpoint) { u.Addr = "here" })},
		"build -1":      {with(func(u *Endpoint) { u.Build = -1 })},
		"below 0":       {with(func(u *Endpoint) { u.Weight = -1 })},
		"units;":        make([]Endpoint, mostUnits+1),
	} {
		err := (&Update{Endpoints: units}).Check()
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

func Example_changes() {
	l := &List{}
	take := func(line Update) {
		changes, err := l.Apply(&line, 100)
		fmt.Print("version ", l.Version, " at ", l.At, " units ", l.Len())
		if changes != nil {
			for _, u := range changes.Endpoints {
				fmt.Print(" ", u.ID, " ", u.State)
			}
		}
		fmt.Println("", err)
	}
	a, b := Endpoint{ID: 1, State: "ready"}, Endpoint{ID: 2, State: "ready"}
	take(Update{Version: 5, Full: true, Endpoints: []Endpoint{a, b}})
	take(Update{Version: 6, Age: 2, Endpoints: []Endpoint{{ID: 1, State: "gone"}, {ID: 3, State: "draining"}}})
	take(Update{Version: 4, Endpoints: []Endpoint{a}})
	take(Update{Version: 6})
	take(Update{Version: 1, Full: true, Endpoints: []Endpoint{b}}) // the service began anew
	// Output:
	// version 5 at 100 units 2 1 ready 2 ready <nil>
	// version 6 at 98 units 2 1 gone 3 draining <nil>
	// version 6 at 98 units 2 changes of version 4 after version 6
	// version 6 at 100 units 2 <nil>
	// version 1 at 100 units 1 3 gone <nil>
}

// A kill while saving leaves the old file; a broken file is set aside and the list empty.
func TestSaveAndLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "units.json")
	if l, err := Load(file); err != nil || l.Len() != 0 {
		t.Fatal(l, err)
	}
	l, one := &List{}, Endpoint{ID: 1, Addr: "127.0.0.1:1", State: "ready", Build: 2}
	if _, err := l.Apply(&Update{Version: 7, Full: true, Endpoints: []Endpoint{one}}, 5); err != nil {
		t.Fatal(err)
	}
	if err := l.Save(file); err != nil {
		t.Fatal(err)
	}
	torn := file + ".new-1"
	if err := os.WriteFile(torn, []byte(`{"version":8,"un`), 0o600); err != nil {
		t.Fatal(err)
	}
	back, err := Load(file)
	if u, _ := back.Get(1); err != nil || back.Version != 7 || back.At != 5 || u != one {
		t.Fatal(back, err)
	}
	if _, err := os.Stat(torn); err == nil {
		t.Error("what the kill left was not swept")
	}
	text, _ := os.ReadFile(file)
	for _, bad := range []string{string(text[:len(text)/2]), "", `{"units":[{"id":1,"state":"odd"}]}`} {
		if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		back, err = Load(file)
		if err == nil || back.Len() != 0 || !strings.Contains(err.Error(), "set aside") {
			t.Errorf("%q: %v %v", bad, back, err)
		}
		if _, err := os.Stat(file); err == nil {
			t.Error("the broken file still stands")
		}
	}
	if aside, _ := filepath.Glob(file + ".bad-*"); len(aside) != 3 {
		t.Error(aside)
	}
	if err := l.Save(filepath.Join(file, "no", "such")); err == nil {
		t.Error("saved nowhere")
	}
}

// BenchmarkTake is a new full version of a list of which one unit in a hundred changed.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("units-", n), func(b *testing.B) {
			line := func(version int) *Update {
				l := &Update{Version: uint64(version), Full: true, Endpoints: make([]Endpoint, n)}
				for i := range l.Endpoints {
					l.Endpoints[i] = Endpoint{ID: uint32(i + 1), Addr: "127.0.0.1:9000", State: "ready", Build: 1}
					if i%100 == 0 {
						l.Endpoints[i].Build = 1 + version%2
					}
				}
				return l
			}
			lines := [2]*Update{line(0), line(1)}
			list := &List{}
			if _, err := list.Apply(lines[0], 1); err != nil {
				b.Fatal(err)
			}
			changed := 0
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				changes, err := list.Apply(lines[i%2], 1)
				if err != nil {
					b.Fatal(err)
				}
				changed = len(changes.Endpoints)
			}
			b.ReportMetric(float64(changed), "changed")
		})
	}
}
