package controller

import (
	"context"
	"slices"
	"sync"

	"flintspread/internal/controlrpc/linkpb"
	"flintspread/internal/metricsanalysis"
	"flintspread/internal/policy"
	"flintspread/internal/promclient"
)

// goneState is an endpoint's state once it has left the list.
const goneState = "gone"

// metricsEvidence joins the controller to its query servers: it gives the policy the counts merged from their answers, and
// the routers the health marks.
type metricsEvidence struct {
	controller *Controller
	poller     *promclient.Poller

	mu           sync.Mutex // orders the analysis's calls; may be taken under the controller's lock, never the other way round
	analysis     *metricsanalysis.Analyzer
	updated      bool // an answer came since the counts were given to the policy
	marks        []policy.HealthMark
	marksVersion uint64 // grows when the routers have to get the marks again
	marksAt      float64
}

// newMetricsEvidence makes the evidence from the configured query servers; run starts it.
func (c *Controller) newMetricsEvidence() (m *metricsEvidence, err error) {
	health := c.settings.Health
	m = &metricsEvidence{controller: c, analysis: metricsanalysis.New(health.Questions(), len(health.Servers))}
	m.poller, err = promclient.NewPoller(health, c.log, c.now, m.applyAnswer)
	return m, err
}

// run queries the servers until ctx ends.
func (m *metricsEvidence) run(ctx context.Context) { m.poller.Run(ctx) }

// applyAnswer enters one answer; the poller calls it from several goroutines.
func (m *metricsEvidence) applyAnswer(answer *metricsanalysis.Answer) metricsanalysis.AnswerResult {
	now := m.controller.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updated = true
	return m.analysis.ApplyAnswer(now, answer)
}

// setEndpoints gives the analysis and the poller the controller's endpoint list. The caller holds the controller's lock.
func (m *metricsEvidence) setEndpoints() {
	var analysed []metricsanalysis.Endpoint
	var fleet promclient.Fleet
	for endpoint := range m.controller.endpointList.All() {
		if endpoint.State == goneState {
			continue
		}
		analysed = append(analysed, metricsanalysis.Endpoint{ID: endpoint.ID, Build: endpoint.Build, StartedAt: endpoint.StartedAt})
		fleet.Endpoints = append(fleet.Endpoints, promclient.FleetEndpoint{ID: endpoint.ID, Addr: endpoint.Addr, Build: endpoint.Build})
		fleet.Builds = append(fleet.Builds, endpoint.Build)
	}
	slices.Sort(fleet.Builds)
	fleet.Builds = slices.Compact(fleet.Builds)
	m.mu.Lock()
	m.analysis.SetEndpoints(analysed)
	m.mu.Unlock()
	m.poller.SetFleet(fleet)
}

// setRelease tells the analysis which build is the newest. The caller holds the controller's lock.
func (m *metricsEvidence) setRelease(build int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.analysis.SetRelease(build)
}

// tick gives the policy the counts as of now and renews the marks in their period. It tells whether the routers should get
// the marks. The caller holds the controller's lock.
func (m *metricsEvidence) tick(now float64) (marksChanged bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	marksDue := now >= m.marksAt+metricsanalysis.MarksIntervalSeconds
	// Also without a new answer: what a silent server said goes stale.
	if m.updated || marksDue {
		m.controller.balancer.SetMetricsEvidence(m.analysis.Evidence(now))
		m.updated = false
	}
	if !marksDue {
		return false
	}
	marks := m.analysis.HealthMarks(now)
	m.marksAt = now
	if len(marks) == 0 && len(m.marks) == 0 {
		return false
	}
	m.marks = marks
	m.marksVersion++
	return true
}

// addMarks adds to an assignment the marks, if the router has another version of them. The caller holds the controller's lock.
func (m *metricsEvidence) addMarks(assignment *linkpb.View, now float64, routerVersion uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	assignment.MarksNo = m.marksVersion
	if routerVersion == m.marksVersion {
		return
	}
	assignment.HasMarks, assignment.MarksAge = true, max(0, now-m.marksAt)
	for _, mark := range m.marks {
		assignment.Marks = append(assignment.Marks,
			&linkpb.Mark{Unit: mark.Endpoint, Wrong: float32(mark.WrongShare), Ailing: float32(mark.DegradedShare)})
	}
}

// collect emits the metrics on marks and servers. The caller holds the controller's lock.
func (m *metricsEvidence) collect(now float64, gauge gaugeFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gauge(markedEndpointsDesc, float64(len(m.marks)))
	health := m.controller.settings.Health
	for i, query := range health.Queries {
		gauge(disputedEndpointsDesc, float64(m.analysis.DisputedEndpoints(query.Name)), query.Name)
		for j, server := range health.Servers {
			gauge(freshEndpointsDesc, float64(m.analysis.FreshEndpoints(now, i, j)), server.Name, query.Name)
		}
	}
}
