// Package storedformats contains files that earlier versions of the programs wrote, and tests that the present code
// reads them. Field names in stored files are fixed, because an updated program starts with the files of its
// predecessor.
package storedformats
