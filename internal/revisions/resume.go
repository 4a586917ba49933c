package revisions

import (
	"log/slog"
	"math"
	"path/filepath"
	"time"

	"flintspread/internal/configstate"
)

const storeFileName = "versions.db"

// Resume opens the history in a state folder and calls apply with the version that was last in force, which the program
// uses until it receives another version. If that version cannot be read or applied, Resume logs the error, and the
// program starts with the configuration of its settings file. The caller must close the store.
func Resume(stateDir string, log *slog.Logger, apply func(*configstate.Version) error) (*Store, error) {
	store, renamed, err := Open(filepath.Join(stateDir, storeFileName))
	if err != nil {
		return nil, err
	}
	if renamed != "" {
		log.Error("renamed an unreadable configuration history; starting with the configuration of the settings file", "file", renamed)
	}
	last, err := store.Last()
	if err != nil || last == nil {
		return store, err
	}
	v, err := configstate.ParseVersion(last.Number, []byte(last.Text))
	if err == nil {
		err = apply(v)
	}
	if err != nil {
		log.Error("failed to apply the last configuration version; starting with the configuration of the settings file", "version", last.Number, "error", err)
		return store, nil
	}
	age := float64(time.Now().UnixNano())/1e9 - last.InForceSince
	log.Info("last configuration version applied", "version", last.Number, "age_seconds", math.Round(age))
	return store, nil
}
