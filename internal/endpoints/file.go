package endpoints

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// Name patterns of the files beside a saved file: a new version that is being written, and
// a corrupt one that was set aside.
const (
	newFileSuffix    = ".new-*"
	brokenFileSuffix = ".bad-%d"
)

// Save writes the list to a file atomically; see ReplaceFile.
func (l *List) Save(file string) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return ReplaceFile(file, text)
}

// Load reads a saved list and removes what interrupted calls of Save have left. The returned list is never nil, and may
// be used even with an error; it is empty if the file does not exist, which is no error, or can't be read or decoded. A
// corrupt file is renamed, with the time in its new name, and the error contains that name.
func Load(file string) (*List, error) {
	leftovers := removeLeftovers(file)
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return &List{}, leftovers
	}
	if err != nil {
		return &List{}, errors.Join(err, leftovers)
	}
	list := &List{}
	if err := json.Unmarshal(text, list); err != nil {
		aside := file + fmt.Sprintf(brokenFileSuffix, time.Now().UnixNano())
		err = errors.Join(err, os.Rename(file, aside), leftovers)
		return &List{}, fmt.Errorf("%s: %w; set aside as %s", file, err, aside)
	}
	return list, leftovers
}

// removeLeftovers removes the temporary files that interrupted calls of ReplaceFile have left beside a file.
func removeLeftovers(file string) error {
	leftovers, err := filepath.Glob(file + newFileSuffix)
	for _, leftover := range leftovers {
		err = errors.Join(err, os.Remove(leftover))
	}
	return err
}

// ReplaceFile replaces a file's content atomically: a crash at any point leaves either the
// old file or the new one, complete.
func ReplaceFile(file string, text []byte) (err error) {
	folder := filepath.Dir(file)
	temporary, err := os.CreateTemp(folder, filepath.Base(file)+newFileSuffix)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, removeIfThere(temporary.Name()))
		}
	}()
	_, err = temporary.Write(text)
	if err = errors.Join(err, temporary.Sync(), temporary.Close()); err != nil {
		return err
	}
	if err = os.Rename(temporary.Name(), file); err != nil {
		return err
	}
	return syncFolder(folder)
}

// syncFolder makes a rename within a folder survive a crash of the machine.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func removeIfThere(file string) error {
	if err := os.Remove(file); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
