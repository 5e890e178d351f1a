package admission

import "math"

// flow is the first-in-first-out list of one account within one tier.
type flow struct {
	account string
	weight  float64
	// factor scales the worth of the account's items; those of a starved account go first.
	factor  float64
	starved bool
	deficit float64
	cost    float64
	head    *Item
	tail    *Item
}

func (f *flow) push(it *Item) {
	it.flow = f
	it.prev = f.tail
	it.next = nil
	if f.tail == nil {
		f.head = it
	} else {
		f.tail.next = it
	}
	f.tail = it
	f.cost += it.cost()
}

func (f *flow) unlink(it *Item) {
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next, it.flow = nil, nil, nil
	f.cost -= it.cost()
}

// tierQueue is one tier: its accounts' flows in deficit round robin.
type tierQueue struct {
	flows  map[string]*flow
	ring   []*flow
	turn   int
	length int
	cost   float64
	shares accountShares
}

// quantum is the deficit an account of weight 1 gains per round, in tokens.
const quantum = 256.0

func (b *tierQueue) push(it *Item) {
	f := b.flows[it.Account]
	if f == nil {
		if b.flows == nil {
			b.flows = make(map[string]*flow)
		}
		f = &flow{account: it.Account, factor: 1}
		b.flows[it.Account] = f
		b.ring = append(b.ring, f)
	}
	f.weight = it.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	f.push(it)
	b.length++
	b.cost += it.cost()
}

func (b *tierQueue) remove(it *Item) {
	f := it.flow
	f.unlink(it)
	b.length--
	b.cost -= it.cost()
	if f.head == nil {
		b.removeFlow(f)
	}
}

// removeFlow removes the flow of an idle account, so that it cannot accumulate deficit.
func (b *tierQueue) removeFlow(f *flow) {
	delete(b.flows, f.account)
	for i, other := range b.ring {
		if other != f {
			continue
		}
		b.ring = append(b.ring[:i], b.ring[i+1:]...)
		if i < b.turn {
			b.turn--
		}
		break
	}
	if b.turn >= len(b.ring) {
		b.turn = 0
	}
}

// peek returns the item that is served next. If no account has enough deficit for its head
// item, it grants at once as many rounds of deficit as the first account needs.
func (b *tierQueue) peek() *Item {
	if b.length == 0 {
		return nil
	}
	if f := b.nextAffordable(); f != nil {
		return f.head
	}
	rounds := math.Inf(1)
	for _, f := range b.ring {
		rounds = math.Min(rounds, math.Ceil((f.head.cost()-f.deficit)/(quantum*f.weight)))
	}
	for _, f := range b.ring {
		f.deficit += rounds * quantum * f.weight
	}
	return b.nextAffordable().head
}

// nextAffordable returns the next flow in the ring whose deficit covers its head item.
func (b *tierQueue) nextAffordable() *flow {
	for i := range b.ring {
		at := (b.turn + i) % len(b.ring)
		if f := b.ring[at]; f.deficit >= f.head.cost() {
			b.turn = at
			return f
		}
	}
	return nil
}

// items visits the waiting items, account by account in the order of arrival.
func (b *tierQueue) items(visit func(*Item) bool) {
	for _, f := range b.ring {
		for it := f.head; it != nil; it = it.next {
			if !visit(it) {
				return
			}
		}
	}
}

// latest returns the latest arrival of the tier.
func (b *tierQueue) latest() *Item {
	var last *Item
	for _, f := range b.ring {
		if last == nil || f.tail.seq > last.seq {
			last = f.tail
		}
	}
	return last
}

// latestOfLargest returns the latest arrival of the account that holds the most
// queued work for its weight.
func (b *tierQueue) latestOfLargest() *Item {
	var largest *flow
	for _, f := range b.ring {
		if largest == nil || f.cost*largest.weight > largest.cost*f.weight {
			largest = f
		}
	}
	if largest == nil {
		return nil
	}
	return largest.tail
}
