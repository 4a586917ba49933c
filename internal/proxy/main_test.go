package proxy

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine of a proxy, an endpoint or a client outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
