package scenario

import (
	"fmt"
	"slices"
	"time"

	"flintspread/internal/fakes"
)

// QueryServers describes a scenario's Prometheus servers.
type QueryServers struct {
	Count         int     `edn:"servers" validate:"gt=0,lte=8"`
	ScrapeSeconds float64 `edn:"scrape" validate:"gt=0"` // time between two scrapes of the endpoints
}

// queryServerFaults are the faults that an event of kind "query-server" may inject.
var queryServerFaults = []fakes.QueryServerFault{
	fakes.FaultNoScrapes, fakes.FaultInflatesFailures, fakes.FaultHidesFailures, fakes.FaultSlow, fakes.FaultNoResponse, fakes.FaultTruncated, fakes.FaultTooManyRequests, fakes.FaultUnavailable,
	fakes.FaultRedirect, fakes.FaultPartialResult, fakes.FaultOldTimestamps, fakes.FaultTooManySeries, fakes.FaultNotJSON, fakes.FaultConnectionReset,
}

// startQueryServers starts the query servers, if the script has any, and scrapes the endpoints for them until the
// scenario ends.
func (r *runner) startQueryServers() error {
	r.script.queryServerURLs = nil
	if r.script.QueryServers == nil {
		return nil
	}
	for range r.script.QueryServers.Count {
		server, err := fakes.StartQueryServer(r.clock)
		if err != nil {
			return err
		}
		r.queryServers = append(r.queryServers, server)
		r.script.queryServerURLs = append(r.script.queryServerURLs, server.URL)
		r.goroutines.Go(func() {
			<-r.ctx.Done()
			server.Stop()
		})
	}
	r.goroutines.Go(func() {
		ticker := time.NewTicker(duration(r.script.QueryServers.ScrapeSeconds))
		defer ticker.Stop()
		for {
			r.scrape()
			select {
			case <-r.ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	return nil
}

// scrape collects the metrics of all endpoints and adds the samples to each query server.
func (r *runner) scrape() {
	var samples []fakes.Sample
	r.mu.Lock()
	for _, endpoint := range r.endpoints {
		samples = append(samples, endpoint.Metrics()...)
	}
	r.mu.Unlock()
	at := r.clock()
	for _, server := range r.queryServers {
		server.AddSamples(at, samples)
	}
}

// injectQueryServerFault injects a fault into the query server that the event names, or into all of them if it names
// none. A fault without a duration stays until the end of the scenario.
func (r *runner) injectQueryServerFault(event Event) {
	fault := fakes.QueryServerFault(event.Fault)
	if !slices.Contains(queryServerFaults, fault) || event.Server > len(r.queryServers) {
		r.addError(fmt.Errorf("event at %g s: cannot inject fault %q into query server %d: the fault must be one of %q, "+
			"and the server 0 (all) to %d", event.At, event.Fault, event.Server, queryServerFaults, len(r.queryServers)))
		return
	}
	for i, server := range r.queryServers {
		if event.Server != 0 && event.Server != i+1 {
			continue
		}
		server.SetFault(fault)
		if event.Seconds > 0 {
			r.after(event.Seconds, func() { server.ClearFault(fault) })
		}
	}
}
