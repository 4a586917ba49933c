// Package config reads the EDN files that routers and controllers are started with, and the document that a control service may
// replace while they run.
//
// A file is checked whole before anything listens: an unknown, missing, doubled, mistyped or invalid key is a *FieldError with file,
// line and key. There are no defaults: a key that the file leaves out is an error unless its field's comment calls it optional.
//
// Durations are float64 seconds, sizes bytes, shares fractions of 1. The keys of the files are the operators' words; docs/glossary.md
// maps them to the names of the fields.
package config
