// Package authoritystub is a stub of a certificate authority, for tests and trials.
package authoritystub

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
	"path/filepath"
	"time"

	"github.com/samber/oops"
)

// Names of the files that Write creates.
const (
	FileAuthority   = "authority.pem"
	FileCertificate = "certificate.pem"
	FileKey         = "key.pem"
)

// validity is how long the certificates are valid.
const validity = 24 * time.Hour

// Write creates a certificate authority and a certificate for loopback that it has signed, as PEM files in a directory.
func Write(directory string) error {
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "stand-in authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	process := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, DNSNames: []string{"localhost"},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return oops.Wrapf(err, "generate authority key")
	}
	processKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return oops.Wrapf(err, "generate process key")
	}
	signed, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return oops.Wrapf(err, "sign authority certificate")
	}
	leaf, err := x509.CreateCertificate(rand.Reader, process, authority, &processKey.PublicKey, authorityKey)
	if err != nil {
		return oops.Wrapf(err, "sign process certificate")
	}
	key, err := x509.MarshalPKCS8PrivateKey(processKey)
	if err != nil {
		return oops.Wrapf(err, "encode process key")
	}
	for _, file := range []struct {
		name, kind string
		content    []byte
	}{{FileAuthority, "CERTIFICATE", signed}, {FileCertificate, "CERTIFICATE", leaf}, {FileKey, "PRIVATE KEY", key}} {
		block := pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.content})
		if err := os.WriteFile(filepath.Join(directory, file.name), block, 0o600); err != nil {
			return oops.Wrapf(err, "write %s", file.name)
		}
	}
	return nil
}
