package credential_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/request/credential"
)

const key = "vp-secret"

// FuzzExtract leaves the key nowhere in what an endpoint would see of header and query.
func FuzzExtract(f *testing.F) {
	for _, seed := range [][3]string{
		{"a=b", "X-Note", "nothing"},
		{"api_key=vp-secret", "Cookie", "k=vp-secret"},
		{"key=vp%2Dsecret&a=b", "Vp-Secret", "a"},
		{"a=%zz&b=vp-secret;", "Authorization", "Basic vp-secret"},
		{"vp-secret", "Authorization", "bearer vp-secret"},
		{"a=%76p-secret%", "X-Api-Key", "vp-secret"},
	} {
		f.Add(seed[0], seed[1], seed[2])
	}
	f.Fuzz(func(t *testing.T, query, name, value string) {
		request := &http.Request{URL: &url.URL{Path: "/", RawQuery: query}, Header: make(http.Header)}
		request.Header.Set(name, value)
		request.Header.Set("X-Api-Key", key)
		extracted, found := credential.Extract(request)
		if !found || !extracted.AppearsIn([]byte(key)) {
			t.Fatal("the key was not taken")
		}
		raw := request.URL.RawQuery
		decoded, _ := url.QueryUnescape(raw)
		if strings.Contains(raw, key) || strings.Contains(decoded, key) {
			t.Fatalf("the query %q holds the key", raw)
		}
		for name, values := range request.Header {
			if strings.Contains(strings.ToLower(name), key) || strings.Contains(strings.Join(values, "\n"), key) {
				t.Fatalf("the header field %s holds the key", name)
			}
		}
	})
}

func TestExtractSources(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		query, field, value string
		found               bool
	}{
		"bearer":         {"", "Authorization", "Bearer " + key, true},
		"lower case":     {"", "Authorization", "bearer " + key, true},
		"field":          {"", "X-Api-Key", key, true},
		"query":          {"a=b&api_key=" + key, "", "", true},
		"other scheme":   {"", "Authorization", "Basic " + key, false},
		"scheme alone":   {"", "Authorization", "Bearer ", false},
		"nothing":        {"a=b", "", "", false},
		"empty in query": {"key=", "", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			request := &http.Request{URL: &url.URL{RawQuery: test.query}, Header: http.Header{test.field: {test.value}}}
			extracted, found := credential.Extract(request)
			is.Equal(found, test.found)
			is.True(!found || extracted.AppearsIn([]byte(key)))
		})
	}
}
