package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority is a test certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{pool: x509.NewCertPool()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.key = key
	a.pool.AddCert(a.certificate)
	return a
}

// config returns the TLS configuration of the entry process called name.
func (a *authority) config(t *testing.T, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	assert.NilError(t, err)
	return &tls.Config{RootCAs: a.pool, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// TestMutualTLS guards against links to a process that has no certificate, or has
// a valid certificate for another name.
func TestMutualTLS(t *testing.T) {
	ca := newAuthority(t)
	b := start(t, "b", 1, loopback, Config{TLS: ca.config(t, "b")})
	otherName := start(t, "a", 7, loopback, Config{TLS: ca.config(t, "z")})
	plain := start(t, "a", 8, loopback, Config{})
	for _, p := range []*process{otherName, plain} {
		p.SetPeers(map[string]string{"b": b.address})
	}
	b.SetPeers(map[string]string{"a": "127.0.0.1:1"})
	a := start(t, "a", 1, loopback, Config{TLS: ca.config(t, "a")})
	a.SetPeers(map[string]string{"b": b.address})
	a.await(b.ref, "up", 1)
	b.await(a.ref, "up", 1)
	for _, p := range []*process{otherName, plain} {
		assert.Equal(t, len(p.find(b.ref, "up")), 0)
		assert.Equal(t, len(b.find(p.ref, "up")), 0)
	}
}
