package dev

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
)

// restartedReplica has a bundle in force that its view does not show yet, as a new leader that has
// not opened its term and applied its log.
type restartedReplica struct {
	address string
	applied bool
}

func (r *restartedReplica) Status(_ *api.Empty, out *api.Status) error {
	out.Leader = r.address
	return nil
}

func (r *restartedReplica) Bundle(_ *api.Empty, out *api.BundleReply) error {
	out.Ref = contract.BundleRef{Name: "weavers", Version: 1}
	return nil
}

func (r *restartedReplica) ApplyBundle(_ *api.ApplyBundle, out *api.ChangeReply) error {
	r.applied = true
	out.Outcome = api.OutcomeRefused
	return nil
}

// Guards against a restart that applies the example once more because a replica that does not lead
// shows no bundle yet.
func TestRestartDoesNotApplyTheExampleAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &restartedReplica{address: l.Addr().String()}
	server := link.NewServer()
	assert.NilError(t, server.Register(control.ServiceName, r))
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	defer func() { _ = l.Close() }()
	d, err := New(&Settings{
		Listen: "127.0.0.1:0", Control: l.Addr().(*net.TCPAddr).Port, Data: t.TempDir(), Deployment: "weavers",
	})
	assert.NilError(t, err)
	assert.NilError(t, d.applyBundle(t.Context()))
	assert.Assert(t, !r.applied)
}
