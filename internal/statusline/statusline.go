// Package statusline finds the status line of an HTTP/1.x response in places where none belongs: a server that breaks off a response may write another one
// behind the part that it has sent.
package statusline

import (
	"net/http"
	"slices"
	"strings"
)

// version begins a status line, and the minor version, a space and the status code follow.
const version = "HTTP/1."

// Begins reports whether a text begins like a status line.
func Begins(text string) bool {
	rest, found := strings.CutPrefix(text, version)
	return found && hasCode(rest)
}

// In reports whether a text holds the beginning of a status line.
func In(text string) bool {
	for {
		_, rest, found := strings.Cut(text, version)
		if !found {
			return false
		}
		if hasCode(rest) {
			return true
		}
		text = rest
	}
}

// hasCode reports whether a text begins with a minor version, a space and a status code.
func hasCode(text string) bool {
	const length = len("1 200")
	if len(text) < length || !isDigit(text[0]) || text[1] != ' ' || text[2] < '1' || text[2] > '5' || !isDigit(text[3]) || !isDigit(text[4]) {
		return false
	}
	return len(text) == length || text[length] == ' ' || text[length] == '\r' || text[length] == '\n'
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// InHead reports whether the head of a response holds a further status line: the server broke it off and wrote another response, whose headers would
// count as those of the first one.
func InHead(response *http.Response) bool {
	if In(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, In) {
			return true
		}
	}
	return false
}
