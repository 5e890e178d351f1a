package link_test

import (
	"bytes"
	"context"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// Parcel has types whose definitions precede its first value on a connection.
type Parcel struct {
	ID    int
	Parts []struct{ Content []byte }
}

func newParcel(id, size int) *Parcel {
	return &Parcel{id, []struct{ Content []byte }{{bytes.Repeat([]byte{1}, size)}}}
}

// counter counts the executions of each parcel's call.
type counter struct{ executed [256]atomic.Int32 }

func (c *counter) Count(in, out *Parcel) error {
	c.executed[in.ID].Add(1)
	*out = *in
	return nil
}

// Guards against memory that is held for each connection by the size of the largest message it
// has carried: a leader with hundreds of subscribers holds hundreds of documents.
func TestLargeMessagesAreNotHeld(t *testing.T) {
	const connections, size = 20, 512 << 10
	// Two decoders with messages of up to 64 KiB, and as much for all else.
	const bound = connections * 3 * 64 << 10
	before := liveMemory()
	c := &counter{}
	address := serve(t, link.TCP{}, c)
	for range connections {
		client := link.NewClient(link.TCP{}, address)
		defer client.Close()
		assert.NilError(t, client.Call(context.Background(), "Counter.Count", newParcel(1, size), &Parcel{}))
	}
	held := liveMemory() - before
	t.Logf("%.0f bytes are held by each connection", held/connections)
	assert.Assert(t, held <= bound, "%.0f bytes are held, more than %d", held, bound)
}

func serve(t *testing.T, network link.Network, c *counter) (address string) {
	l, err := network.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := link.NewServer()
	assert.NilError(t, s.Register("Counter", c))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

// Guards against calls that fail or are executed twice when buffers are released beside them,
// and against a stream that peers with the codecs of net/rpc, as of an earlier build, don't
// understand.
func TestCallsAroundLargeMessages(t *testing.T) {
	run := func(t *testing.T, c *counter, call func(in, out *Parcel) error) {
		var wg sync.WaitGroup
		for worker := range 8 {
			wg.Go(func() {
				for id := worker; id < len(c.executed); id += 8 {
					in, out := newParcel(id, []int{10, 64<<10 - 50, 200 << 10, 100}[id/8%4]), &Parcel{}
					if assert.Check(t, call(in, out)) {
						assert.Check(t, out.ID == id && bytes.Equal(out.Parts[0].Content, in.Parts[0].Content))
					}
				}
			})
		}
		wg.Wait()
		for id := range c.executed {
			assert.Equal(t, c.executed[id].Load(), int32(1), "call %d", id)
		}
	}
	callLink := func(client *link.Client) func(in, out *Parcel) error {
		return func(in, out *Parcel) error { return client.Call(context.Background(), "Counter.Count", in, out) }
	}
	// In a bubble no probe times out while the processor copies a message.
	t.Run("link", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, network := &counter{}, link.NewMemory()
			client := link.NewClient(network, serve(t, network, c))
			defer client.Close()
			run(t, c, callLink(client))
		})
	})
	t.Run("client of net/rpc", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, network := &counter{}, link.NewMemory()
			conn, err := network.Dial(t.Context(), serve(t, network, c))
			assert.NilError(t, err)
			client := rpc.NewClient(conn)
			defer func() { _ = client.Close() }()
			run(t, c, func(in, out *Parcel) error { return client.Call("Counter.Count", in, out) })
		})
	})
	t.Run("server of net/rpc", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, s, network := &counter{}, rpc.NewServer(), link.NewMemory()
			assert.NilError(t, s.RegisterName("Counter", c))
			l, err := network.Listen("peer")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				assert.Check(t, err)
				s.ServeConn(conn)
			}()
			client := link.NewClient(network, "peer")
			defer client.Close()
			run(t, c, callLink(client))
		})
	})
}
