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

// ConfigStorm configures control services that keep sending configuration versions, about one in three of them invalid.
type ConfigStorm struct {
	IntervalSeconds float64 // time between two versions
}

// badVersionOneIn is the N in "one version in N is invalid, on average".
const badVersionOneIn = 3

// configStorm serves the endpoint list and the configuration versions of all relays over xDS, from one control service
// per relay.
type configStorm struct {
	runner    *runner
	services  map[string]*fakes.ControlService // by relay name
	addresses map[string]string                // by relay name
	sent      int                              // versions sent to each relay
	bad       int                              // invalid versions among them
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

// sendVersions sends versions until the scenario ends. Valid versions differ only in :body-bytes, a limit that does not
// affect the scenario.
func (s *configStorm) sendVersions() {
	rnd := rand.New(rand.NewPCG(s.runner.script.Seed, 4))
	script := s.runner.script
	text := "{:schema 1" + boundsEntries + string(script.policyEntries()) + script.routesEntry() + "}"
	for number := uint64(1); s.runner.ctx.Err() == nil; number++ {
		document := bodyBytes.ReplaceAllString(text, fmt.Sprintf(":body-bytes %d", 100000+number))
		if rnd.IntN(badVersionOneIn) == 0 {
			document = corruptDocument(document, rnd.IntN(4))
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

// corruptDocument returns a document that relays must reject. way, from 0 to 3, selects what is wrong with it.
func corruptDocument(document string, way int) string {
	switch way {
	case 0: // truncated
		return document[:len(document)*2/3]
	case 1: // no canary attempts in any rollout stage
		return canaryLimitsEntry.ReplaceAllString(document, ":caps [0 0 0]")
	case 2: // a canary window shorter than the grace
		return windowAndGraceEntry.ReplaceAllString(document, ":window 1 :grace 2")
	}
	// A key that the schema does not have.
	return strings.Replace(document, ":deliveries", ":delivery", 1)
}

// ConfigVersions counts the versions of a config storm by the relays' answers.
type ConfigVersions struct {
	Sent     int `json:"sent"`        // versions sent to each relay
	Bad      int `json:"bad"`         // invalid versions among those sent
	Accepted int `json:"taken"`       // ACKs of all relays together
	Rejected int `json:"turned_down"` // NACKs of all relays together
}

// String formats the counts for a report.
func (v *ConfigVersions) String() string {
	return fmt.Sprintf("%d versions to each relay, %d of them bad; %d taken, %d turned down", v.Sent, v.Bad, v.Accepted, v.Rejected)
}

// outcome counts the relays' ACKs and NACKs, and stops the control services.
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
