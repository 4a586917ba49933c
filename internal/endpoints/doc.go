// Package endpoints holds the list of endpoints as the list service sends it, and saves the last list on disk.
//
// The service sends Updates, which contain either the whole list or only changes. A List applies each update and returns
// the resulting changes, so that only changes are passed on. Instants and ages are float seconds, instants since the
// Unix epoch.
package endpoints
