package link

import (
	"errors"
	"net"
)

// maxMessage bounds a net/rpc message, in bytes. It is several times the largest configuration.
// Without it, encoding/gob keeps up to 8 GiB of one message.
const maxMessage = 32 << 20

// errMessageTooLarge is the error of a connection whose peer announced a message that is larger
// than maxMessage.
var errMessageTooLarge = errors.New("net/rpc message is too large")

// messageAccount is a connection that accounts for the messages that arrive on it.
type messageAccount interface {
	// BeginMessage waits until there is room for n bytes.
	BeginMessage(n int64) error
	EndMessage()
}

// unheldMessage is the size in bytes of messages that are not held.
const unheldMessage = 64 << 10

// limitedConn closes itself when the peer announces a message of more than maxMessage bytes.
// Each message of encoding/gob follows its length, which is one byte up to 127, or else the
// negated number of the bytes that hold it, high byte first.
type limitedConn struct {
	net.Conn
	// messages accounts for the messages of the peer; nil if nothing does.
	messages messageAccount
	// lengthBytes is the number of bytes of the length that are still to come, and length the
	// value of those before them.
	lengthBytes int
	length      uint64
	// content is the number of bytes of the present message that are still to come.
	content uint64
}

// Read reads from the connection. It is not safe for concurrent use.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.check(p[:n]) {
		_ = c.Close()
		return 0, errMessageTooLarge
	}
	return n, err
}

// check follows the lengths in the bytes that were read; it returns false if one is too large.
func (c *limitedConn) check(p []byte) bool {
	for len(p) > 0 {
		if c.content > 0 {
			n := min(c.content, uint64(len(p)))
			c.content -= n
			p = p[n:]
			if c.content == 0 && c.messages != nil {
				c.messages.EndMessage()
			}
			continue
		}
		c.readLength(p[0])
		p = p[1:]
		if c.length > maxMessage {
			return false
		}
		if c.lengthBytes == 0 {
			c.content, c.length = c.length, 0
			if !c.begin() {
				return false
			}
		}
	}
	return true
}

// begin accounts for a message that is about to arrive. It returns false if the connection was closed
// meanwhile.
func (c *limitedConn) begin() bool {
	if c.messages == nil || c.content == 0 {
		return true
	}
	held := int64(c.content) //nolint:gosec // at most maxMessage
	if held <= unheldMessage {
		held = 0
	}
	return c.messages.BeginMessage(held) == nil
}

// readLength takes over one byte of a length.
func (c *limitedConn) readLength(b byte) {
	switch {
	case c.lengthBytes > 0:
		c.lengthBytes--
		c.length = c.length<<8 | uint64(b)
	case b <= 0x7f:
		c.length = uint64(b)
	default:
		c.lengthBytes = -int(int8(b)) //nolint:gosec // the conversion is that of encoding/gob
	}
}
