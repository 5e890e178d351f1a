package program

import (
	"toucantiller.dev/contract"
	"toucantiller.dev/platform"
)

// DecodeDocument decodes a document in the form of the users' platform. It does not validate it.
func DecodeDocument(content []byte) (*contract.Document, error) {
	return platform.DecodeDocument(content)
}
