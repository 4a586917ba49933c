// Package endpoints holds the list of endpoints as the list service sends it, and keeps the last one on disk.
//
// The service sends Updates, either the whole list or what has changed. A List applies them and tells what is new, so that only
// changes are passed on. Instants and ages are float seconds, instants since 1970.
package endpoints
