package promclient

import (
	"errors"
	"fmt"

	"github.com/prometheus/common/model"

	"flintspread/internal/metricsanalysis"
	"flintspread/internal/metricsanalysis/promquery"
)

// convertResult converts an answer to rows. It fails if the answer is not of the requested form.
func convertResult(value model.Value, form promquery.Form) ([]LabeledSeries, error) {
	switch value := value.(type) {
	case model.Vector:
		if form != promquery.Instant {
			return nil, errors.New("a vector, where samples over time were asked for")
		}
		return convertVector(value)
	case model.Matrix:
		if form == promquery.Instant {
			return nil, errors.New("a matrix, where one value a series was asked for")
		}
		return convertMatrix(value)
	case nil:
		return nil, errors.New("no result")
	default:
		return nil, fmt.Errorf("a %s, where series were asked for", value.Type())
	}
}

// convertVector reads one value per series.
func convertVector(vector model.Vector) (rows []LabeledSeries, err error) {
	for _, sample := range vector {
		if sample == nil || sample.Histogram != nil {
			return nil, errors.New("a histogram, where a number was asked for")
		}
		rows = append(rows, LabeledSeries{sample.Metric, []metricsanalysis.Point{toPoint(sample.Timestamp, sample.Value)}})
	}
	return rows, nil
}

// convertMatrix reads the values of each series over time.
func convertMatrix(matrix model.Matrix) (rows []LabeledSeries, err error) {
	for _, stream := range matrix {
		if stream == nil || len(stream.Histograms) > 0 {
			return nil, errors.New("histograms, where numbers were asked for")
		}
		points := make([]metricsanalysis.Point, len(stream.Values))
		for i, pair := range stream.Values {
			points[i] = toPoint(pair.Timestamp, pair.Value)
			if i > 0 && points[i].At <= points[i-1].At {
				return nil, fmt.Errorf("%s: times that do not go forward", truncate(stream.Metric.String()))
			}
		}
		rows = append(rows, LabeledSeries{stream.Metric, points})
	}
	return rows, nil
}

// toPoint converts a value and its timestamp, which Prometheus stores in milliseconds.
func toPoint(at model.Time, value model.SampleValue) metricsanalysis.Point {
	return metricsanalysis.Point{At: float64(at) / 1000, Value: float64(value)}
}
