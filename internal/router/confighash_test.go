package router

import (
	"testing"

	"flintspread/internal/config"
)

// TestConfigHashAcrossVersions guards against renamed fields, which would make routers and controllers of different
// versions report different settings. The values are those that the program of commit abfd351 sends for the same files.
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
