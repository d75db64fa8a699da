package fleetkey

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// authority signs certificates in memory.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	c := template(1)
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	parsed, err := x509.ParseCertificate(der)
	qt.Assert(t, err, qt.IsNil)
	return &authority{parsed, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue returns a certificate and its key, in PEM.
func (a *authority) issue(t *testing.T, ip netip.Addr, name string) (certificate, private []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	c := template(2)
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	c.IPAddresses = []net.IP{ip.AsSlice()}
	if name != "" {
		c.IPAddresses, c.DNSNames = nil, []string{name}
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &key.PublicKey, a.key)
	qt.Assert(t, err, qt.IsNil)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8})
}

// handshake returns the errors of both sides of one connection.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer c.Close()
		done <- tls.Server(c, server).Handshake()
	}()
	c, err := (&tls.Dialer{Config: client}).Dial("tcp", l.Addr().String())
	if err == nil {
		_ = c.Close()
	}
	return <-done, err
}

func TestMutualTLS(t *testing.T) {
	loopback := netip.MustParseAddr("127.0.0.1")
	otherAddr := netip.MustParseAddr("192.0.2.1")
	fleet, other := newAuthority(t), newAuthority(t)
	both := append(append([]byte(nil), other.pem...), fleet.pem...)
	build := func(a *authority, ip netip.Addr, name string, accepted []byte) *tls.Config {
		certificate, key := a.issue(t, ip, name)
		c, err := newTLSConfig(certificate, key, accepted, name)
		qt.Assert(t, err, qt.IsNil)
		return c
	}
	anonymous := build(fleet, loopback, "", fleet.pem)
	anonymous.Certificates = nil
	old := build(fleet, loopback, "", fleet.pem)
	old.MaxVersion, old.MinVersion = tls.VersionTLS12, tls.VersionTLS12
	tests := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"same authority", build(fleet, loopback, "", fleet.pem), build(fleet, loopback, "", fleet.pem), true},
		{"shared DNS name", build(fleet, loopback, "fleet.example", fleet.pem), build(fleet, loopback, "fleet.example", fleet.pem), true},
		{"authority rotation", build(fleet, loopback, "", both), build(other, loopback, "", both), true},
		{"client of another authority", build(fleet, loopback, "", fleet.pem), build(other, loopback, "", fleet.pem), false},
		{"server of another authority", build(other, loopback, "", fleet.pem), build(fleet, loopback, "", fleet.pem), false},
		{"other IP address", build(fleet, otherAddr, "", fleet.pem), build(fleet, loopback, "", fleet.pem), false},
		{"no client certificate", build(fleet, loopback, "", fleet.pem), anonymous, false},
		{"old version", build(fleet, loopback, "", fleet.pem), old, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			serverErr, clientErr := handshake(t, tc.server, tc.client)
			qt.Assert(t, serverErr == nil && clientErr == nil, qt.Equals, tc.ok, qt.Commentf("server %v, client %v", serverErr, clientErr))
		})
	}
}

func TestFiles(t *testing.T) {
	c := qt.New(t)
	none, err := Files{}.Config()
	c.Assert(err, qt.IsNil)
	c.Assert(none, qt.IsNil)

	a := newAuthority(t)
	certificate, key := a.issue(t, netip.MustParseAddr("127.0.0.1"), "")
	dir := t.TempDir()
	write := func(name string, b []byte) string {
		p := filepath.Join(dir, name)
		c.Assert(os.WriteFile(p, b, 0o600), qt.IsNil)
		return p
	}
	f := Files{Certificate: write("cert.pem", certificate), Key: write("key.pem", key), Authorities: write("ca.pem", a.pem)}
	got, err := f.Config()
	c.Assert(err, qt.IsNil)
	c.Assert(got.ClientAuth, qt.Equals, tls.RequireAndVerifyClientCert)

	tests := []struct {
		name  string
		files Files
		op    string
	}{
		{"no certificate", Files{Key: f.Key, Authorities: f.Authorities}, "read certificate"},
		{"no key", Files{Certificate: f.Certificate, Authorities: f.Authorities}, "read key"},
		{"no authorities", Files{Certificate: f.Certificate, Key: f.Key}, "read authorities"},
		{"key in place of certificate", Files{Certificate: f.Key, Key: f.Key, Authorities: f.Authorities}, "parse certificate"},
		{"key in place of authorities", Files{Certificate: f.Certificate, Key: f.Key, Authorities: f.Key}, "parse authorities"},
	}
	for _, tc := range tests {
		c.Run(tc.name, func(c *qt.C) {
			_, err := tc.files.Config()
			var e *Error
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Assert(e.Op, qt.Equals, tc.op)
			c.Assert(e.Kind, qt.Equals, KindMalformed)
		})
	}
}
