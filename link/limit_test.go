package link_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// maxRead is far above the largest message and far below what gob accepts, in bytes.
const maxRead = 64 << 20

// writeWithoutEnd writes a message that announces 1 GiB until the peer closes the connection, or
// maxRead bytes. It returns the number of bytes written.
func writeWithoutEnd(c net.Conn) int {
	written := 0
	p := []byte{0xfc, 0x40, 0, 0, 0}
	for written < maxRead {
		n, err := c.Write(p)
		written += n
		if err != nil {
			break
		}
		p = make([]byte, 1<<20)
	}
	return written
}

// Guards against a peer that sends a message without end, of which the process keeps all bytes
// until its memory is used up: a server and a client close the connection at its length.
func TestMessageWithoutEndIsRefused(t *testing.T) {
	t.Run("server", func(t *testing.T) {
		network := link.NewMemory()
		c, err := network.Dial(context.Background(), serveEcho(t, network))
		assert.NilError(t, err)
		written := writeWithoutEnd(c)
		assert.Assert(t, written < maxRead, "%d bytes were read", written)
		_ = c.Close()
	})
	t.Run("client", func(t *testing.T) {
		network := link.NewMemory()
		l, err := network.Listen("peer")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		written := make(chan int, 1)
		go func() {
			c, err := l.Accept()
			assert.NilError(t, err)
			written <- writeWithoutEnd(c)
			_ = c.Close()
		}()
		c := link.NewClient(network, "peer")
		defer c.Close()
		_, err = call(c, "Echo.Echo")
		assert.Assert(t, err != nil)
		n := <-written
		assert.Assert(t, n < maxRead, "%d bytes were read", n)
	})
}

// Guards against a limit that loses track of the messages: messages of all sizes pass, however
// the network splits them.
func TestMessagesOfAllSizesPass(t *testing.T) {
	// In the bubble no probe times out while the processor copies a message.
	synctest.Test(t, func(t *testing.T) {
		network := link.NewMemory()
		c := link.NewClient(network, serveEcho(t, network))
		defer c.Close()
		for _, n := range []int{0, 1, 100, 127, 128, 255, 256, 65535, 65536, 1 << 20, 16 << 20} {
			in, out := strings.Repeat("x", n), ""
			assert.NilError(t, c.Call(context.Background(), "Echo.Echo", &in, &out), "%d bytes", n)
			assert.Assert(t, in == out, "%d bytes", n)
		}
	})
}

// byteConn delivers one byte per read.
type byteConn struct{ net.Conn }

func (c byteConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(len(p), 1)]) }

type byteNetwork struct{ link.Network }

func (n byteNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, addr)
	return byteConn{c}, err
}

// Guards against a length that is lost when it arrives in parts.
func TestMessagesPassByteByByte(t *testing.T) {
	network := link.NewMemory()
	c := link.NewClient(byteNetwork{network}, serveEcho(t, network))
	defer c.Close()
	for n := range 300 {
		in, out := strings.Repeat("x", n), ""
		assert.NilError(t, c.Call(context.Background(), "Echo.Echo", &in, &out))
		assert.Assert(t, in == out, "%d bytes", n)
	}
}
