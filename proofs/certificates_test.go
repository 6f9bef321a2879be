package proofs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// authority good|expired NAME... creates a certificate authority. For each
// instance it writes a certificate, a key and the authority's certificate to
// NAME.crt, NAME.key and NAME.ca. With "expired" the instances' certificates
// have expired.
func writeCertificates(ts *testscript.TestScript, _ bool, args []string) {
	notAfter := time.Now().Add(time.Hour)
	if args[0] == "expired" {
		notAfter = time.Now().Add(-time.Minute)
	}
	root := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	rootKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	rootDER, err := x509.CreateCertificate(rand.Reader, root, root, rootKey.Public(), rootKey)
	ts.Check(err)
	for i, name := range args[1:] {
		certificate := &x509.Certificate{
			SerialNumber: big.NewInt(int64(i + 2)), Subject: pkix.Name{CommonName: name},
			NotBefore: time.Now().Add(-time.Hour), NotAfter: notAfter,
			IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		}
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		ts.Check(err)
		der, err := x509.CreateCertificate(rand.Reader, certificate, root, key.Public(), rootKey)
		ts.Check(err)
		keyDER, err := x509.MarshalPKCS8PrivateKey(key)
		ts.Check(err)
		writePEM(ts, name+".crt", "CERTIFICATE", der)
		writePEM(ts, name+".key", "PRIVATE KEY", keyDER)
		writePEM(ts, name+".ca", "CERTIFICATE", rootDER)
	}
}

func writePEM(ts *testscript.TestScript, file, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	ts.Check(os.WriteFile(ts.MkAbs(file), data, 0o600))
}
