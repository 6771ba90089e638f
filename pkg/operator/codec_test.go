package operator_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/pkg/operator"
)

// FuzzPatchRequest checks that any input is either refused or decoded to a valid request, which has the same content after it is
// encoded and decoded again.
func FuzzPatchRequest(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"patch":{"id":"a","base":1}}`, `{"patch":{"id":"A"}}`, `{"patch":{"id":"a","more":1}}`, `[`, `null`,
		`{"patch":{"id":"a","set":{"keys":[{"digest":"x","customer":"b","classes":null}]},"remove":{"keys":[""]}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var request, decodedAgain operator.PatchRequest
		if (operator.Codec{}).Unmarshal(body, &request) != nil {
			return
		}
		if err := request.Check(); err != nil {
			t.Fatalf("decoded request is invalid: %v", err)
		}
		encoded, err := operator.Codec{}.Marshal(&request)
		if err != nil {
			t.Fatal(err)
		}
		if err := (operator.Codec{}).Unmarshal(encoded, &decodedAgain); err != nil {
			t.Fatal(err)
		}
		first, _ := request.Patch.Digest()
		second, _ := decodedAgain.Patch.Digest()
		if first != second {
			t.Fatalf("digest of the patch changed when the request was decoded again: encoded %s, input %s", encoded, body)
		}
	})
}

func TestCodecErrors(t *testing.T) {
	t.Parallel()
	for body, want := range map[string]string{
		`{"patch":{"id":"a","extra":1}}`: `unknown field "extra"`,
		`{"patch":{"id":""}}`:            "patch.id: found nothing, want a name",
		`{"patch":{"id":"A"}}`:           `patch.id: found "A", want lower-case letters`,
		`{"patch":{"id":1}}`:             "cannot unmarshal number into Go struct field",
		``:                               "EOF",
	} {
		t.Run(want, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var request operator.PatchRequest
			err := operator.Codec{}.Unmarshal([]byte(body), &request)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), want))
		})
	}
}
