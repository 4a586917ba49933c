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
// permissions control who may connect. The certificate files may be replaced while the program runs; an error means that
// they cannot be loaded now. If a peer is rejected, the name in its certificate is logged.
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
		// Both sides verify the peer in VerifyConnection instead of the default verification of crypto/tls, because
		// VerifyConnection uses replaced files and its error names the peer.
		ClientAuth:           tls.RequireAnyClientCert,
		InsecureSkipVerify:   true,
		VerifyConnection:     files.verifyAndLog,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return ownCertificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return ownCertificate() },
	}), nil
}

// certificateFiles loads certificates from disk and reloads them when a file has changed, so that they can be replaced
// without a restart. If a file cannot be used, the certificates loaded last stay in use.
type certificateFiles struct {
	config *config.Link
	log    *slog.Logger

	mu          sync.Mutex   // guards the fields below
	modifiedAt  [3]time.Time // of the certificate, key and CA files, as loaded last
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// load returns the program's own certificate and the authorities trusted to sign those of its peers.
func (f *certificateFiles) load() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.reload()
	if f.certificate != nil {
		err = nil // perhaps only some files have been replaced yet; the loaded certificates stay in use until all are usable
	}
	return f.certificate, f.authorities, err
}

// reload loads the files if one of them has changed. After an error, the loaded certificates are unchanged. The caller
// holds the lock.
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
		return fmt.Errorf("%s: contains no PEM certificate", f.config.CA)
	}
	f.certificate, f.authorities, f.modifiedAt = &certificate, authorities, modifiedAt
	return nil
}

// verifyAndLog rejects a peer whose certificate is invalid. It logs the reason, because the TLS alert only tells the peer
// that its certificate is bad.
func (f *certificateFiles) verifyAndLog(state tls.ConnectionState) error {
	err := f.verify(state)
	if err != nil {
		f.log.Warn("rejected the certificate of the peer", "error", err)
	}
	return err
}

// verify checks a peer's certificate: the validity period, the chain to a trusted authority, and the name that the
// settings expect.
func (f *certificateFiles) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
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
		return fmt.Errorf("%s: expired on %s", subject, certificate.NotAfter.UTC().Format(time.RFC3339))
	} else if now.Before(certificate.NotBefore) {
		return fmt.Errorf("%s: not valid before %s", subject, certificate.NotBefore.UTC().Format(time.RFC3339))
	}
	options := x509.VerifyOptions{Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := certificate.Verify(options); err != nil {
		return fmt.Errorf("%s: %w", subject, err)
	}
	if err := certificate.VerifyHostname(f.config.Peer); err != nil {
		return fmt.Errorf("%s: not valid for %q (:peer)", subject, f.config.Peer)
	}
	return nil
}

// firstDNSName returns a certificate's first DNS name, or a text that says that there is none, for error messages.
func firstDNSName(certificate *x509.Certificate) string {
	if len(certificate.DNSNames) == 0 {
		return "no DNS name"
	}
	return certificate.DNSNames[0]
}
