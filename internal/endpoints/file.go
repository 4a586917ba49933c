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

// Suffixes of the files beside a saved file: a new version that is being written, and a corrupt file that was renamed.
const (
	newFileSuffix     = ".new-*"
	corruptFileSuffix = ".bad-%d"
)

// Save writes the list to a file atomically; see ReplaceFile.
func (l *List) Save(file string) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return ReplaceFile(file, text)
}

// Load reads a saved list and removes the temporary files of interrupted calls of Save. The returned list is never nil
// and may be used even if there is an error. It is empty if the file does not exist, which is not an error, or cannot be
// read or decoded. A corrupt file is renamed, with the time in its new name, and the error contains that name.
func Load(file string) (*List, error) {
	cleanupErr := removeTemporaryFiles(file)
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return &List{}, cleanupErr
	}
	if err != nil {
		return &List{}, errors.Join(err, cleanupErr)
	}
	list := &List{}
	if err := json.Unmarshal(text, list); err != nil {
		corruptFile := file + fmt.Sprintf(corruptFileSuffix, time.Now().UnixNano())
		err = errors.Join(err, os.Rename(file, corruptFile), cleanupErr)
		return &List{}, fmt.Errorf("%s: %w; renamed to %s", file, err, corruptFile)
	}
	return list, cleanupErr
}

// removeTemporaryFiles removes the temporary files that interrupted calls of ReplaceFile have left beside a file.
func removeTemporaryFiles(file string) error {
	temporaryFiles, err := filepath.Glob(file + newFileSuffix)
	for _, temporary := range temporaryFiles {
		err = errors.Join(err, os.Remove(temporary))
	}
	return err
}

// ReplaceFile replaces a file's content atomically: after a crash at any point, the file has either the complete old
// content or the complete new one.
func ReplaceFile(file string, text []byte) (err error) {
	dir := filepath.Dir(file)
	temporary, err := os.CreateTemp(dir, filepath.Base(file)+newFileSuffix)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, removeIfExists(temporary.Name()))
		}
	}()
	_, err = temporary.Write(text)
	if err = errors.Join(err, temporary.Sync(), temporary.Close()); err != nil {
		return err
	}
	if err = os.Rename(temporary.Name(), file); err != nil {
		return err
	}
	return syncDir(dir)
}

// syncDir syncs a directory, so that a rename within it survives a crash of the machine.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func removeIfExists(file string) error {
	if err := os.Remove(file); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
