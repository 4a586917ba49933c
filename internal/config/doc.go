// Package config reads the EDN settings files of routers and controllers, and the document that a control service may
// replace while they run.
//
// A file is validated completely before it is used: an unknown, missing, duplicate, mistyped or invalid key is a
// *FieldError with file, line and key. There are no defaults: a missing key is an error unless its field's comment says
// that it is optional.
//
// Durations are float64 seconds, sizes are bytes, shares are fractions of 1. docs/glossary.md maps the keys of the
// files to the names of the fields.
package config
