package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/oriolepost/oriolepost/settings"
)

// TLSConfig makes mutual TLS out of the settings' files. The files are read
// at every handshake, so renewed certificates count without a restart.
func TLSConfig(t settings.TLS) (*tls.Config, error) {
	if _, err := load(t); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return load(t)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c, err := load(t)
			if err != nil {
				return nil, err
			}
			return &c.Certificates[0], nil
		},
		// The standard check needs the authority when the connection is
		// made, and the file may have changed since, so it is done here.
		InsecureSkipVerify: true, //nolint:gosec // verified by VerifyConnection
		VerifyConnection: func(s tls.ConnectionState) error {
			c, err := load(t)
			if err != nil {
				return err
			}
			return verifyServer(s, c.RootCAs)
		},
	}, nil
}

// verifyServer checks the chain, the time and the name of a server.
func verifyServer(s tls.ConnectionState, roots *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	o := x509.VerifyOptions{Roots: roots, DNSName: s.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

func load(t settings.TLS) (c *tls.Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load peer certificates: %w", err)
		}
	}()
	pair, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(t.AuthorityFile)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("%s holds no certificate", t.AuthorityFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
