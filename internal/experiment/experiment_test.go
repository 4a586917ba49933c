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

// An experiment that is stopped goes on where it was, does not play a run twice, and refuses another's folder.
func TestExperimentResumes(t *testing.T) {
	bin, dir := t.TempDir(), t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "flintspread/cmd/flintspread-router").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
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
	err = x.Run(ctx, bin, out, stopAfter{cancel, 2, new(int)})
	first, _ := Results(out)
	if err == nil || len(first) != 2 {
		t.Fatalf("%v, %d runs", err, len(first))
	}
	var said bytes.Buffer
	if err := x.Run(context.Background(), bin, out, &said); err != nil {
		t.Fatal(err)
	}
	all, err := Results(out)
	if err != nil || len(all) != 4 || strings.Count(said.String(), "goodput") != 2 {
		t.Fatalf("%v, %d runs: %s", err, len(all), said.String())
	}
	for _, r := range all {
		if r.Load.Offered < 20 || r.Load.Service < 0.5 {
			t.Errorf("%s at %g: %+v", r.Variant, r.Rate, r.Load)
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
		t.Error(err)
	}
}

// stopAfter ends a context with the nth line that is written to it.
type stopAfter struct {
	cancel context.CancelFunc
	n      int
	lines  *int
}

func (s stopAfter) Write(p []byte) (int, error) {
	if *s.lines++; *s.lines == s.n {
		s.cancel()
	}
	return len(p), nil
}

// A tenth more with little spread is a difference; the same spread around one value is noise; two runs tell nothing.
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
			t.Errorf("%q: %s %v", want, w.String(), err)
		}
	}
	if err := Compare(a, t.TempDir(), io.Discard); err == nil {
		t.Error("nothing was compared with something")
	}
}
