package settings

import (
	"errors"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/samber/oops"
	"go.yaml.in/yaml/v3"
)

// Patterns of error messages from the YAML decoder and from Check methods.
var (
	unknownField = regexp.MustCompile(`^line (\d+): field (\S+) not found in type (\S+)$`)
	wrongType    = regexp.MustCompile("^line (\\d+): cannot unmarshal \\S+ `?(.*?)`? into (\\S+)$")
	checkedField = regexp.MustCompile(`^([a-z_]+(?:\[\d+\])?(?:\.[a-z_]+(?:\[\d+\])?)*): `)
)

// explainDecodeError returns an error with the file, line and field of the decoder's first error, what was found there and what
// is allowed.
func explainDecodeError(path string, value any, err error) error {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) || len(typeError.Errors) == 0 {
		return oops.Errorf("%s: %v", path, err)
	}
	first := typeError.Errors[0]
	if match := unknownField.FindStringSubmatch(first); match != nil {
		allowed := fieldsOf(reflect.TypeOf(value), match[3])
		return oops.Errorf("%s:%s: %s: found an unknown field, want one of %s", path, match[1], match[2], strings.Join(allowed, ", "))
	}
	if match := wrongType.FindStringSubmatch(first); match != nil {
		return oops.Errorf("%s:%s: found %q, want %s", path, match[1], match[2], match[3])
	}
	return oops.Errorf("%s: %s", path, first)
}

// fieldsOf returns the YAML names of the fields of the struct type with the given name, which is searched for within a type.
func fieldsOf(within reflect.Type, name string) []string {
	switch within.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return fieldsOf(within.Elem(), name)
	case reflect.Struct:
		return fieldsOfStruct(within, name)
	default:
		return nil
	}
}

func fieldsOfStruct(within reflect.Type, name string) []string {
	var fields []string
	for index := range within.NumField() {
		field := within.Field(index)
		if within.String() != name {
			if found := fieldsOf(field.Type, name); found != nil {
				return found
			}
			continue
		}
		if tag, _, _ := strings.Cut(field.Tag.Get("yaml"), ","); tag != "" {
			fields = append(fields, tag)
		}
	}
	return fields
}

// locateError adds the file to an error from Check, and the line of the field with which the error's message starts.
func locateError(path string, content []byte, err error) error {
	match := checkedField.FindStringSubmatch(err.Error())
	var document yaml.Node
	if match == nil || yaml.Unmarshal(content, &document) != nil || len(document.Content) == 0 {
		return oops.Errorf("%s: %v", path, err)
	}
	return oops.Errorf("%s:%d: %v", path, lineOf(document.Content[0], match[1]), err)
}

// lineOf returns the line of a field, or of its nearest enclosing node if the field is absent.
func lineOf(node *yaml.Node, field string) int {
	line := node.Line
	for name := range strings.FieldsFuncSeq(field, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		child := childOf(node, name)
		if child == nil {
			return line
		}
		node, line = child, child.Line
	}
	return line
}

func childOf(node *yaml.Node, name string) *yaml.Node {
	if index, err := strconv.Atoi(name); err == nil && node.Kind == yaml.SequenceNode && index < len(node.Content) {
		return node.Content[index]
	}
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for index := 0; index+1 < len(node.Content); index += 2 {
		if node.Content[index].Value == name {
			return node.Content[index+1]
		}
	}
	return nil
}
