package promclient

import (
	"errors"
	"fmt"

	"github.com/prometheus/common/model"

	"flintspread/internal/metricsanalysis"
	"flintspread/internal/metricsanalysis/promquery"
)

// convertResult converts a query result to series. It returns an error if the result is not of the requested form.
func convertResult(value model.Value, form promquery.Form) ([]LabeledSeries, error) {
	switch value := value.(type) {
	case model.Vector:
		if form != promquery.Instant {
			return nil, errors.New("result is an instant vector, want a matrix (values over time)")
		}
		return convertVector(value)
	case model.Matrix:
		if form == promquery.Instant {
			return nil, errors.New("result is a matrix, want an instant vector (one value per series)")
		}
		return convertMatrix(value)
	case nil:
		return nil, errors.New("response has no result")
	default:
		return nil, fmt.Errorf("result is a %s, want a vector or a matrix", value.Type())
	}
}

// convertVector converts an instant vector, which has one value per series.
func convertVector(vector model.Vector) (list []LabeledSeries, err error) {
	for _, sample := range vector {
		if sample == nil || sample.Histogram != nil {
			return nil, errors.New("result has a native histogram, want numbers")
		}
		list = append(list, LabeledSeries{sample.Metric, []metricsanalysis.Point{toPoint(sample.Timestamp, sample.Value)}})
	}
	return list, nil
}

// convertMatrix converts a matrix, which has several values per series.
func convertMatrix(matrix model.Matrix) (list []LabeledSeries, err error) {
	for _, stream := range matrix {
		if stream == nil || len(stream.Histograms) > 0 {
			return nil, errors.New("result has native histograms, want numbers")
		}
		points := make([]metricsanalysis.Point, len(stream.Values))
		for i, pair := range stream.Values {
			points[i] = toPoint(pair.Timestamp, pair.Value)
			if i > 0 && points[i].At <= points[i-1].At {
				return nil, fmt.Errorf("series %s: timestamps do not increase", truncate(stream.Metric.String()))
			}
		}
		list = append(list, LabeledSeries{stream.Metric, points})
	}
	return list, nil
}

// toPoint converts a value and its timestamp, which model.Time holds in milliseconds.
func toPoint(at model.Time, value model.SampleValue) metricsanalysis.Point {
	return metricsanalysis.Point{At: float64(at) / 1000, Value: float64(value)}
}
