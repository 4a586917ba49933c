// Package testca creates certificates for tests: a certificate authority and the leaf certificates that it signs.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// CA is a certificate authority. Its files are in a directory that is removed after the test. Any error fails the test
// immediately.
type CA struct {
	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New creates an authority with the given common name. Its certificate expires after an hour.
func New(t testing.TB, name string) *CA {
	ca := &CA{t: t, dir: t.TempDir()}
	ca.key = ca.newKey()
	ca.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	ca.write("ca.pem", "CERTIFICATE", ca.sign(ca.cert, &ca.key.PublicKey))
	return ca
}

// CAFile returns the path of the PEM file with the authority's own certificate.
func (ca *CA) CAFile() string { return filepath.Join(ca.dir, "ca.pem") }

// Issue writes a certificate for a DNS name and its key as PEM files, and returns their paths. The certificate expires
// at notAfter. It replaces a certificate that was issued before under the same file name.
func (ca *CA) Issue(file, name string, notAfter time.Time) (certFile, keyFile string) {
	leafKey := ca.newKey()
	der := ca.sign(&x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter}, &leafKey.PublicKey)
	keyDER, err := x509.MarshalECPrivateKey(leafKey)
	if err != nil {
		ca.t.Fatal(err)
	}
	return ca.write(file+".pem", "CERTIFICATE", der), ca.write(file+".key", "EC PRIVATE KEY", keyDER)
}

func (ca *CA) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		ca.t.Fatal(err)
	}
	return key
}

func (ca *CA) sign(template *x509.Certificate, publicKey *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, publicKey, ca.key)
	if err != nil {
		ca.t.Fatal(err)
	}
	return der
}

func (ca *CA) write(file, blockType string, der []byte) string {
	path := filepath.Join(ca.dir, file)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		ca.t.Fatal(err)
	}
	return path
}
