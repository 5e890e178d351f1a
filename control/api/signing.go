package api

import (
	"encoding/binary"
	"time"

	"toucantiller.dev/contract"
)

// Limits on the signing time of operations.
const (
	// OperationValidity is how long after its signing a change is accepted.
	OperationValidity = time.Hour
	// ClockTolerance is how far a signing time may be ahead of the leader's clock.
	ClockTolerance = 5 * time.Minute
)

// Change is a change that an operator signs: ApplyBundle, SetDomain, AbortMove or
// ChangeReplicas.
type Change interface {
	// Op returns the operation of the change, which callers may modify.
	Op() *Operation
	// method returns the name of the RPC method, which is part of what is signed.
	method() string
	// signedFields returns every field except the operation, in a fixed order.
	signedFields() []string
}

// SigningBytes returns the exact bytes that the operator of a change signs: the
// method, the operation without its signature, and every field of the change. Each
// part is preceded by its length, so no two changes have the same bytes.
func SigningBytes(change Change) []byte {
	op := change.Op()
	parts := []string{"toucantiller change v1", change.method(), op.ID, op.Operator, formatTime(op.At)}
	return joinParts(append(parts, change.signedFields()...))
}

// ContentBytes returns the bytes that identify a change: everything that is signed except
// the time of signing, since an operator who resends a change signs it again.
func ContentBytes(change Change) []byte {
	op := change.Op()
	parts := []string{change.method(), op.ID, op.Operator}
	return joinParts(append(parts, change.signedFields()...))
}

// Sign sets the time and the signature of a change. All other fields must be set before.
func Sign(change Change, key contract.SigningKey, at time.Time) {
	op := change.Op()
	op.At = at.UTC()
	op.Signature = key.Sign(SigningBytes(change))
}

// Op returns the operation.
func (c *ApplyBundle) Op() *Operation { return &c.Operation }

// Op returns the operation.
func (c *SetDomain) Op() *Operation { return &c.Operation }

// Op returns the operation.
func (c *AbortMove) Op() *Operation { return &c.Operation }

// Op returns the operation.
func (c *ChangeReplicas) Op() *Operation { return &c.Operation }

func (c *ApplyBundle) method() string    { return "ApplyBundle" }
func (c *SetDomain) method() string      { return "SetDomain" }
func (c *AbortMove) method() string      { return "AbortMove" }
func (c *ChangeReplicas) method() string { return "ChangeReplicas" }

func (c *ApplyBundle) signedFields() []string {
	fields := []string{contract.Digest(c.Content)}
	for _, s := range c.Signatures {
		fields = append(fields, s.Operator, formatTime(s.At), string(s.Signature))
	}
	return fields
}

func (c *SetDomain) signedFields() []string { return []string{string(c.Domain), string(c.State)} }

func (c *AbortMove) signedFields() []string { return []string{c.Service, c.Reason} }

func (c *ChangeReplicas) signedFields() []string { return []string{string(c.Action), c.Address} }

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }

// joinParts concatenates parts, each preceded by its length in 8 bytes, big endian.
func joinParts(parts []string) []byte {
	var out []byte
	for _, p := range parts {
		out = binary.BigEndian.AppendUint64(out, uint64(len(p)))
		out = append(out, p...)
	}
	return out
}
