package fleetkey

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// This file configures mutual TLS between daemons.

// Files names the PEM files of a daemon. The zero value means no TLS.
type Files struct {
	Certificate string
	Key         string
	// Authorities holds the certificates of the authorities that sign the
	// fleet's certificates. It may hold an old and a new one.
	Authorities string
	// ServerName, if set, is the DNS name in every daemon's certificate.
	// Without it a certificate must contain the dialed IP address.
	ServerName string
}

// Enabled reports whether any file is set.
func (f Files) Enabled() bool { return f.Certificate != "" || f.Key != "" || f.Authorities != "" }

// Config returns the configuration for both sides of a connection: each
// presents its certificate and verifies the other's. It is nil without files.
func (f Files) Config() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return nil, malformedError("read certificate", err)
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, malformedError("read key", err)
	}
	authorities, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, malformedError("read authorities", err)
	}
	return newTLSConfig(certificate, key, authorities, f.ServerName)
}

// newTLSConfig builds the configuration from the contents of the files.
func newTLSConfig(certificate, key, authorities []byte, name string) (*tls.Config, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, malformedError("parse certificate", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, malformedError("parse authorities", errors.New("no certificate"))
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   name,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
