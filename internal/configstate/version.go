package configstate

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"flintspread/internal/config"
	"flintspread/internal/policy"
)

// Version is one version of the configuration, read and found to be consistent in itself. It does not change once it was
// applied.
type Version struct {
	Number              uint64 // grows; 0 is the file that the program started with
	Hash                uint64 // of Text
	Text                []byte
	Document            *config.Document
	Policy              *policy.Config // nil until it is applied
	RequiredListVersion uint64         // version of the endpoint list that it belongs with, 0: any
	classIndex          map[string]int // index in Policy.Classes by name of the class; nil until it is applied
}

// Read parses a version's text as the program parses its file.
func Read(number uint64, text []byte) (*Version, error) {
	document, err := config.ParseDocument(fmt.Sprintf("version-%d", number), text)
	if err != nil {
		return nil, err
	}
	return &Version{Number: number, Hash: xxhash.Sum64(text), Text: text, Document: document}, nil
}

// ClassOf gives the index in Policy.Classes of a request's class, -1 where no route matches.
func (v *Version) ClassOf(method, path string) int {
	class := v.Document.ClassOf(method, path)
	if class < 0 {
		return -1
	}
	return v.classIndex[v.Document.Classes[class].Name]
}

// ClassNamed gives the index in Policy.Classes of a class, -1 where none has the name.
func (v *Version) ClassNamed(name []byte) int {
	if index, ok := v.classIndex[string(name)]; ok {
		return index
	}
	return -1
}
