package fleetkey

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// This file defines the mutual TLS between daemons.

// Files names the PEM files of a daemon. The zero value means no TLS.
type Files struct {
	Certificate string
	Key         string
	// Authorities holds the certificates of the authorities that sign those
	// of the fleet. It may hold an old and a new one.
	Authorities string
	// ServerName, when set, is the DNS name that every daemon's certificate
	// carries. Without it a certificate must carry the IP number dialled.
	ServerName string
}

// Enabled reports whether any file is set.
func (f Files) Enabled() bool { return f.Certificate != "" || f.Key != "" || f.Authorities != "" }

// Config returns the configuration for both sides of a connection: each shows
// its certificate and verifies the other's. It is nil when no file is set.
func (f Files) Config() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return nil, malformed("read certificate", err)
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, malformed("read key", err)
	}
	authorities, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, malformed("read authorities", err)
	}
	return config(certificate, key, authorities, f.ServerName)
}

// config builds the configuration from the content of the files.
func config(certificate, key, authorities []byte, name string) (*tls.Config, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, malformed("parse certificate", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, malformed("parse authorities", errors.New("no certificate"))
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
