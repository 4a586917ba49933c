package revisions

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"time"

	"flintspread/internal/configstate"
)

// Resume opens the history in a state folder and has the version that was in force last put in force again: with a control
// service gone the program runs on that. One that can't be read or put is left, and the program starts on its file's settings.
func Resume(stateDir string, log *slog.Logger, put func(*configstate.Version) error) (*Store, error) {
	store, aside, err := Open(filepath.Join(stateDir, "versions.db"))
	if err != nil {
		return nil, err
	}
	if aside != "" {
		log.Error("history of the settings set aside; starting on the file's", "file", aside)
	}
	last, err := store.Last()
	if err != nil || last == nil {
		return store, err
	}
	v, err := configstate.Read(last.No, []byte(last.Text))
	if err == nil {
		err = put(v)
	}
	if err != nil {
		log.Error("last version of the settings not taken; starting on the file's", "version", last.No, "error", err)
		return store, nil
	}
	ago := float64(time.Now().UnixNano())/1e9 - last.Since
	log.Info("last version of the settings", "version", last.No, "in_force", fmt.Sprintf("%.0fs ago", ago))
	return store, nil
}
