package node

import (
	"context"
	"encoding/json"
	"os"
	"runtime"
	"time"

	"flintspread/internal/processstats"
)

const statsInterval = 5 * time.Second

// logStats logs the proxy's stats and the memory use of the process every statsInterval until ctx ends.
func (n *Node) logStats(ctx context.Context) {
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		stats := n.proxy.Stats()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		text, err := json.Marshal(stats)
		if err != nil {
			n.log.Error("failed to encode the stats", "error", err)
			continue
		}
		anonymousBytes, err := processstats.AnonymousBytes(os.Getpid())
		if err != nil {
			n.log.Error("failed to read the resident memory", "error", err)
		}
		n.log.Info("stats", "relay", n.config.Name, "heap_kb", memory.HeapAlloc>>10, "sys_kb", memory.Sys>>10,
			"resident_kb", anonymousBytes>>10, "counts", string(text))
	}
}
