// Package credential removes the caller's API key from a request, so that it does not leave the entry process.
package credential

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// queryNames are the query parameters that may carry a key.
var queryNames = []string{"api_key", "key"}

// Credential is the API key of one request.
type Credential struct {
	key string
}

// Extract returns the request's key, and false if it has none. It removes the credential header fields from the request, and with
// a key also every header field and query parameter that contains it.
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

// Digest returns the digest of the key; the configuration lists keys by their digests.
func (c Credential) Digest() ident.KeyDigest { return ident.DigestKey(c.key) }

// AppearsIn reports whether text contains the key.
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

// removeKeyFromQuery removes the parameters that contain the key. The query is encoded anew if one was removed or reencode is
// set, as for a malformed query; that also drops what could not be parsed.
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
