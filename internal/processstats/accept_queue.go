package processstats

import (
	"bufio"
	"os"
	"strconv"
	"strings"
)

const (
	netstatFile      = "/proc/net/netstat"
	netstatPrefix    = "TcpExt:" // of a line of names, and of the line of their values behind it
	overflowsCounter = "ListenOverflows"
)

// AcceptQueueOverflows reads how many connections this host's kernel dropped because an accept queue was full; it does not say
// whose. It returns false where the kernel does not tell.
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
