package router

import (
	"testing"

	"flintspread/internal/config"
)

// A renamed field of hashedConfig changes the hash, and a controller of another version then reports that its routers
// have other settings. The expected values are those that the program of commit abfd351 sends for the same files.
func TestConfigHashAcrossVersions(t *testing.T) {
	router, err := config.ReadRouter("../../deploy/edge.edn")
	if err != nil {
		t.Fatal(err)
	}
	controller, err := config.ReadController("../../deploy/plan.edn")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		file string
		got  uint64
		want uint64
	}{
		{"edge.edn", ConfigHash(router.Policy()), 3875345125686739346},
		{"plan.edn", ConfigHash(controller.Policy()), 3875345125686739346},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("hash %d, want %d", test.got, test.want)
			}
		})
	}
}
