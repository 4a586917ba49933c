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

// certificateFiles are certificates read from disk, again whenever one changed, so that they are replaced without a restart. A file
// that can't be used leaves the last good ones in force.
type certificateFiles struct {
	config *config.Link
	log *slog.Logger

	mu    sync.Mutex
	modifiedAt [3]time.Time
	certificate   *tls.Certificate
	authorities    *x509.CertPool
}

func (f *certificateFiles) load() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stamp [3]time.Time
	for i, name := range []string{f.config.Cert, f.config.Key, f.config.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return f.certificate, f.authorities, f.ignoreIfLoaded(err)
		}
		stamp[i] = info.ModTime()
	}
	if f.certificate != nil && stamp == f.modifiedAt {
		return f.certificate, f.authorities, nil
	}
	own, err := tls.LoadX509KeyPair(f.config.Cert, f.config.Key)
	if err != nil {
		return f.certificate, f.authorities, f.ignoreIfLoaded(fmt.Errorf("%s, %s: %w", f.config.Cert, f.config.Key, err))
	}
	text, err := os.ReadFile(f.config.CA)
	if err != nil {
		return f.certificate, f.authorities, f.ignoreIfLoaded(err)
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(text) {
		return f.certificate, f.authorities, f.ignoreIfLoaded(fmt.Errorf("%s: no certificate in it", f.config.CA))
	}
	f.certificate, f.authorities, f.modifiedAt = &own, ca, stamp
	return f.certificate, f.authorities, nil
}

// ignoreIfLoaded drops an error while there is something good to go on with: the files may be half replaced.
func (f *certificateFiles) ignoreIfLoaded(err error) error {
	if f.certificate != nil {
		return nil
	}
	return err
}

// verifyAndLog refuses the other end's certificate by name. It says so here too: the other end only hears of a bad one.
func (f *certificateFiles) verifyAndLog(state tls.ConnectionState) error {
	err := f.verify(state)
	if err != nil {
		f.log.Warn("other end of the link refused", "error", err)
	}
	return err
}

func (f *certificateFiles) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other end shows no certificate")
	}
	_, ca, err := f.load()
	if err != nil {
		return err
	}
	cert := state.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	who := fmt.Sprintf("certificate of %q (%s)", cert.Subject.CommonName, firstDNSName(cert))
	if now := time.Now(); now.After(cert.NotAfter) {
		return fmt.Errorf("%s: it ended on %s", who, cert.NotAfter.UTC().Format(time.RFC3339))
	} else if now.Before(cert.NotBefore) {
		return fmt.Errorf("%s: it begins on %s", who, cert.NotBefore.UTC().Format(time.RFC3339))
	}
	if _, err := cert.Verify(x509.VerifyOptions{Roots: ca, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
		return fmt.Errorf("%s: %w", who, err)
	}
	if err := cert.VerifyHostname(f.config.Peer); err != nil {
		return fmt.Errorf("%s: not %q (:peer)", who, f.config.Peer)
	}
	return nil
}

func firstDNSName(c *x509.Certificate) string {
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
	f := &certificateFiles{config: set, log: log}
	if _, _, err := f.load(); err != nil {
		return nil, err
	}
	own := func() (*tls.Certificate, error) { c, _, err := f.load(); return c, err }
	return credentials.NewTLS(&tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           set.Peer,
		ClientAuth:           tls.RequireAnyClientCert, // check has the say
		InsecureSkipVerify:   true,                     // likewise: with files read anew, and an error that names the other end
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return own() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return own() },
		VerifyConnection:     f.verifyAndLog,
	}), nil
}
