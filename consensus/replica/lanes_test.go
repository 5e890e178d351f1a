package replica_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus"
	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/link"
)

// slowNetwork carries bytesPerSecond on each connection that it dials.
type slowNetwork struct {
	link.Network
	bytesPerSecond int
}

func (n *slowNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, address)
	return &slowConn{c, n.bytesPerSecond}, err
}

type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c *slowConn) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / time.Duration(c.bytesPerSecond))
	return c.Conn.Write(p)
}

// Guards against a leader that is deposed, in calm, because its heartbeats wait behind a document of
// which they are to tell the followers nothing.
func TestHeartbeatDoesNotWaitBehindALargeEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := link.NewMemory()
		listener, err := network.Listen("b")
		assert.NilError(t, err)
		server := link.NewServer()
		receiver, err := replica.NewLinkTransport(network, server)
		assert.NilError(t, err)
		go func() { _ = server.Serve(listener) }()
		sender, err := replica.NewLinkTransport(&slowNetwork{network, 1 << 19}, link.NewServer())
		assert.NilError(t, err)
		t.Cleanup(func() {
			sender.Close()
			receiver.Close()
			_ = listener.Close()
			server.Close()
		})
		began := time.Now()
		after := make(map[consensus.MessageType]time.Duration)
		received := make(chan replica.Packet, 2)
		receiver.Receive(func(p replica.Packet) { received <- p })
		large := []consensus.Entry{{Index: 2, Term: 1, Data: make([]byte, 1<<18)}}
		sender.Send("b", replica.Packet{From: "a", Message: &consensus.Message{Type: consensus.MsgAppend, Entries: large}})
		sender.Send("b", replica.Packet{From: "a", Message: &consensus.Message{Type: consensus.MsgHeartbeat}})
		for range 2 {
			p := <-received
			after[p.Message.Type] = time.Since(began)
		}
		assert.Assert(t, after[consensus.MsgHeartbeat] < 100*time.Millisecond, "the heartbeat took %v", after[consensus.MsgHeartbeat])
		assert.Assert(t, after[consensus.MsgAppend] > 400*time.Millisecond, "the entry took %v", after[consensus.MsgAppend])
	})
}
