package promclient

import (
	"slices"
	"strconv"

	"github.com/prometheus/common/model"

	"flintspread/internal/config"
	"flintspread/internal/metricsanalysis"
)

// seriesOf converts labeled series to those of endpoints and builds. It returns the number of series whose labels do not
// identify a listed endpoint and a build.
func (p *Poller) seriesOf(query *config.Query, labeled []LabeledSeries) (list []metricsanalysis.Series, unknown int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, series := range labeled {
		endpoint, build, known := p.identify(query, series.Labels)
		if !known {
			unknown++
			continue
		}
		list = append(list, metricsanalysis.Series{Endpoint: endpoint, Build: build, Points: series.Points})
	}
	return slices.Clip(list), unknown
}

// identify returns the endpoint and the build of a series. The build comes from the query's build label if one is
// configured, otherwise from the endpoint list. known is false if the endpoint is not listed or the build label does not
// hold a number. The caller holds the lock.
func (p *Poller) identify(query *config.Query, labels model.Metric) (endpoint uint32, build int, known bool) {
	value := string(labels[model.LabelName(query.EndpointLabel)])
	endpoint, known = p.idByAddress[value]
	if query.EndpointLabelKind == labelKindID {
		id, err := strconv.ParseUint(value, 10, 32)
		endpoint, known = uint32(id), err == nil
	}
	build, listed := p.buildByID[endpoint]
	if query.BuildLabel != "" {
		number, err := strconv.Atoi(string(labels[model.LabelName(query.BuildLabel)]))
		build, known = number, known && err == nil
	}
	return endpoint, build, known && listed
}
