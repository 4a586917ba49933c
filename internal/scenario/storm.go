package scenario

import (
	"fmt"
	"math/rand/v2"
	"net"
	"regexp"
	"strings"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"flintspread/internal/endpoints"
	"flintspread/internal/fakes"
)

// Storm is a control service that sends a version of the settings each Every seconds, one in three of them bad.
type Storm struct {
	Every float64
}

// storm serves the list and the documents of all relays over the discovery protocol, a service for each.
type storm struct {
	r       *run
	control map[string]*fakes.Control // by relay
	address map[string]string
	sent    int
	bad     int
}

func (r *run) newStorm() (*storm, error) {
	s := &storm{r: r, control: map[string]*fakes.Control{}, address: map[string]string{}}
	for i := range r.script.Relays {
		name := fmt.Sprintf("r%d", i+1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.address[name], s.control[name] = l.Addr().String(), fakes.StartControl(l, insecure.NewCredentials())
		s.control[name].Relay = name
	}
	r.list.Mirror(func(relay string, version uint64, units []endpoints.Endpoint) {
		if c := s.control[relay]; c != nil {
			c.Set(fakes.UnitsResponse(relay, version+1, units))
		}
	}, s.names())
	return s, nil
}

func (s *storm) names() (names []string) {
	for i := range s.r.script.Relays {
		names = append(names, fmt.Sprintf("r%d", i+1))
	}
	return names
}

// blow sends versions until the day ends.
func (s *storm) blow() {
	rnd := rand.New(rand.NewPCG(s.r.script.Seed, 4))
	text := "{:schema 1" + limits + string(s.r.script.shared()) + s.r.script.routes() + "}"
	for n := uint64(1); s.r.ctx.Err() == nil; n++ {
		doc := regexp.MustCompile(`:body-bytes \d+`).ReplaceAllString(text, fmt.Sprintf(":body-bytes %d", 100000+n))
		if rnd.IntN(3) == 0 {
			doc = spoil(doc, rnd.IntN(4))
			s.bad++
		}
		s.sent++
		for _, c := range s.control {
			c.Set(fakes.DocumentResponse(c.Relay, n, 0, doc))
		}
		select {
		case <-s.r.ctx.Done():
		case <-time.After(time.Duration(s.r.script.Storm.Every * float64(time.Second))):
		}
	}
}

// spoil makes a document that must be turned down.
func spoil(doc string, how int) string {
	switch how {
	case 0:
		return doc[:len(doc)*2/3]
	case 1: // no trial, whatever the stage
		return regexp.MustCompile(`:caps \[[^]]*\]`).ReplaceAllString(doc, ":caps [0 0 0]")
	case 2:
		return regexp.MustCompile(`:window [\d.]+ :grace [\d.]+`).ReplaceAllString(doc, ":window 1 :grace 2")
	}
	return strings.Replace(doc, ":deliveries", ":delivery", 1)
}

// Versions is what became of those that a storm sent.
type Versions struct {
	Sent       int `json:"sent"` // to each relay
	Bad        int `json:"bad"`  // of them
	Taken      int `json:"taken"`
	TurnedDown int `json:"turned_down"`
}

func (v *Versions) String() string {
	return fmt.Sprintf("%d versions to each relay, %d of them bad; %d taken, %d turned down", v.Sent, v.Bad, v.Taken, v.TurnedDown)
}

// outcome counts what the relays answered, and ends the services.
func (s *storm) outcome() *Versions {
	v := &Versions{Sent: s.sent, Bad: s.bad}
	for _, c := range s.control {
		for _, l := range c.Log() {
			switch {
			case strings.HasPrefix(l, "Document ACK"):
				v.Taken++
			case strings.HasPrefix(l, "Document NACK"):
				v.TurnedDown++
			}
		}
		c.Stop()
	}
	return v
}
