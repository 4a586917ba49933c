package experiment

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"flintspread/internal/loadgen"
)

// TestExperimentResumes interrupts an experiment and starts it again. It must resume with the missing runs, repeat
// none, and refuse the folder of a different experiment.
func TestExperimentResumes(t *testing.T) {
	bin, dir := t.TempDir(), t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "flintspread/cmd/flintspread-router").CombinedOutput(); err != nil {
		t.Fatalf("failed to build the router: %v: %s", err, out)
	}
	file := filepath.Join(dir, "x.edn")
	text := `{:title "small" :seed 1 :repeats 1 :length 0.5 :rates [100 200] :units 2 :conns 50 :lag 0.5
 :variants [{:name "shed" :shed true :memory 2000000} {:name "plain" :shed false :memory 2000000}]
 :faults [{:kind :pause :at 0.1 :for 0.1}]}`
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	x, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	out := filepath.Join(dir, "out")
	ctx, cancel := context.WithCancel(context.Background())
	err = x.Run(ctx, bin, out, cancelAfterLines{cancel, 2, new(int)})
	first, _ := ReadResults(out)
	if err == nil || len(first) != 2 {
		t.Fatalf("interrupted experiment: error %v, %d saved runs, want an error and 2 runs", err, len(first))
	}
	var progress bytes.Buffer
	if err := x.Run(context.Background(), bin, out, &progress); err != nil {
		t.Fatal(err)
	}
	all, err := ReadResults(out)
	if err != nil || len(all) != 4 || strings.Count(progress.String(), "goodput") != 2 {
		t.Fatalf("resumed experiment: error %v, %d saved runs, want 4, 2 of them new: %s", err, len(all), progress.String())
	}
	for _, r := range all {
		if r.Load.Offered < 20 || r.Load.Service < 0.5 {
			t.Errorf("%s at %g: too few requests offered or served: %+v", r.Variant, r.Rate, r.Load)
		}
	}
	report, err := os.ReadFile(filepath.Join(out, "report.md"))
	rows := regexp.MustCompile(`(?m)^\| (100|200) \|`).FindAllString(string(report), -1)
	if err != nil || len(rows) != 4 {
		t.Errorf("%d rows, want 4, error %v: %s", len(rows), err, report)
	}
	other := *x
	other.Seed = 2
	if err := other.Run(context.Background(), bin, out, io.Discard); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Errorf("folder of a different experiment: got error %v", err)
	}
}

// cancelAfterLines is a writer that cancels a context at the nth write. Run writes each line with one write.
type cancelAfterLines struct {
	cancel context.CancelFunc
	n      int
	lines  *int
}

func (s cancelAfterLines) Write(p []byte) (int, error) {
	if *s.lines++; *s.lines == s.n {
		s.cancel()
	}
	return len(p), nil
}

// TestCompare checks the three verdicts: 10% more goodput with little spread is a difference, the same spread around
// the same median is noise, and two runs are too few.
func TestCompare(t *testing.T) {
	folder := func(goodput ...float64) string {
		dir := t.TempDir()
		if err := os.Mkdir(filepath.Join(dir, "runs"), 0o755); err != nil {
			t.Fatal(err)
		}
		for i, g := range goodput {
			r := &Result{Variant: "shed", Rate: 1, Repeat: i, Load: &loadgen.Outcome{Goodput: g, Valid: true}}
			if err := loadgen.SaveJSON(filepath.Join(dir, "runs", string(rune('a'+i))+".json"), r); err != nil {
				t.Fatal(err)
			}
		}
		return dir
	}
	a := folder(100, 101, 99, 100, 102)
	for want, b := range map[string]string{": a difference": folder(110, 111, 109, 112, 110), ": noise": folder(101, 99, 100, 102, 98), "too few": folder(110, 112)} {
		var w bytes.Buffer
		if err := Compare(a, b, &w); err != nil || !strings.Contains(w.String(), want) {
			t.Errorf("want %q: got %s, error %v", want, w.String(), err)
		}
	}
	if err := Compare(a, t.TempDir(), io.Discard); err == nil {
		t.Error("Compare accepted a folder without runs")
	}
}
