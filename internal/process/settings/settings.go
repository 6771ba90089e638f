// Package settings reads the YAML settings files of processes.
package settings

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/samber/oops"
	"go.yaml.in/yaml/v3"
)

// Checker is a settings type that validates itself.
type Checker interface {
	// Check returns an error whose message starts with the path of the first invalid field.
	Check() error
}

// Load reads a YAML file into a value of type T and checks it.
//
// Unknown fields are errors. Errors contain the file, the line, the field, what was found and what is allowed.
func Load[T any, P interface {
	*T
	Checker
}](path string) (T, error) {
	value, content, err := read[T](path)
	if err != nil {
		return value, err
	}
	if err := P(&value).Check(); err != nil {
		return value, locateError(path, content, err)
	}
	return value, nil
}

// Read reads a YAML file into a value of type T without a check; its errors have the form of those of Load.
func Read[T any](path string) (T, error) {
	value, _, err := read[T](path)
	return value, err
}

func read[T any](path string) (value T, content []byte, err error) {
	content, err = os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return value, nil, oops.Wrapf(err, "settings")
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&value); err != nil && !errors.Is(err, io.EOF) {
		return value, nil, explainDecodeError(path, value, err)
	}
	return value, content, nil
}

// Secret returns the secret from a file without trailing newlines, or from an environment variable if the path is empty.
func Secret(path, variable string) (string, error) {
	if path == "" {
		return os.Getenv(variable), nil
	}
	content, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return "", oops.Wrapf(err, "secret")
	}
	return string(bytes.TrimRight(content, "\r\n")), nil
}
