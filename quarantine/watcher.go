package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// answeredSlots is the size of the table of parts that were answered; parts with the same
	// slot replace each other.
	answeredSlots = 8192
	// answeredMemory is how long an answered part counts as sound.
	answeredMemory = 10 * time.Second
	// lossMemory is how long a loss is reported again, so that a new control leader learns it.
	lossMemory = 30 * time.Second
	// maxLosses bounds the losses that are kept for reports.
	maxLosses = 128
	// ownRetention is how long a part stays held back on the word of this process alone.
	ownRetention = time.Minute
)

// Report is what a gateway tells the control leader.
type Report struct {
	Losses []Loss `msgpack:"losses"`
	// Answered lists parts that are held back although requests with them were answered lately.
	Answered []Part `msgpack:"answered"`
}

// Watcher is a gateway's view of harmful parts: it records what happens to requests, and says
// which are to be held back. It is safe for concurrent use; the paths of sound requests take no
// lock.
type Watcher struct {
	// start is the origin of the seconds in answered.
	start time.Time
	// answered holds, by slot, the upper bits of a part and the second of its last answer, counted
	// from 1; 0 is an empty slot.
	answered [answeredSlots]atomic.Uint64
	// held maps the parts held back to when that ends; the zero time stands for no end.
	held atomic.Pointer[map[Part]time.Time]
	// due receives when there is something to report.
	due chan struct{}

	mu        sync.Mutex
	detector  *Detector
	losses    []datedLoss
	own       map[Part]time.Time
	published []Part
	// lossesDue is set if a loss has not been reported; sound lists parts to report as sound.
	lossesDue bool
	sound     []Part
}

// datedLoss is a loss and when it happened.
type datedLoss struct {
	Loss
	at time.Time
}

// NewWatcher returns a watcher that holds nothing back.
func NewWatcher(now time.Time) *Watcher {
	w := &Watcher{
		start: now, due: make(chan struct{}, 1), detector: NewDetector(),
		own: make(map[Part]time.Time),
	}
	w.held.Store(&map[Part]time.Time{})
	return w
}

// Due returns a channel that receives when TakeReport has something to report.
func (w *Watcher) Due() <-chan struct{} { return w.due }

// secondBits is the width of the seconds in an answered slot.
const secondBits = 24

// second returns the second of a time as it stands in an answered slot.
func (w *Watcher) second(now time.Time) uint64 {
	return uint64(now.Sub(w.start)/time.Second+1) & (1<<secondBits - 1)
}

// Answered records that the answer to a request with the parts has begun.
func (w *Watcher) Answered(parts []Part, now time.Time) {
	second := w.second(now)
	for _, p := range parts {
		w.answered[uint64(p)%answeredSlots].Store(uint64(p)>>secondBits<<secondBits | second)
	}
	if p, held := w.Holds(parts, now); held {
		// The request was sent before the part was held back.
		w.reportSound(p, now)
	}
}

// reportSound lets control know that a part that is held back was answered.
func (w *Watcher) reportSound(p Part, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addSound(p)
	w.update(now)
}

// addSound adds a part to the next report. It must be called with mu held.
func (w *Watcher) addSound(p Part) {
	if len(w.sound) < maxSuspects {
		w.sound = append(w.sound, p)
		w.notify()
	}
}

// answeredLately reports whether a request with the part was answered within answeredMemory.
func (w *Watcher) answeredLately(p Part, now time.Time) bool {
	v := w.answered[uint64(p)%answeredSlots].Load()
	if v == 0 || v>>secondBits != uint64(p)>>secondBits {
		return false
	}
	age := (w.second(now) - v) & (1<<secondBits - 1)
	return time.Duration(age)*time.Second <= answeredMemory
}

// Lost records that an endpoint lost a request before its answer had begun.
func (w *Watcher) Lost(e Endpoint, parts []Part, now time.Time) {
	l := Loss{Endpoint: e}
	for _, p := range parts[:min(len(parts), maxParts)] {
		if !w.answeredLately(p, now) {
			l.Parts = append(l.Parts, p)
		}
	}
	if len(l.Parts) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losses = append(w.losses, datedLoss{l, now})
	w.losses = slices.DeleteFunc(w.losses, func(l datedLoss) bool { return now.Sub(l.at) > lossMemory })
	w.losses = w.losses[max(0, len(w.losses)-maxLosses):]
	w.lossesDue = true
	for _, p := range w.detector.Lost(l, now) {
		w.own[p] = now
	}
	w.update(now)
	w.notify()
}

// Publish takes over the parts that control holds back. Those that were answered here lately are
// reported as sound.
func (w *Watcher) Publish(parts []Part, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.published = parts
	for _, p := range parts {
		if w.answeredLately(p, now) {
			w.addSound(p)
		}
	}
	w.update(now)
}

// update rebuilds the set of parts held back.
func (w *Watcher) update(now time.Time) {
	held := make(map[Part]time.Time, len(w.published)+len(w.own))
	for p, at := range w.own {
		end := at.Add(ownRetention)
		if !now.Before(end) || w.answeredLately(p, now) {
			delete(w.own, p)
			continue
		}
		held[p] = end
	}
	for _, p := range w.published {
		held[p] = time.Time{}
	}
	w.held.Store(&held)
}

// Holds returns the part for which a request with the parts is to be held back, and false for a
// request that may pass.
func (w *Watcher) Holds(parts []Part, now time.Time) (Part, bool) {
	held := *w.held.Load()
	if len(held) == 0 {
		return 0, false
	}
	for _, p := range parts {
		if end, ok := held[p]; ok && (end.IsZero() || now.Before(end)) {
			return p, true
		}
	}
	return 0, false
}

func (w *Watcher) notify() {
	select {
	case w.due <- struct{}{}:
	default:
	}
}

// TakeReport returns what is to be reported, and false if there is nothing. A report with a new loss
// repeats those of the last lossMemory.
func (w *Watcher) TakeReport(now time.Time) (Report, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := Report{Answered: w.sound}
	if w.lossesDue {
		for _, l := range w.losses {
			l.Ago = now.Sub(l.at)
			r.Losses = append(r.Losses, l.Loss)
		}
	}
	w.lossesDue, w.sound = false, nil
	return r, len(r.Losses)+len(r.Answered) > 0
}
