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

// ConfigStorm sends configuration versions from control services, one in three of them bad.
type ConfigStorm struct {
	IntervalSeconds float64 // between two versions
}

// badVersionOneIn is how rare bad versions are.
const badVersionOneIn = 3

// configStorm serves the endpoint list and the configuration versions of all relays over xDS, with a control service for each.
type configStorm struct {
	runner    *runner
	services  map[string]*fakes.ControlService // by relay
	addresses map[string]string                // by relay
	sent      int
	bad       int
}

func (r *runner) newConfigStorm() (*configStorm, error) {
	s := &configStorm{runner: r, services: map[string]*fakes.ControlService{}, addresses: map[string]string{}}
	names := r.script.relayNames()
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.addresses[name], s.services[name] = l.Addr().String(), fakes.StartControlService(l, insecure.NewCredentials())
		s.services[name].RouterGroup = name
	}
	r.list.Mirror(func(relay string, version uint64, list []endpoints.Endpoint) {
		s.services[relay].Set(fakes.EndpointsResponse(relay, version+1, list))
	}, names)
	return s, nil
}

var bodyBytes = regexp.MustCompile(`:body-bytes \d+`)

// send sends versions until the scenario ends. Each differs from the others in a bound that does not matter.
func (s *configStorm) send() {
	rnd := rand.New(rand.NewPCG(s.runner.script.Seed, 4))
	script := s.runner.script
	text := "{:schema 1" + boundsEntries + string(script.policyEntries()) + script.routesEntry() + "}"
	for number := uint64(1); s.runner.ctx.Err() == nil; number++ {
		document := bodyBytes.ReplaceAllString(text, fmt.Sprintf(":body-bytes %d", 100000+number))
		if rnd.IntN(badVersionOneIn) == 0 {
			document = spoil(document, rnd.IntN(4))
			s.bad++
		}
		s.sent++
		for _, service := range s.services {
			service.Set(fakes.DocumentResponse(service.RouterGroup, number, 0, document))
		}
		select {
		case <-s.runner.ctx.Done():
		case <-time.After(duration(script.ConfigStorm.IntervalSeconds)):
		}
	}
}

var (
	canaryLimitsEntry   = regexp.MustCompile(`:caps \[[^]]*\]`)
	windowAndGraceEntry = regexp.MustCompile(`:window [\d.]+ :grace [\d.]+`)
)

// spoil makes a document that must be rejected, in one of four ways.
func spoil(document string, way int) string {
	switch way {
	case 0:
		return document[:len(document)*2/3]
	case 1: // no canary attempts, whatever the stage
		return canaryLimitsEntry.ReplaceAllString(document, ":caps [0 0 0]")
	case 2:
		return windowAndGraceEntry.ReplaceAllString(document, ":window 1 :grace 2")
	}
	return strings.Replace(document, ":deliveries", ":delivery", 1)
}

// ConfigVersions counts what became of the versions of a config storm.
type ConfigVersions struct {
	Sent     int `json:"sent"`        // to each relay
	Bad      int `json:"bad"`         // of them
	Accepted int `json:"taken"`       // by all relays
	Rejected int `json:"turned_down"` // by all relays
}

// String words the counts for a report.
func (v *ConfigVersions) String() string {
	return fmt.Sprintf("%d versions to each relay, %d of them bad; %d taken, %d turned down", v.Sent, v.Bad, v.Accepted, v.Rejected)
}

// outcome counts what the relays answered, and stops the services.
func (s *configStorm) outcome() *ConfigVersions {
	versions := &ConfigVersions{Sent: s.sent, Bad: s.bad}
	for _, service := range s.services {
		for _, line := range service.Log() {
			switch {
			case strings.HasPrefix(line, "Document ACK"):
				versions.Accepted++
			case strings.HasPrefix(line, "Document NACK"):
				versions.Rejected++
			}
		}
		service.Stop()
	}
	return versions
}
