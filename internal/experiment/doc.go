// Package experiment runs loads against a real router between fast endpoints, as a grid of runs that is played in turn, kept on disk
// run by run, and summed up in one report. An experiment that was stopped goes on where it was.
//
// Durations are float64 seconds, rates are requests a second, shares fractions of 1. The keys of an experiment's file are the
// operators' words.
package experiment
