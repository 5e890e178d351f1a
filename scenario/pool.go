package scenario

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// pool is a processor-sharing server: all jobs advance at the same rate, which
// depends on their number. progress is the work done by a job that was always in.
type pool struct {
	clock    *clock
	rate     func(n int) float64
	progress float64
	at       time.Time
	jobs     jobHeap
	seq      uint64
	timer    uint64
}

type job struct {
	finish float64
	seq    uint64
	index  int
	done   func()
}

type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	if h[i].finish == h[j].finish {
		return h[i].seq < h[j].seq
	}
	return h[i].finish < h[j].finish
}

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	j.index = -1
	return j
}

func (p *pool) add(work float64, done func()) *job {
	p.advance()
	p.seq++
	j := &job{finish: p.progress + math.Max(work, 1e-6), seq: p.seq, done: done}
	heap.Push(&p.jobs, j)
	p.schedule()
	return j
}

func (p *pool) remove(j *job) {
	if j.index < 0 {
		return
	}
	p.advance()
	heap.Remove(&p.jobs, j.index)
	p.schedule()
}

// left returns the work of a job still to do.
func (p *pool) left(j *job) float64 {
	p.advance()
	return math.Max(0, j.finish-p.progress)
}

// refresh takes in a changed rate.
func (p *pool) refresh() {
	p.advance()
	p.schedule()
}

func (p *pool) advance() {
	if n := len(p.jobs); n > 0 {
		p.progress += p.rate(n) * p.clock.now.Sub(p.at).Seconds()
	}
	p.at = p.clock.now
}

func (p *pool) schedule() {
	p.timer++
	if len(p.jobs) == 0 {
		return
	}
	timer := p.timer
	wait := (p.jobs[0].finish - p.progress) / p.rate(len(p.jobs))
	p.clock.after(time.Duration(math.Max(wait, 0)*1e9)+1, func() {
		if p.timer == timer {
			p.finish()
		}
	})
}

func (p *pool) finish() {
	p.advance()
	var ready []*job
	for len(p.jobs) > 0 && p.jobs[0].finish <= p.progress {
		ready = append(ready, heap.Pop(&p.jobs).(*job))
	}
	p.schedule()
	for _, j := range ready {
		j.done()
	}
}

func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int { return a.call.id - b.call.id })
}
