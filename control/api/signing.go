package api

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// operatorContext separates operator changes from every other use of an operator's key.
const operatorContext = "toucantiller operator change v1\x00"

// Kinds of operator changes, as signed.
const (
	ChangeApplyBundle = "apply bundle"
	ChangeSetDomain   = "set domain"
	ChangeAbortMove   = "abort move"
)

// SigningBytes returns what an operator signs for a change: the context, the operation
// ID, the operator, the kind and the digest of the content, each with its length, so
// that no two changes encode alike. The SigningBytes methods of the changes call it.
func SigningBytes(operationID, operator, kind string, content []byte) []byte {
	digest := sha256.Sum256(content)
	out := []byte(operatorContext)
	for _, part := range [][]byte{[]byte(operationID), []byte(operator), []byte(kind), digest[:]} {
		out = binary.BigEndian.AppendUint64(out, uint64(len(part)))
		out = append(out, part...)
	}
	return out
}

// SigningBytes returns what Operation.Signature covers.
func (a *ApplyBundle) SigningBytes() []byte {
	content, _ := json.Marshal(struct {
		Content    []byte
		Signatures []Signature
	}{a.Content, a.Signatures}) // these types always encode
	return SigningBytes(a.Operation.ID, a.Operation.Operator, ChangeApplyBundle, content)
}

// SigningBytes returns what Operation.Signature covers.
func (s *SetDomain) SigningBytes() []byte {
	content, _ := json.Marshal([]string{string(s.Domain), string(s.State)}) // strings always encode
	return SigningBytes(s.Operation.ID, s.Operation.Operator, ChangeSetDomain, content)
}

// SigningBytes returns what Operation.Signature covers.
func (a *AbortMove) SigningBytes() []byte {
	content, _ := json.Marshal([]string{a.Service, a.Reason}) // strings always encode
	return SigningBytes(a.Operation.ID, a.Operation.Operator, ChangeAbortMove, content)
}
