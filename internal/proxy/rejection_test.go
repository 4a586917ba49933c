package proxy

import (
	"strings"
	"testing"
)

// The whole seconds of Retry-After are rounded up, but not past the time within which a retry is harmless.
func TestRetryAfterIsWithinHarmlessTime(t *testing.T) {
	for _, test := range []struct {
		after, by float64
		want      string
	}{
		{0.4, 0, "Retry-After: 1\r\nFlint-Pause: 0.400\r\n"},
		{0.4, 0.8, "Retry-After: 0\r\nFlint-Pause: 0.400\r\n"},
		{0.6, 1.2, "Retry-After: 1\r\nFlint-Pause: 0.600\r\n"},
		{2, 0, "Retry-After: 2\r\nFlint-Pause: 2.000\r\n"},
	} {
		if got := string(newHTTPRejection(textRejected, test.after, test.by).bytes); !strings.Contains(got, test.want) {
			t.Errorf("after %g s, by %g s: want %q in\n%s", test.after, test.by, test.want, got)
		}
	}
}
