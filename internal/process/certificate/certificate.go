// Package certificate provides the TLS certificates of a process and reloads them when their files change.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/httpresponse"
)

// reloadInterval is the minimum interval between two checks of the files for changes.
const reloadInterval = time.Second

// Limits for idle connections of a client.
const (
	idleConnections = 2
	idleTimeout     = time.Minute
)

// Files contains the paths of a process's PEM files.
type Files struct {
	// Certificate and Key are the process's own certificate and its private key.
	Certificate string `yaml:"certificate_file"`
	Key         string `yaml:"key_file"`
	// Authority holds the certificates of the authorities that sign the peers' certificates; empty if peers present none.
	Authority string `yaml:"authority_file"`
}

// IsSet reports whether any file is configured.
func (f Files) IsSet() bool { return f != Files{} }

// Check returns an error if only one of the certificate and its key is configured.
func (f Files) Check() error {
	if f.IsSet() && (f.Certificate == "" || f.Key == "") {
		return oops.Errorf("certificate_file: found %q with key_file %q, want both", f.Certificate, f.Key)
	}
	return nil
}

// contents is what was loaded from the files.
type contents struct {
	certificate *tls.Certificate
	// authority is nil if no authority file is configured.
	authority *x509.CertPool
}

// Reloader provides the certificates and reloads them when the files change.
type Reloader struct {
	files Files
	mu    sync.Mutex
	// loaded is never nil; guarded by mu.
	loaded *contents
	// checkedAt is when the files were last checked for changes, and modifiedAt the modification time of the loaded files; both
	// are guarded by mu.
	checkedAt  time.Time
	modifiedAt time.Time
}

// NewReloader loads the files.
func NewReloader(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	var err error
	if r.loaded, err = load(files); err != nil {
		return nil, err
	}
	r.checkedAt, r.modifiedAt = time.Now(), r.lastModified()
	return r, nil
}

// NewServerConfig returns the TLS configuration of a listener that uses the files, or nil if none are configured.
func NewServerConfig(files Files, protocols ...string) (*tls.Config, error) {
	if !files.IsSet() {
		return nil, nil //nolint:nilnil // No files mean a plain listener.
	}
	reloader, err := NewReloader(files)
	if err != nil {
		return nil, err
	}
	return reloader.ServerConfig(protocols...), nil
}

// NewClient returns an HTTP client that uses the files for TLS; if none are configured, it has the default TLS configuration.
func NewClient(files Files) (*http.Client, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}
	if files.IsSet() {
		reloader, err := NewReloader(files)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = reloader.ClientConfig()
	}
	return httpresponse.NewClient(transport), nil
}

// NewClientWithAuthority returns an HTTP client that verifies servers against the authorities in a file, or against the system's
// authorities if the path is empty. It presents no certificate.
func NewClientWithAuthority(authority string) (*http.Client, error) {
	if authority == "" {
		return httpresponse.NewClient(nil), nil
	}
	pool, err := loadPool(authority)
	if err != nil {
		return nil, err
	}
	return httpresponse.NewClient(&http.Transport{
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool},
	}), nil
}

// ServerConfig returns the TLS configuration of a listener. If an authority file is configured, clients must present a
// certificate signed by one of its authorities.
//
// Protocols are the ALPN protocols in order of preference, such as h2 and http/1.1.
func (r *Reloader) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := r.current()
			config := &tls.Config{
				MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: []tls.Certificate{*loaded.certificate},
			}
			if loaded.authority != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = loaded.authority
			}
			return config, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a client. It presents the certificate and verifies the server's certificate
// against the authority file and the dialed name.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.current().certificate, nil
		},
		// VerifyConnection verifies the chain and the name against the authority file as last loaded. RootCAs would be fixed.
		InsecureSkipVerify: true, //nolint:gosec // See VerifyConnection.
		VerifyConnection:   r.verifyServer,
	}
}

func (r *Reloader) verifyServer(state tls.ConnectionState) error {
	options := x509.VerifyOptions{
		Roots: r.current().authority, DNSName: state.ServerName, Intermediates: x509.NewCertPool(),
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// current returns the contents of the files, reloaded if a file has changed. If that fails, the previous contents stay in use.
func (r *Reloader) current() *contents {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) < reloadInterval {
		return r.loaded
	}
	r.checkedAt = time.Now()
	modifiedAt := r.lastModified()
	if modifiedAt.Equal(r.modifiedAt) {
		return r.loaded
	}
	if next, err := load(r.files); err == nil {
		r.loaded, r.modifiedAt = next, modifiedAt
	}
	return r.loaded
}

// lastModified returns the latest modification time of the files.
func (r *Reloader) lastModified() time.Time {
	var last time.Time
	for _, name := range []string{r.files.Certificate, r.files.Key, r.files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

func load(files Files) (*contents, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, oops.Wrapf(err, "certificate")
	}
	loaded := &contents{certificate: &pair}
	if files.Authority == "" {
		return loaded, nil
	}
	loaded.authority, err = loadPool(files.Authority)
	return loaded, err
}

func loadPool(path string) (*x509.CertPool, error) {
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
