// Package credential takes the caller's key out of a request, so that nothing behind the entry sees it.
package credential

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// queryNames are the query parameters in which a key may come.
var queryNames = []string{"api_key", "key"}

// Credential is the key of one request.
type Credential struct {
	key string
}

// Extract returns the request's key and removes every place that may hold it from the request.
func Extract(r *http.Request) (Credential, bool) {
	key := keyFromHeader(r.Header)
	query, malformed := url.ParseQuery(r.URL.RawQuery)
	for _, name := range queryNames {
		if key == "" {
			key = query.Get(name)
		}
	}
	r.Header.Del(api.HeaderAuthorization)
	r.Header.Del(api.HeaderAPIKey)
	if key == "" {
		return Credential{}, false
	}
	removeKeyFromQuery(r, query, key, malformed != nil)
	for name, values := range r.Header {
		if anyContains(values, key) || strings.Contains(strings.ToLower(name), strings.ToLower(key)) {
			r.Header.Del(name)
		}
	}
	return Credential{key: key}, true
}

// Digest returns the digest under which the key is configured.
func (c Credential) Digest() ident.KeyDigest { return ident.DigestKey(c.key) }

// AppearsIn reports whether the key stands in a text.
func (c Credential) AppearsIn(text []byte) bool { return bytes.Contains(text, []byte(c.key)) }

func keyFromHeader(header http.Header) string {
	if key := header.Get(api.HeaderAPIKey); key != "" {
		return key
	}
	scheme, key, found := strings.Cut(header.Get(api.HeaderAuthorization), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// removeKeyFromQuery leaves the parameters without the key; a malformed query loses what could not be read.
func removeKeyFromQuery(r *http.Request, query url.Values, key string, reencode bool) {
	for name, values := range query {
		if anyContains(values, key) || strings.Contains(name, key) {
			query.Del(name)
			reencode = true
		}
	}
	if reencode {
		r.URL.RawQuery = query.Encode()
	}
}

func anyContains(values []string, key string) bool {
	for _, value := range values {
		if strings.Contains(value, key) {
			return true
		}
	}
	return false
}
