// Package experiment measures a real router process with fast fake endpoints under load. An experiment is a grid of
// runs: each variant of the router at each rate, repeated. Each run's result is saved to disk, and a report summarizes
// all of them. An interrupted experiment resumes with the runs that are missing.
//
// Durations are float64 seconds, rates are requests per second, shares are fractions of 1. The keys of an experiment's
// file are part of the operators' interface.
package experiment
