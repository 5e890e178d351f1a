package distribution

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/link"
	"toucantiller.dev/uptime"
)

// suspendTime is longer than a process may serve without proof of freshness.
const suspendTime = contract.DocumentServeStale + time.Second

// machine is a machine that can be suspended: its clock since boot then advances and the monotonic
// clock does not.
type machine struct{ sinceBoot time.Duration }

// newHolder returns a holder on the machine with configuration revision 1 and a fresh beacon.
func (m *machine) newHolder(t *testing.T) *Holder {
	t.Helper()
	h := NewHolder(nil)
	h.sinceBoot = func() (time.Duration, bool) { return m.sinceBoot, true }
	config := &contract.Parts{Revision: 1, ServeStale: contract.DocumentServeStale}
	_, err := h.Accept(&api.View{Config: config, Beacon: api.Beacon{Revision: 1, Term: 1, Seq: 1}}, h.now())
	assert.NilError(t, err)
	assert.Assert(t, h.MayServe(time.Now()))
	return h
}

// Guards against a process that accepts a key which was revoked while its machine was
// suspended: the monotonic clock does not advance during suspend.
func TestSuspendedTimeCounts(t *testing.T) {
	m := &machine{sinceBoot: time.Hour}
	h := m.newHolder(t)
	m.sinceBoot += suspendTime
	assert.Assert(t, !h.MayServe(time.Now()))
	_, err := h.Accept(&api.View{Beacon: api.Beacon{Revision: 1, Term: 1, Seq: 2}}, h.now())
	assert.NilError(t, err)
	assert.Assert(t, h.MayServe(time.Now()))
}

// lateReader is a relay whose answer waits in the socket buffer of a suspended machine.
type lateReader struct {
	relay  *Holder
	caller *machine
}

// Subscribe answers a call.
func (r *lateReader) Subscribe(in *api.Subscribe, out *api.View) error {
	*out = r.relay.Wait(in, nil)
	r.caller.sinceBoot += suspendTime
	return nil
}

// Guards against a process that takes an answer for new which came before its machine was
// suspended, and then accepts a key that was revoked meanwhile.
func TestAnswerReadAfterSuspendIsOld(t *testing.T) {
	network := link.NewMemory()
	caller := &machine{sinceBoot: time.Hour}
	h := caller.newHolder(t)
	time.Sleep(10 * time.Millisecond) // the relay's beacon is clearly newer
	relay := (&machine{sinceBoot: time.Hour}).newHolder(t)
	server := link.NewServer()
	assert.NilError(t, server.Register(ServiceName, &lateReader{relay: relay, caller: caller}))
	listener, err := network.Listen("relay")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close(); server.Close() })
	client := link.NewClient(network, "relay")
	t.Cleanup(client.Close)
	assert.NilError(t, h.FetchFrom(t.Context(), client))
	assert.Assert(t, !h.MayServe(time.Now()), "a beacon from before the suspend counts as %s old", h.Freshness(time.Now()))
}

// Guards against a relay that wakes from suspend and passes its old beacon on as a new one.
func TestSuspendedRelayPassesOnItsAge(t *testing.T) {
	m := &machine{sinceBoot: time.Hour}
	relay := m.newHolder(t)
	m.sinceBoot += suspendTime
	view := relay.Wait(&api.Subscribe{}, nil)
	child := NewHolder(nil)
	_, err := child.Accept(&view, uptime.Now())
	assert.NilError(t, err)
	assert.Assert(t, !child.MayServe(time.Now()), "the relay's beacon counts as %s old", child.Freshness(time.Now()))
}

// Guards against a leader whose machine is suspended after its quorum answered, and which then
// publishes the answer as new although another leader has taken a key away.
func TestBeaconCountsFromBeforeTheQuorumWasAsked(t *testing.T) {
	m := &machine{sinceBoot: time.Hour}
	leader := m.newHolder(t)
	start := leader.now()
	m.sinceBoot += suspendTime
	_, err := leader.Accept(&api.View{Beacon: api.Beacon{Revision: 1, Term: 1, Seq: 2}}, start)
	assert.NilError(t, err)
	assert.Assert(t, !leader.MayServe(time.Now()), "the beacon counts as %s old", leader.Freshness(time.Now()))
}
