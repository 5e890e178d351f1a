package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"toucantiller.dev/link"
)

// Bounds of the link transport.
const (
	serviceName = "Consensus"
	sendQueue   = 1024
	// sendBatch and sendBytes bound one call.
	sendBatch   = 256
	sendBytes   = 4 << 20
	sendTimeout = 500 * time.Millisecond
)

// Delivery is the argument of "Consensus.Deliver".
type Delivery struct{ Packets []Packet }

// LinkTransport sends packets over net/rpc. Each peer has one client and one queue, and
// one call at a time carries everything that was queued; a full queue drops packets.
type LinkTransport struct {
	network link.Network
	receive atomic.Pointer[func(Packet)]

	mu     sync.Mutex
	peers  map[string]*outbox
	closed bool
	wait   sync.WaitGroup
	stop   context.CancelFunc
	ctx    context.Context
}

type outbox struct {
	client *link.Client
	queue  chan Packet
}

// NewLinkTransport returns a transport and registers its service on the server.
func NewLinkTransport(network link.Network, server *link.Server) (*LinkTransport, error) {
	t := &LinkTransport{network: network, peers: make(map[string]*outbox)}
	t.ctx, t.stop = context.WithCancel(context.Background())
	if err := server.Register(serviceName, &deliverer{t}); err != nil {
		return nil, err
	}
	return t, nil
}

// deliverer is the net/rpc service.
type deliverer struct{ transport *LinkTransport }

// Deliver hands packets to the replica and does not wait for it.
func (d *deliverer) Deliver(in *Delivery, _ *struct{}) error {
	f := d.transport.receive.Load()
	if f == nil {
		return nil
	}
	for _, p := range in.Packets {
		(*f)(p)
	}
	return nil
}

// Receive sets the function that takes packets.
func (t *LinkTransport) Receive(f func(Packet)) {
	if f == nil {
		t.receive.Store(nil)
		return
	}
	t.receive.Store(&f)
}

// Send queues a packet.
func (t *LinkTransport) Send(address string, p Packet) {
	box := t.outbox(address)
	if box == nil {
		return
	}
	select {
	case box.queue <- p:
	default:
	}
}

func (t *LinkTransport) outbox(address string) *outbox {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	box := t.peers[address]
	if box == nil {
		box = &outbox{client: link.NewClient(t.network, address), queue: make(chan Packet, sendQueue)}
		t.peers[address] = box
		t.wait.Add(1)
		go t.deliver(box)
	}
	return box
}

// deliver sends the queue of one peer. Packets of a failed call are lost.
func (t *LinkTransport) deliver(box *outbox) {
	defer t.wait.Done()
	defer box.client.Close()
	for {
		select {
		case <-t.ctx.Done():
			return
		case p := <-box.queue:
			ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
			_ = box.client.Call(ctx, serviceName+".Deliver", &Delivery{box.collect(p)}, &struct{}{})
			cancel()
		}
	}
}

// collect adds to p what is queued.
func (b *outbox) collect(p Packet) []Packet {
	packets := []Packet{p}
	for size := p.size(); len(packets) < sendBatch && size < sendBytes; {
		select {
		case p = <-b.queue:
			packets = append(packets, p)
			size += p.size()
			continue
		default:
		}
		break
	}
	return packets
}

// size estimates the bytes of a packet.
func (p *Packet) size() int {
	n := 100
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

// Close stops sending and closes the connections.
func (t *LinkTransport) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.stop()
	t.wait.Wait()
}
