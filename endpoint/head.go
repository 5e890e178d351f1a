package endpoint

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrBrokenAnswer is returned for an answer that breaks the rules of HTTP. Nothing that it says is
// used: whether its request ran is unknown.
var ErrBrokenAnswer = errors.New("broken answer")

// maxStatus is the highest status that HTTP defines a class for (RFC 9110, section 15).
const maxStatus = 599

// CheckHead returns an error that wraps ErrBrokenAnswer for the head of a final answer that breaks
// the rules. A status of 101 does so, since no request asks for another protocol.
func CheckHead(status int, header http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrBrokenAnswer, status)
	}
	return CheckFields(header)
}

// CheckFields returns an error that wraps ErrBrokenAnswer if a field of a head or trailer has a name
// that no field can have. net/http reads "Content-Length : 5" as a field of another name and so
// misses the end of the body.
func CheckFields(header http.Header) error {
	for name := range header {
		if !isToken(name) {
			return fmt.Errorf("%w: field name %.64q", ErrBrokenAnswer, name)
		}
	}
	return nil
}

// tokenSymbols are the characters of a token beside letters and digits (RFC 9110, section 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isToken reports whether s can be the name of a field.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte(tokenSymbols, c) >= 0
}
