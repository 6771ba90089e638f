// Package certificate holds a process's TLS certificates, which are reloaded from their files without a restart.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
)

// reloadInterval is the least time between two looks at the files.
const reloadInterval = time.Second

// Idle connections of a dialer.
const (
	idleConnections = 2
	idleTimeout     = time.Minute
)

// Files name a process's PEM files.
type Files struct {
	// Certificate and Key are the process's own.
	Certificate string `yaml:"certificate_file"`
	Key         string `yaml:"key_file"`
	// Authority holds the certificates that sign those of the other side; empty where the other side shows none.
	Authority string `yaml:"authority_file"`
}

// IsSet reports whether files are named.
func (f Files) IsSet() bool { return f != Files{} }

// Check returns an error where the certificate or its key is missing.
func (f Files) Check() error {
	if f.IsSet() && (f.Certificate == "" || f.Key == "") {
		return oops.Errorf("certificate_file: found %q with key_file %q, want both", f.Certificate, f.Key)
	}
	return nil
}

// material is what the files held at one look.
type material struct {
	certificate *tls.Certificate
	// authority is nil where no authority is named.
	authority *x509.CertPool
}

// Reloader gives the certificates in the files now.
type Reloader struct {
	files Files
	mu    sync.Mutex
	// held is never nil; guarded by mu.
	held *material
	// looked is when the files were last looked at, and changed when they had last changed then; guarded by mu.
	looked  time.Time
	changed time.Time
}

// NewReloader reads the files.
func NewReloader(files Files) (*Reloader, error) {
	k := &Reloader{files: files}
	var err error
	if k.held, err = read(files); err != nil {
		return nil, err
	}
	k.looked, k.changed = time.Now(), k.modified()
	return k, nil
}

// NewServerConfig returns the settings of a listener with the files, or nil where none are named.
func NewServerConfig(files Files, protocols ...string) (*tls.Config, error) {
	if !files.IsSet() {
		return nil, nil //nolint:nilnil // No files mean a plain listener.
	}
	keeper, err := NewReloader(files)
	if err != nil {
		return nil, err
	}
	return keeper.ServerConfig(protocols...), nil
}

// NewClient returns a client that dials with the files; without files it is a plain one.
func NewClient(files Files) (*http.Client, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}
	if files.IsSet() {
		keeper, err := NewReloader(files)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = keeper.ClientConfig()
	}
	return &http.Client{Transport: transport}, nil
}

// NewClientWithAuthority returns a client that wants a certificate signed by the authority in a file; empty means the system's.
func NewClientWithAuthority(authority string) (*http.Client, error) {
	if authority == "" {
		return http.DefaultClient, nil
	}
	pool, err := readPool(authority)
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool},
	}}, nil
}

// ServerConfig returns the settings of a listener; with an authority the other side must show a certificate of it.
//
// Protocols are offered in their order, as in h2 and http/1.1.
func (k *Reloader) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := k.current()
			config := &tls.Config{
				MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: []tls.Certificate{*now.certificate},
			}
			if now.authority != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = now.authority
			}
			return config, nil
		},
	}
}

// ClientConfig returns the settings of a dialer: it shows the certificate and wants one of the authority for the dialed name.
func (k *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current().certificate, nil
		},
		// VerifyConnection checks chain and name against the authority in the file now.
		InsecureSkipVerify: true, //nolint:gosec // See VerifyConnection.
		VerifyConnection:   k.verify,
	}
}

func (k *Reloader) verify(state tls.ConnectionState) error {
	options := x509.VerifyOptions{
		Roots: k.current().authority, DNSName: state.ServerName, Intermediates: x509.NewCertPool(),
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// current returns the material, read again where a file has changed; what can't be read leaves the old in use.
func (k *Reloader) current() *material {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.looked) < reloadInterval {
		return k.held
	}
	k.looked = time.Now()
	changed := k.modified()
	if changed.Equal(k.changed) {
		return k.held
	}
	if next, err := read(k.files); err == nil {
		k.held, k.changed = next, changed
	}
	return k.held
}

// modified returns when a file last changed.
func (k *Reloader) modified() time.Time {
	var last time.Time
	for _, name := range []string{k.files.Certificate, k.files.Key, k.files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

func read(files Files) (*material, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, oops.Wrapf(err, "certificate")
	}
	read := &material{certificate: &pair}
	if files.Authority == "" {
		return read, nil
	}
	read.authority, err = readPool(files.Authority)
	return read, err
}

func readPool(path string) (*x509.CertPool, error) {
	content, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, oops.Wrapf(err, "certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, oops.Errorf("%s: found no certificate, want at least one in PEM form", path)
	}
	return pool, nil
}
