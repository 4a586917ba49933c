package processstats

import (
	"bufio"
	"os"
	"strconv"
	"strings"
)

const (
	netstatFile      = "/proc/net/netstat"
	netstatPrefix    = "TcpExt:" // starts a line of counter names and the line of their values after it
	overflowsCounter = "ListenOverflows"
)

// AcceptQueueOverflows returns how many connections this host's kernel has dropped in total because an accept queue, of
// any process, was full. It returns false if the kernel does not provide the counter.
func AcceptQueueOverflows() (count uint64, ok bool) {
	file, err := os.Open(netstatFile)
	if err != nil {
		return 0, false
	}
	defer file.Close()
	var names []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		words := strings.Fields(scanner.Text())
		if len(words) == 0 || words[0] != netstatPrefix {
			continue
		}
		if names == nil {
			names = words
			continue
		}
		for i, name := range names {
			if name == overflowsCounter && i < len(words) {
				count, err := strconv.ParseUint(words[i], 10, 64)
				return count, err == nil
			}
		}
	}
	return 0, false
}
