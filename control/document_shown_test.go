package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/link"
)

// Guards against an operator who cannot see the document in force, and against keys in the answer:
// the content of a document may hold them.
func TestDocumentInForceIsShownWithoutContent(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		s := newControl(t, network, control.Options{})
		time.Sleep(time.Second)
		c := control.NewClient(network, []string{s.Addr()})
		defer c.Close()
		reply, err := c.Bundle(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, reply.Document == nil)
		assert.NilError(t, s.ApplyDocument(limitedDocument(3)))
		reply, err = c.Bundle(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, reply.Document.Version, uint64(3))
		assert.DeepEqual(t, reply.Document.Accounts, limitedDocument(3).Accounts)
		assert.Equal(t, len(reply.Document.Content), 0)
		kept, err := s.Document(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, len(kept.Content) > 0, "the document that is kept must stay whole")
	})
}
