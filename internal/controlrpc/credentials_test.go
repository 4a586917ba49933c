package controlrpc

import (
	"os"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/fakes/testca"
)

// issueLink issues a certificate for a name with an expiry time, and returns settings that use the certificate and expect
// the given name of the peer.
func issueLink(authority *testca.CA, file, name string, expiresAt time.Time, address, peer string) *config.Link {
	cert, key := authority.Issue(file, name, expiresAt)
	return &config.Link{Address: address, ReportIntervalSeconds: 0.02, SilenceSeconds: 0.5, LeaseSeconds: 1, Peer: peer, CA: authority.CAFile(), Cert: cert, Key: key}
}

// Over TCP both sides present a certificate. The reason for rejecting a certificate is logged with the names in it, and a
// replaced certificate file is used without a restart.
func TestCertificates(t *testing.T) {
	trusted, other := testca.New(t, "trusted"), testca.New(t, "other")
	inOneHour := time.Now().Add(time.Hour)
	log := &logBuffer{}
	server := issueLink(trusted, "plan", "plan.example.org", inOneHour, "127.0.0.1:0", "edge.example.org")
	addr, end := startController(t, server, 10, log)
	defer end()
	for _, test := range []struct {
		name, want string
		link       *config.Link
	}{
		{"router of unknown authority", `certificate of \"edge.example.org\" (edge.example.org): x509: certificate signed by unknown authority`,
			func() *config.Link {
				link := issueLink(other, "edge", "edge.example.org", inOneHour, addr, "plan.example.org")
				link.CA = server.CA
				return link
			}()},
		{"expired router", "expired on ", issueLink(trusted, "old", "edge.example.org", time.Now().Add(-time.Minute), addr, "plan.example.org")},
		{"router of other name", `not valid for \"edge.example.org\" (:peer)`, issueLink(trusted, "third", "third.example.org", inOneHour, addr, "plan.example.org")},
		{"controller of other name", `certificate of \"plan.example.org\" (plan.example.org): not valid for \"control.example.org\" (:peer)`,
			issueLink(trusted, "edge2", "edge.example.org", inOneHour, addr, "control.example.org")},
		{"controller of unknown authority", `certificate of \"plan.example.org\" (plan.example.org): x509: certificate signed by unknown authority`,
			func() *config.Link {
				link := issueLink(trusted, "edge3", "edge.example.org", inOneHour, addr, "plan.example.org")
				link.CA = other.CAFile()
				return link
			}()},
	} {
		t.Run(test.name, func(t *testing.T) {
			routerLog := &logBuffer{}
			_, assignments, _, stop := startRouter(t, test.link, routerLog)
			eventually(t, "one side logs the reason", func() bool { return routerLog.contains(test.want) || log.contains(test.want) })
			stop()
			if assignments.Load() != 0 {
				t.Errorf("%d assignments despite a rejected certificate", assignments.Load())
			}
		})
	}
	t.Run("replaced file", func(t *testing.T) {
		link := issueLink(trusted, "renew", "edge.example.org", time.Now().Add(-time.Minute), addr, "plan.example.org")
		_, assignments, _, stop := startRouter(t, link, &logBuffer{})
		defer stop()
		time.Sleep(100 * time.Millisecond)
		if assignments.Load() != 0 {
			t.Fatal("the controller accepted an expired certificate")
		}
		issueLink(trusted, "renew", "edge.example.org", inOneHour, addr, "")
		eventually(t, "assignments with the new certificate", func() bool { return assignments.Load() > 3 })
		if err := os.WriteFile(link.Cert, []byte("truncated"), 0o600); err != nil {
			t.Fatal(err)
		}
		files := &certificateFiles{config: link}
		if _, _, err := files.load(); err == nil {
			t.Error("no error from loading a corrupt certificate file for the first time")
		}
	})
}
