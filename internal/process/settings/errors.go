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

// Forms of the decoder's and of the checks' messages.
var (
	unknownField = regexp.MustCompile(`^line (\d+): field (\S+) not found in type (\S+)$`)
	wrongType    = regexp.MustCompile("^line (\\d+): cannot unmarshal \\S+ `?(.*?)`? into (\\S+)$")
	checkedField = regexp.MustCompile(`^([a-z_]+(?:\[\d+\])?(?:\.[a-z_]+(?:\[\d+\])?)*): `)
)

// explain names the file, the line and the field of the decoder's first error, what was found and what is allowed.
func explain(path string, value any, err error) error {
	var mistakes *yaml.TypeError
	if !errors.As(err, &mistakes) || len(mistakes.Errors) == 0 {
		return oops.Errorf("%s: %v", path, err)
	}
	first := mistakes.Errors[0]
	if parts := unknownField.FindStringSubmatch(first); parts != nil {
		allowed := fieldsOf(reflect.TypeOf(value), parts[3])
		return oops.Errorf("%s:%s: %s: found an unknown field, want one of %s", path, parts[1], parts[2], strings.Join(allowed, ", "))
	}
	if parts := wrongType.FindStringSubmatch(first); parts != nil {
		return oops.Errorf("%s:%s: found %q, want %s", path, parts[1], parts[2], parts[3])
	}
	return oops.Errorf("%s: %s", path, first)
}

// fieldsOf returns the fields of the named struct type within a type.
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

// locate adds the file and the line of the field that a check's error starts with.
func locate(path string, content []byte, err error) error {
	parts := checkedField.FindStringSubmatch(err.Error())
	var document yaml.Node
	if parts == nil || yaml.Unmarshal(content, &document) != nil || len(document.Content) == 0 {
		return oops.Errorf("%s: %v", path, err)
	}
	return oops.Errorf("%s:%d: %v", path, lineOf(document.Content[0], parts[1]), err)
}

// lineOf returns the line of a field, or of the nearest part around it that is present.
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
