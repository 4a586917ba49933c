package controlrpc

import (
	"os"
	"testing"
	"time"

	"flintspread/internal/config"
	"flintspread/internal/fakes/testca"
)

// issueLink writes a certificate for a name with an expiry time, and returns settings that use it and expect peer.
func issueLink(authority *testca.CA, file, name string, ends time.Time, address, peer string) *config.Link {
	cert, key := authority.Issue(file, name, ends)
	return &config.Link{Address: address, ReportIntervalSeconds: 0.02, SilenceSeconds: 0.5, LeaseSeconds: 1, Peer: peer, CA: authority.CAFile(), Cert: cert, Key: key}
}

// Over TCP each end presents a certificate; a rejected one is logged by name, and a replaced one is used without a
// restart.
func TestCertificates(t *testing.T) {
	good, other := testca.New(t, "hall"), testca.New(t, "elsewhere")
	hour := time.Now().Add(time.Hour)
	log := &logBuffer{}
	server := issueLink(good, "plan", "plan.example.org", hour, "127.0.0.1:0", "edge.example.org")
	addr, end := startController(t, server, 10, log)
	defer end()
	for _, test := range []struct {
		name, want string
		link       *config.Link
	}{
		{"stranger", `certificate of \"edge.example.org\" (edge.example.org): x509: certificate signed by unknown authority`,
			func() *config.Link {
				link := issueLink(other, "edge", "edge.example.org", hour, addr, "plan.example.org")
				link.CA = server.CA
				return link
			}()},
		{"expired", "it ended on ", issueLink(good, "old", "edge.example.org", time.Now().Add(-time.Minute), addr, "plan.example.org")},
		{"other name", `not \"edge.example.org\" (:peer)`, issueLink(good, "third", "third.example.org", hour, addr, "plan.example.org")},
		{"controller of other name", `certificate of \"plan.example.org\" (plan.example.org): not \"control.example.org\" (:peer)`,
			issueLink(good, "edge2", "edge.example.org", hour, addr, "control.example.org")},
		{"controller unknown", `certificate of \"plan.example.org\" (plan.example.org): x509: certificate signed by unknown authority`,
			func() *config.Link {
				link := issueLink(good, "edge3", "edge.example.org", hour, addr, "plan.example.org")
				link.CA = other.CAFile()
				return link
			}()},
	} {
		t.Run(test.name, func(t *testing.T) {
			routerLog := &logBuffer{}
			_, assignments, _, stop := startRouter(t, test.link, routerLog)
			eventually(t, "one end says why", func() bool { return routerLog.contains(test.want) || log.contains(test.want) })
			stop()
			if assignments.Load() != 0 {
				t.Error("an assignment came")
			}
		})
	}
	t.Run("replaced", func(t *testing.T) {
		link := issueLink(good, "renew", "edge.example.org", time.Now().Add(-time.Minute), addr, "plan.example.org")
		_, assignments, _, stop := startRouter(t, link, &logBuffer{})
		defer stop()
		time.Sleep(100 * time.Millisecond)
		if assignments.Load() != 0 {
			t.Fatal("an expired certificate was good enough")
		}
		issueLink(good, "renew", "edge.example.org", hour, addr, "")
		eventually(t, "assignments with the new one", func() bool { return assignments.Load() > 3 })
		if err := os.WriteFile(link.Cert, []byte("half a f"), 0o600); err != nil {
			t.Fatal(err)
		}
		files := &certificateFiles{config: link}
		if _, _, err := files.load(); err == nil {
			t.Error("a broken file is no error at a start")
		}
	})
}
