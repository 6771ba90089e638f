package listener_test

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/listener"
	"vanillapond/internal/stub/authoritystub"
)

// newFiles creates a certificate authority and returns a certificate signed by it.
func newFiles(t *testing.T) certificate.Files {
	t.Helper()
	directory := t.TempDir()
	if err := authoritystub.Write(directory); err != nil {
		t.Fatal(err)
	}
	return certificate.Files{
		Certificate: filepath.Join(directory, authoritystub.FileCertificate),
		Key:         filepath.Join(directory, authoritystub.FileKey),
		Authority:   filepath.Join(directory, authoritystub.FileAuthority),
	}
}

func serve(t *testing.T, config listener.Config) string {
	t.Helper()
	config.Address = "127.0.0.1:0"
	started, err := listener.Start(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { started.Drain(t.Context()) })
	return started.Address()
}

// get returns the response body, or an empty string if the request fails.
func get(t *testing.T, client *http.Client, url string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	response, err := client.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

var greet = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })

// TestMutualTLS checks that only clients with a certificate of the authority are accepted, and that replaced files take effect
// without a restart.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	trusted, foreign := newFiles(t), newFiles(t)
	serverConfig, err := certificate.NewServerConfig(trusted, "http/1.1")
	is.NoErr(err)
	url := "https://" + serve(t, listener.Config{Handler: greet, TLS: serverConfig})
	trustedClient, err := certificate.NewClient(trusted)
	is.NoErr(err)
	foreignClient, err := certificate.NewClient(foreign)
	is.NoErr(err)
	clientWithoutCertificate, err := certificate.NewClientWithAuthority(trusted.Authority)
	is.NoErr(err)
	is.Equal(get(t, trustedClient, url), "hello")
	is.Equal(get(t, foreignClient, url), "")            // certificate of another authority
	is.Equal(get(t, clientWithoutCertificate, url), "") // no client certificate
	is.Equal(get(t, trustedClient, "http"+url[len("https"):]), "Client sent an HTTP request to an HTTPS server.\n")

	for from, to := range map[string]string{
		foreign.Certificate: trusted.Certificate, foreign.Key: trusted.Key, foreign.Authority: trusted.Authority,
	} {
		content, err := os.ReadFile(from)
		is.NoErr(err)
		is.NoErr(os.WriteFile(to, content, 0o600))
	}
	deadline := time.Now().Add(10 * time.Second)
	for get(t, foreignClient, url) != "hello" {
		is.True(time.Now().Before(deadline)) // reloaded within seconds
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(get(t, trustedClient, url), "hello") // its files were replaced as well
	is.Equal(get(t, clientWithoutCertificate, url), "")
}

// TestPanic checks that a panic affects only its own request and is reported.
func TestPanic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reasons := make(chan string, 2)
	url := "http://" + serve(t, listener.Config{OnPanic: func(reason string) { reasons <- reason }, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/panic":
				panic("a fault")
			case "/abort":
				panic(http.ErrAbortHandler)
			default:
				greet(w, r)
			}
		})})
	is.Equal(get(t, http.DefaultClient, url+"/panic"), "")
	is.Equal(get(t, http.DefaultClient, url+"/abort"), "")
	is.Equal(get(t, http.DefaultClient, url), "hello")
	is.Equal(<-reasons, "a fault")
	is.Equal(len(reasons), 0) // http.ErrAbortHandler is not reported
}

// TestHeaderLimit checks that a large request header is refused.
func TestHeaderLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	url := "http://" + serve(t, listener.Config{Handler: greet})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	is.NoErr(err)
	request.Header.Set("X-Large", strings.Repeat("a", 128<<10))
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
