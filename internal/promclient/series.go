package promclient

import (
	"slices"
	"strconv"

	"github.com/prometheus/common/model"

	"flintspread/internal/config"
	"flintspread/internal/metricsanalysis"
)

// seriesOf converts rows to series by the endpoint and build in their labels, and returns the number of rows whose
// endpoint is unknown.
func (p *Poller) seriesOf(query *config.Query, rows []Row) (list []metricsanalysis.Series, unknown int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		endpoint, build, known := p.identify(query, row.Labels)
		if !known {
			unknown++
			continue
		}
		list = append(list, metricsanalysis.Series{Endpoint: endpoint, Build: build, Points: row.Points})
	}
	return slices.Clip(list), unknown
}

// identify reads the endpoint and the build from the labels of a series. If no label holds the build, it is taken from
// the endpoint list. The caller holds the lock.
func (p *Poller) identify(query *config.Query, labels model.Metric) (endpoint uint32, build int, known bool) {
	label := string(labels[model.LabelName(query.EndpointLabel)])
	endpoint, known = p.idByAddress[label]
	if query.EndpointLabelKind == labelledByID {
		id, err := strconv.ParseUint(label, 10, 32)
		endpoint, known = uint32(id), err == nil
	}
	build, listed := p.buildByID[endpoint]
	if query.BuildLabel != "" {
		number, err := strconv.Atoi(string(labels[model.LabelName(query.BuildLabel)]))
		build, known = number, known && err == nil
	}
	return endpoint, build, known && listed
}
