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

// Credentials returns the transport credentials for a link: mutual TLS 1.3, or none on a Unix socket, where file
// permissions control who may connect. Certificate files may be replaced while the program runs. An error means that
// they cannot be loaded now. A rejected peer is logged with the name in its certificate.
func Credentials(link *config.Link, log *slog.Logger) (credentials.TransportCredentials, error) {
	if _, ok := link.SocketPath(); ok {
		return insecure.NewCredentials(), nil
	}
	files := &certificateFiles{config: link, log: log}
	if _, _, err := files.load(); err != nil {
		return nil, err
	}
	ownCertificate := func() (*tls.Certificate, error) {
		certificate, _, err := files.load()
		return certificate, err
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: link.Peer,
		// VerifyConnection verifies the peer on both ends, instead of crypto/tls: it picks up replaced files, and its
		// error names the peer.
		ClientAuth:           tls.RequireAnyClientCert,
		InsecureSkipVerify:   true,
		VerifyConnection:     files.verifyAndLog,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return ownCertificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return ownCertificate() },
	}), nil
}

// certificateFiles are certificates on disk, reloaded whenever a file has changed, so that they can be replaced without
// a restart. If a file cannot be used, the last good ones stay in use.
type certificateFiles struct {
	config *config.Link
	log    *slog.Logger

	mu          sync.Mutex // guards the fields below
	modifiedAt  [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// load returns the program's own certificate and the authorities trusted to sign those of its peers.
func (f *certificateFiles) load() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.reload()
	if f.certificate != nil {
		// The files may be only partly replaced: keep what is loaded until all of them can be used.
		err = nil
	}
	return f.certificate, f.authorities, err
}

// reload loads the files if one of them has changed. On an error nothing is replaced. The caller holds the lock.
func (f *certificateFiles) reload() error {
	var modifiedAt [3]time.Time
	for i, name := range []string{f.config.Cert, f.config.Key, f.config.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return err
		}
		modifiedAt[i] = info.ModTime()
	}
	if f.certificate != nil && modifiedAt == f.modifiedAt {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(f.config.Cert, f.config.Key)
	if err != nil {
		return fmt.Errorf("%s, %s: %w", f.config.Cert, f.config.Key, err)
	}
	text, err := os.ReadFile(f.config.CA)
	if err != nil {
		return err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return fmt.Errorf("%s: no certificate in it", f.config.CA)
	}
	f.certificate, f.authorities, f.modifiedAt = &certificate, authorities, modifiedAt
	return nil
}

// verifyAndLog rejects a peer whose certificate is invalid. It logs the reason, because the peer only learns that its
// certificate is bad.
func (f *certificateFiles) verifyAndLog(state tls.ConnectionState) error {
	err := f.verify(state)
	if err != nil {
		f.log.Warn("peer refused", "error", err)
	}
	return err
}

// verify checks a peer's certificate: its validity period, its chain to a trusted authority, and the name expected by
// the settings.
func (f *certificateFiles) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other end shows no certificate")
	}
	_, authorities, err := f.load()
	if err != nil {
		return err
	}
	certificate := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	subject := fmt.Sprintf("certificate of %q (%s)", certificate.Subject.CommonName, firstDNSName(certificate))
	if now := time.Now(); now.After(certificate.NotAfter) {
		return fmt.Errorf("%s: it ended on %s", subject, certificate.NotAfter.UTC().Format(time.RFC3339))
	} else if now.Before(certificate.NotBefore) {
		return fmt.Errorf("%s: it begins on %s", subject, certificate.NotBefore.UTC().Format(time.RFC3339))
	}
	options := x509.VerifyOptions{Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := certificate.Verify(options); err != nil {
		return fmt.Errorf("%s: %w", subject, err)
	}
	if err := certificate.VerifyHostname(f.config.Peer); err != nil {
		return fmt.Errorf("%s: not %q (:peer)", subject, f.config.Peer)
	}
	return nil
}

// firstDNSName returns a certificate's first DNS name, for error messages.
func firstDNSName(certificate *x509.Certificate) string {
	if len(certificate.DNSNames) == 0 {
		return "no name in it"
	}
	return certificate.DNSNames[0]
}
