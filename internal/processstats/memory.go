package processstats

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// AnonymousBytes returns the resident anonymous memory of a process: what its heap, stacks and runtime occupy, without
// pages of files such as the program's own.
func AnonymousBytes(pid int) (int64, error) {
	name := fmt.Sprintf("/proc/%d/status", pid)
	file, err := os.Open(name)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "RssAnon:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: RssAnon: %w", name, err)
		}
		return kilobytes << 10, nil
	}
	if err := lines.Err(); err != nil {
		return 0, err
	}
	return 0, fmt.Errorf("%s has no line RssAnon", name)
}
