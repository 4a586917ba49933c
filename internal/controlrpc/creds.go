// Package link carries digests and views between an edge and its planner: gRPC over a Unix socket, or over TCP with
// certificates on both ends. What counts of what arrives, package accord decides.
package controlrpc

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"flintspread/internal/config"
)

// files are certificates read from disk, again whenever one changed, so that they are replaced without a restart. A file
// that can't be used leaves the last good ones in force.
type files struct {
	set *config.Link
	log *slog.Logger

	mu    sync.Mutex
	stamp [3]time.Time
	own   *tls.Certificate
	ca    *x509.CertPool
}

func (f *files) read() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stamp [3]time.Time
	for i, name := range []string{f.set.Cert, f.set.Key, f.set.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return f.own, f.ca, f.unless(err)
		}
		stamp[i] = info.ModTime()
	}
	if f.own != nil && stamp == f.stamp {
		return f.own, f.ca, nil
	}
	own, err := tls.LoadX509KeyPair(f.set.Cert, f.set.Key)
	if err != nil {
		return f.own, f.ca, f.unless(fmt.Errorf("%s, %s: %w", f.set.Cert, f.set.Key, err))
	}
	text, err := os.ReadFile(f.set.CA)
	if err != nil {
		return f.own, f.ca, f.unless(err)
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(text) {
		return f.own, f.ca, f.unless(fmt.Errorf("%s: no certificate in it", f.set.CA))
	}
	f.own, f.ca, f.stamp = &own, ca, stamp
	return f.own, f.ca, nil
}

// unless drops an error while there is something good to go on with: the files may be half replaced.
func (f *files) unless(err error) error {
	if f.own != nil {
		return nil
	}
	return err
}

// check refuses the other end's certificate by name. It says so here too: the other end only hears of a bad one.
func (f *files) check(state tls.ConnectionState) error {
	err := f.verify(state)
	if err != nil {
		f.log.Warn("other end of the link refused", "error", err)
	}
	return err
}

func (f *files) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other end shows no certificate")
	}
	_, ca, err := f.read()
	if err != nil {
		return err
	}
	cert := state.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	who := fmt.Sprintf("certificate of %q (%s)", cert.Subject.CommonName, names(cert))
	if now := time.Now(); now.After(cert.NotAfter) {
		return fmt.Errorf("%s: it ended on %s", who, cert.NotAfter.UTC().Format(time.RFC3339))
	} else if now.Before(cert.NotBefore) {
		return fmt.Errorf("%s: it begins on %s", who, cert.NotBefore.UTC().Format(time.RFC3339))
	}
	if _, err := cert.Verify(x509.VerifyOptions{Roots: ca, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
		return fmt.Errorf("%s: %w", who, err)
	}
	if err := cert.VerifyHostname(f.set.Peer); err != nil {
		return fmt.Errorf("%s: not %q (:peer)", who, f.set.Peer)
	}
	return nil
}

func names(c *x509.Certificate) string {
	if len(c.DNSNames) == 0 {
		return "no name in it"
	}
	return c.DNSNames[0]
}

// Credentials gives a link's credentials. Where the link is a Unix socket, who may open it is the file's matter.
func Credentials(set *config.Link, log *slog.Logger) (credentials.TransportCredentials, error) {
	if _, ok := set.Unix(); ok {
		return insecure.NewCredentials(), nil
	}
	f := &files{set: set, log: log}
	if _, _, err := f.read(); err != nil {
		return nil, err
	}
	own := func() (*tls.Certificate, error) { c, _, err := f.read(); return c, err }
	return credentials.NewTLS(&tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           set.Peer,
		ClientAuth:           tls.RequireAnyClientCert, // check has the say
		InsecureSkipVerify:   true,                     // likewise: with files read anew, and an error that names the other end
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return own() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return own() },
		VerifyConnection:     f.check,
	}), nil
}
