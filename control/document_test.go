package control_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/control"
)

// Guards against a document beyond the log's bound that is answered as a temporary failure, so
// that operators send it again and again.
func TestDocumentTooLargeForTheLogIsInvalid(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		leader := g.servers[g.leader(t, c)]
		large := document(2)
		large.Content = make([]byte, replica.MaxCommandBytes+1)
		err := leader.ApplyDocument(large)
		var invalid *control.InvalidOrderError
		assert.Assert(t, errors.As(err, &invalid), "%v", err)
		assert.ErrorContains(t, err, "at most 4194304 are allowed")
		assert.NilError(t, leader.ApplyDocument(document(1)))
	})
}
