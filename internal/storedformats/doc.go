// Package storedformats holds files that earlier versions of the programs wrote, and tests that the present code reads them. Field names in
// files on disk are fixed: a program that was updated starts on what the one before it left.
package storedformats
