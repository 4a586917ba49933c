package processstats

import (
	"bufio"
	"os"
	"strconv"
	"strings"
)

const (
	netstatFile      = "/proc/net/netstat"
	netstatPrefix    = "TcpExt:" // first word of the line of counter names and of the following line of their values
	overflowsCounter = "ListenOverflows"
)

// AcceptQueueOverflows returns the total number of connections that this host's kernel has dropped because an accept
// queue of any process was full. ok is false if the kernel does not provide the counter.
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
