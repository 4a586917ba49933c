package configstate

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"flintspread/internal/config"
	"flintspread/internal/policy"
)

// Version is one version of the configuration, parsed and validated independently of other versions. It does not change
// once it has been applied.
type Version struct {
	Number              uint64 // increases with each version; 0 is the configuration file that the program started with
	Hash                uint64 // hash of Text
	Text                []byte
	Document            *config.Document
	Policy              *policy.Config // nil until the version is applied
	RequiredListVersion uint64         // oldest endpoint list version that the version may be applied with; 0: any
	classIndex          map[string]int // index in Policy.Classes by class name; nil until the version is applied
}

// VersionID identifies a version by its content: a mended text under the same number is another version.
type VersionID struct {
	Number uint64
	Hash   uint64 // of the text; 0: not known, from a program that tells only the number
}

// IDOf returns the identity of a text, whether it is valid or not.
func IDOf(number uint64, text []byte) VersionID { return VersionID{number, xxhash.Sum64(text)} }

// Matches reports whether an identity means a version, as far as it tells.
func (id VersionID) Matches(version *Version) bool {
	return id.Number == version.Number && (id.Hash == 0 || id.Hash == version.Hash)
}

// ParseVersion parses and validates a version's text like a configuration file.
func ParseVersion(number uint64, text []byte) (*Version, error) {
	document, err := config.ParseDocument(fmt.Sprintf("version-%d", number), text)
	if err != nil {
		return nil, err
	}
	return &Version{Number: number, Hash: IDOf(number, text).Hash, Text: text, Document: document}, nil
}

// ID returns the version's identity.
func (v *Version) ID() VersionID { return VersionID{v.Number, v.Hash} }

// ClassOf returns the index in Policy.Classes of the class that a request is routed to, or -1 if no route matches.
func (v *Version) ClassOf(method, path string) int {
	class := v.Document.ClassOf(method, path)
	if class < 0 {
		return -1
	}
	return v.classIndex[v.Document.Classes[class].Name]
}

// ClassNamed returns the index in Policy.Classes of the class with the given name, or -1 if there is none.
func (v *Version) ClassNamed(name []byte) int {
	if index, ok := v.classIndex[string(name)]; ok {
		return index
	}
	return -1
}
