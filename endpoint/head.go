package endpoint

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrBrokenAnswer is returned for an answer that breaks the rules of HTTP. Nothing that it says is
// used: whether its request ran is unknown.
var ErrBrokenAnswer = errors.New("broken answer")

// maxStatus is the highest status that HTTP defines a class for (RFC 9110, section 15).
const maxStatus = 599

// CheckHead returns an error that wraps ErrBrokenAnswer for a status that no final answer can have.
// 101 is one of them, since no request asks for another protocol.
func CheckHead(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrBrokenAnswer, status)
	}
	return nil
}
