// Package testca makes certificates for tests: a certificate authority of its own and leaf certificates that it signs.
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

// CA is an authority. Its files are in a folder that ends with the test.
type CA struct {
	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New makes an authority of a name.
func New(t testing.TB, name string) *CA {
	o := &CA{t: t, dir: t.TempDir()}
	o.key = o.newKey()
	o.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	o.write("ca.pem", "CERTIFICATE", o.sign(o.cert, &o.key.PublicKey))
	return o
}

// CAFile is the file of the authority's own certificate.
func (o *CA) CAFile() string { return filepath.Join(o.dir, "ca.pem") }

// Issue writes the certificate of a name that ends then, and its key; one issued before under the same file is replaced.
func (o *CA) Issue(file, name string, ends time.Time) (cert, key string) {
	k := o.newKey()
	der := o.sign(&x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: ends}, &k.PublicKey)
	raw, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		o.t.Fatal(err)
	}
	return o.write(file+".pem", "CERTIFICATE", der), o.write(file+".key", "EC PRIVATE KEY", raw)
}

func (o *CA) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		o.t.Fatal(err)
	}
	return key
}

func (o *CA) sign(c *x509.Certificate, pub *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, o.cert, pub, o.key)
	if err != nil {
		o.t.Fatal(err)
	}
	return der
}

func (o *CA) write(file, kind string, der []byte) string {
	path := filepath.Join(o.dir, file)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		o.t.Fatal(err)
	}
	return path
}
