package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/consensus"
	"toucantiller.dev/link"
)

// Bounds of the link transport.
const (
	serviceName   = "Consensus"
	sendQueueSize = 1024
	// maxQueuedBytes bounds the packets in one queue for a peer, and those that a replica has
	// received and not yet processed. The last packet may exceed it.
	maxQueuedBytes = 8 << 20
	// maxSendPackets and maxSendBytes bound the packets in one call. The last packet may
	// exceed maxSendBytes.
	maxSendPackets = 256
	maxSendBytes   = 4 << 20
	// signalTimeout and bulkTimeout bound one call.
	signalTimeout = 500 * time.Millisecond
	bulkTimeout   = 5 * time.Second
)

// Delivery is the argument of the RPC method "Consensus.Deliver".
type Delivery struct{ Packets []Packet }

// LinkTransport sends packets over net/rpc. Each peer has a queue and a client for packets that
// carry the log or a snapshot, and others for all the rest: a heartbeat that waited behind a large
// document would come after the election timeout. One call at a time carries the queued packets of
// a queue; packets for a full queue are dropped.
type LinkTransport struct {
	network link.Network
	receive atomic.Pointer[func(Packet)]

	mu      sync.Mutex
	queues  map[lane]*peerQueue
	closed  bool
	senders sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
}

// lane names one of the two queues of a peer.
type lane struct {
	address string
	bulk    bool
}

type peerQueue struct {
	client  *link.Client
	queue   *packetQueue
	timeout time.Duration
}

// isBulk reports whether a packet carries the log or a snapshot. Packets of these kinds stay in order.
func (p *Packet) isBulk() bool {
	return p.Message != nil && (p.Message.Type == consensus.MsgAppend || p.Message.Type == consensus.MsgSnapshot)
}

// NewLinkTransport returns a transport and registers its service on the server.
func NewLinkTransport(network link.Network, server *link.Server) (*LinkTransport, error) {
	t := &LinkTransport{network: network, queues: make(map[lane]*peerQueue)}
	t.ctx, t.stop = context.WithCancel(context.Background())
	if err := server.Register(serviceName, &deliveryService{t}); err != nil {
		return nil, err
	}
	return t, nil
}

// deliveryService is the net/rpc service that receives packets.
type deliveryService struct{ transport *LinkTransport }

// Deliver passes packets to the receive function and doesn't wait for their processing.
func (d *deliveryService) Deliver(in *Delivery, _ *struct{}) error {
	f := d.transport.receive.Load()
	if f == nil {
		return nil
	}
	for _, p := range in.Packets {
		(*f)(p)
	}
	return nil
}

// Receive sets the function that handles incoming packets; nil discards them.
func (t *LinkTransport) Receive(f func(Packet)) {
	if f == nil {
		t.receive.Store(nil)
		return
	}
	t.receive.Store(&f)
}

// Send queues a packet for an address, or drops it if the queue is full.
func (t *LinkTransport) Send(address string, p Packet) {
	peer := t.queueFor(lane{address: address, bulk: p.isBulk()})
	if peer == nil {
		return
	}
	peer.queue.add(p)
}

func (t *LinkTransport) queueFor(to lane) *peerQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	peer := t.queues[to]
	if peer == nil {
		peer = &peerQueue{client: link.NewClient(t.network, to.address), queue: newPacketQueue(sendQueueSize), timeout: signalTimeout}
		if to.bulk {
			peer.timeout = bulkTimeout
		}
		t.queues[to] = peer
		t.senders.Add(1)
		go t.sendQueued(peer)
	}
	return peer
}

// sendQueued sends the queued packets of one peer until the transport closes. The packets of a
// failed call are lost.
func (t *LinkTransport) sendQueued(peer *peerQueue) {
	defer t.senders.Done()
	defer peer.client.Close()
	for {
		select {
		case <-t.ctx.Done():
			return
		case p := <-peer.queue.packets:
			peer.queue.taken(&p)
			ctx, cancel := context.WithTimeout(t.ctx, peer.timeout)
			_ = peer.client.Call(ctx, serviceName+".Deliver", &Delivery{peer.nextBatch(p)}, &struct{}{})
			cancel()
		}
	}
}

// nextBatch returns p and the queued packets that fit in the same call.
func (q *peerQueue) nextBatch(p Packet) []Packet {
	packets := []Packet{p}
	for size := p.size(); len(packets) < maxSendPackets && size < maxSendBytes; {
		select {
		case p = <-q.queue.packets:
			q.queue.taken(&p)
			packets = append(packets, p)
			size += p.size()
			continue
		default:
		}
		break
	}
	return packets
}

// Close stops sending and closes the connections.
func (t *LinkTransport) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.stop()
	t.senders.Wait()
}
