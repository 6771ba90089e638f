package operator

import (
	"bytes"
	"encoding/json"

	"github.com/samber/oops"
)

// Message is a wire type that can be validated.
type Message interface {
	// Check returns an error that names the first invalid field, or nil.
	Check() error
}

// Codec encodes messages as JSON, and validates them when it decodes them.
type Codec struct{}

// Name implements connect.Codec.
func (Codec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (Codec) Marshal(value any) ([]byte, error) { return json.Marshal(value) }

// Unmarshal implements connect.Codec. Unknown fields are errors.
func (Codec) Unmarshal(body []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	message, ok := value.(Message)
	if !ok {
		return oops.Errorf("codec: found %T, want a type that checks itself", value)
	}
	return message.Check()
}
