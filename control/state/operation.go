package state

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
)

// applyChange runs an operator's change at most once; a resend gets the recorded outcome.
// Changes without a valid signature are refused and not recorded, so that nobody can use up
// the operation ID of another operator.
func (s *State) applyChange(c api.Change, run func() api.ChangeReply) *Result {
	op := c.Op()
	digest := changeDigest(c)
	first, known := s.data.Operations[op.ID]
	if known && first.Digest != digest {
		return s.refusedResult("operation %s was used for another change", op.ID)
	}
	if known && first.Reply.Outcome != api.OutcomePending {
		reply := first.Reply
		return &Result{Change: &reply}
	}
	// The resend of a pending change makes the leader execute it again, so its signature is
	// verified like that of the first.
	if reason := s.checkOperation(c); reason != "" {
		return s.refusedResult("%s", reason)
	}
	if known {
		reply := first.Reply
		return &Result{Change: &reply}
	}
	reply := run()
	reply.Revision = s.data.Revision
	s.data.Operations[op.ID] = &Operation{Digest: digest, Reply: reply, At: s.data.Now}
	return &Result{Change: &reply}
}

// checkOperation returns why the operation of a change is not validly signed, or "".
func (s *State) checkOperation(c api.Change) string {
	op := c.Op()
	if op.ID == "" {
		return "the change has no operation ID"
	}
	key, reason := s.operatorKey(c)
	if reason != "" {
		return reason
	}
	if len(op.Signature) == 0 {
		return "the change is not signed"
	}
	if !ed25519.Verify(key, api.SigningBytes(c), op.Signature) {
		return fmt.Sprintf("the signature of %s does not match the change", op.Operator)
	}
	if s.data.Now.Sub(op.At) > api.OperationValidity {
		return fmt.Sprintf("the signature of %s expired: it was made at %s", op.Operator, op.At.UTC())
	}
	if op.At.Sub(s.data.Now) > api.ClockTolerance {
		return fmt.Sprintf("the signature of %s is dated in the future: %s", op.Operator, op.At.UTC())
	}
	return ""
}

// operatorKey returns the public key of the change's operator, or why there is none. Before the
// first bundle is in force, the operators are those that the bundle in the change lists.
func (s *State) operatorKey(c api.Change) (ed25519.PublicKey, string) {
	operators := s.data.Operators
	if s.data.Current == 0 {
		apply, ok := c.(*api.ApplyBundle)
		if !ok {
			return nil, "no bundle is in force yet"
		}
		b, err := contract.ParseBundle(apply.Content)
		if err != nil {
			return nil, "the bundle is not valid: " + err.Error()
		}
		if operators, err = operatorKeys(b); err != nil {
			return nil, err.Error()
		}
	}
	key, ok := operators[c.Op().Operator]
	if !ok || len(key) != ed25519.PublicKeySize {
		return nil, fmt.Sprintf("operator %q is not known", c.Op().Operator)
	}
	return key, ""
}

func (s *State) refusedResult(format string, args ...any) *Result {
	reply := s.refusedReply(format, args...)
	return &Result{Change: &reply}
}

func (s *State) refusedReply(format string, args ...any) api.ChangeReply {
	return api.ChangeReply{Outcome: api.OutcomeRefused, Reason: fmt.Sprintf(format, args...), Revision: s.data.Revision}
}

func acceptedReply() api.ChangeReply { return api.ChangeReply{Outcome: api.OutcomeAccepted} }

func changeDigest(c api.Change) string {
	h := sha256.Sum256(api.ContentBytes(c))
	return hex.EncodeToString(h[:])
}
