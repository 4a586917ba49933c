package proxy

import (
	"testing"

	"go.uber.org/goleak"
)

// Every relay, unit and client of the tests has ended when they have.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
