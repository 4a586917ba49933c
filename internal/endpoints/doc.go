// Package endpoints holds the list of endpoints as the list service sends it, and stores the last one on disk.
//
// The service sends Updates, which contain either the whole list or only changes. A List applies them and returns what
// has changed, so that only changes are passed on. Instants and ages are float seconds, instants since the Unix epoch.
package endpoints
