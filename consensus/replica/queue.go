package replica

import (
	"sync/atomic"

	"toucantiller.dev/memory"
)

// packetOverhead is counted for each packet in addition to its entries and pieces, in bytes.
const packetOverhead = 100

// packetQueue holds packets up to a number and a size in bytes. Packets that do not fit are
// dropped, as a lossy network would: the sender repeats what matters.
type packetQueue struct {
	packets chan Packet
	bytes   atomic.Int64
}

func newPacketQueue(length int) *packetQueue {
	return &packetQueue{packets: make(chan Packet, length)}
}

// add queues a packet, or drops it if the queue is full.
func (q *packetQueue) add(p Packet) {
	if q.bytes.Load() >= maxQueuedBytes {
		return
	}
	size := int64(p.size())
	q.bytes.Add(size)
	select {
	case q.packets <- p:
	default:
		q.bytes.Add(-size)
	}
}

// taken must be called for each packet that was received from packets.
func (q *packetQueue) taken(p *Packet) { q.bytes.Add(-int64(p.size())) }

// size estimates the encoded size of a packet in bytes.
func (p *Packet) size() int {
	n := packetOverhead
	if p.Message == nil {
		return n
	}
	for _, e := range p.Message.Entries {
		n += 30 + len(e.Data)
	}
	if p.Message.Piece != nil {
		n += len(p.Message.Piece.Data)
	}
	return n
}

// maxQueuedProposalBytes bounds the commands that wait to be proposed.
const maxQueuedProposalBytes = 16 << 20

// proposalQueue holds proposals up to a number, and counts the bytes of those that wait in it or
// for a place in it.
type proposalQueue struct {
	waiting chan proposal
	bytes   *memory.Bound
}

func newProposalQueue(length int) *proposalQueue {
	return &proposalQueue{waiting: make(chan proposal, length), bytes: memory.NewBound(maxQueuedProposalBytes)}
}

// reserve counts a command and reports whether it may wait. A command that waits alone may.
func (q *proposalQueue) reserve(command []byte) bool { return q.bytes.Hold(int64(len(command))) }

// release must be called for each reserved command once it no longer waits.
func (q *proposalQueue) release(command []byte) { q.bytes.Release(int64(len(command))) }
