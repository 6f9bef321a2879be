package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/oriolepost/oriolepost/settings"
)

// TLSConfig returns a configuration for mutual TLS with the files of the
// settings. The files are read again at every handshake, so renewed certificates
// take effect without a restart.
func TLSConfig(files settings.TLS) (*tls.Config, error) {
	if _, err := loadConfig(files); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return loadConfig(files)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c, err := loadConfig(files)
			if err != nil {
				return nil, err
			}
			return &c.Certificates[0], nil
		},
		// The standard verification uses a fixed set of authorities, but the
		// authority file may have changed since. VerifyConnection reads it again
		// and verifies the certificate instead.
		InsecureSkipVerify: true, //nolint:gosec // verified by VerifyConnection
		VerifyConnection: func(state tls.ConnectionState) error {
			c, err := loadConfig(files)
			if err != nil {
				return err
			}
			return verifyServer(state, c.RootCAs)
		},
	}, nil
}

// verifyServer verifies a server's certificate chain, validity period and name.
func verifyServer(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	options := x509.VerifyOptions{Roots: roots, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

func loadConfig(files settings.TLS) (config *tls.Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load peer certificates: %w", err)
		}
	}()
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("%s holds no certificate", files.AuthorityFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
