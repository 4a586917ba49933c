package controller

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flintspread/internal/boltstore"
	"flintspread/internal/endpoints"
)

// saveDirVariable is the environment variable with the state folder for the child process of TestKilledWhileSaving.
const saveDirVariable = "FLINTSPREAD_TEST_SAVE_DIR"

// TestMain runs the child process, which saves votes and endpoint lists until it is killed, if saveDirVariable is set.
func TestMain(m *testing.M) {
	if dir := os.Getenv(saveDirVariable); dir != "" {
		store, saved, _, err := OpenStateStore(dir)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		saves := 0
		if saved.Vote != nil {
			saves = saved.Vote.Build
		}
		for i := saves + 1; ; i++ {
			list := &endpoints.List{}
			_, err := list.Apply(&endpoints.Update{Version: uint64(i), Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Addr: "127.0.0.1:1", State: "ready", Build: i % 1000}}}, float64(i))
			if err := errors.Join(err, store.SaveEndpoints(list), store.SaveVote(SavedVote{Build: i, OutcomeKnown: true})); err != nil {
				fmt.Println(err)
				os.Exit(1)
			}
			fmt.Println(i)
		}
	}
	os.Exit(m.Run())
}

// After a process is killed while saving, the state is intact and no older than the last acknowledged save.
func TestKilledWhileSaving(t *testing.T) {
	dir := t.TempDir()
	last := 0
	for kill := range 12 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), saveDirVariable+"="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Duration(30+7*kill)*time.Millisecond, func() {
			if err := cmd.Process.Kill(); err != nil {
				t.Error(err)
			}
		})
		text, err := io.ReadAll(out)
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Wait(); err == nil {
			t.Error("the child process ended before it was killed")
		}
		lines := strings.Fields(string(text))
		if n := len(lines); n > 0 {
			if _, err := fmt.Sscan(lines[n-1], &last); err != nil {
				t.Fatalf("output of the child process: %s", text)
			}
		}
		store, saved, renamed, err := OpenStateStore(dir)
		if err != nil || renamed != "" {
			t.Fatal(renamed, err)
		}
		if last > 0 && (saved.Vote == nil || saved.Vote.Build < last || saved.Vote.Build > last+1 || saved.Endpoints.Version < uint64(saved.Vote.Build)) {
			t.Errorf("save %d was acknowledged, the stored vote is %+v", last, saved.Vote)
		}
		mustClose(t, store)
	}
	if last < 12 {
		t.Errorf("only %d saves were acknowledged", last)
	}
}

// However the state file is corrupted, it is renamed and the controller starts with an empty state. A file that another
// controller has open is left alone.
func TestCorruptStateFile(t *testing.T) {
	intactFile := func(dir string) []byte {
		store, _, _, err := OpenStateStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		update := &endpoints.Update{Version: 3, Full: true}
		for id := range uint32(2000) {
			update.Endpoints = append(update.Endpoints, endpoints.Endpoint{ID: id + 1, Addr: "127.0.0.1:1", State: "ready"})
		}
		list := &endpoints.List{}
		_, err = list.Apply(update, 1)
		if err := errors.Join(err, store.SaveEndpoints(list), store.SaveVote(SavedVote{Build: 2}), store.Close()); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(stateFile(dir))
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for name, corrupt := range map[string]func([]byte) []byte{
		"not a database":        func([]byte) []byte { return []byte("not a store at all") },
		"truncated":             func(b []byte) []byte { return b[:len(b)/4] },
		"truncated to one page": func(b []byte) []byte { return b[:4096] },
		"zeros after page two":  func(b []byte) []byte { clear(b[2*4096:]); return b },
		"noise after page two": func(b []byte) []byte {
			for i := 2 * 4096; i < len(b); i++ {
				b[i] = byte(i * 7)
			}
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(stateFile(dir), corrupt(intactFile(dir)), 0o600); err != nil {
				t.Fatal(err)
			}
			store, saved, renamed, err := OpenStateStore(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer mustClose(t, store)
			if renamed == "" || saved.Vote != nil || saved.Endpoints != nil {
				t.Errorf("renamed file %q, state %+v", renamed, saved)
			}
			if files, _ := filepath.Glob(stateFile(dir) + ".bad-*"); len(files) != 1 {
				t.Errorf("renamed files: %q, want one", files)
			}
		})
	}
	dir := t.TempDir()
	store, _, _, err := OpenStateStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, store)
	if _, _, _, err := OpenStateStore(dir); !errors.Is(err, boltstore.ErrInUse) {
		t.Errorf("opening a store that is in use: %v, want ErrInUse", err)
	}
}
