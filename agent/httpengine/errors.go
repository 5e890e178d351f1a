package httpengine

import "strings"

// maxErrorText bounds the text of an error, in bytes. net/http quotes the malformed head of an
// answer in full, and time lines and logs keep the texts.
const maxErrorText = 512

// boundedError is an error whose text is cut at maxErrorText.
type boundedError struct{ error }

// Error returns the cut text of the error.
func (e boundedError) Error() string {
	s := e.error.Error()
	if len(s) <= maxErrorText {
		return s
	}
	return strings.ToValidUTF8(s[:maxErrorText], "") + "..."
}

// Unwrap returns the error.
func (e boundedError) Unwrap() error { return e.error }
