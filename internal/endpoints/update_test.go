package endpoints

import (
	"strings"
	"testing"
)

func TestCheckRejectsInvalidEntries(t *testing.T) {
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
			t.Errorf("error %v, want one that contains %q (\"\": no error)", err, want)
		}
	}
}
