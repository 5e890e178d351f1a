package capacity

import "time"

const (
	// maxKinds bounds the kinds that are told apart; later ones count as one.
	maxKinds = 128
	// otherKind is the kind of the work beyond maxKinds.
	otherKind = ""
	// minKindSamples is the number of answers after which the time of a kind is known.
	minKindSamples = 4
	// kindMemory is the number of answers over which the time of a kind is a mean.
	kindMemory = 256
	// maxKindStep is the factor by which one answer may differ from the mean and count as it is.
	maxKindStep = 4.0
)

// Kinds learns how long each kind of work takes, over all endpoints of a service. An endpoint is
// compared by it, so that long work doesn't look like a slow machine. The zero value is ready.
type Kinds struct {
	means map[string]*kindMean
	all   kindMean
}

// kindMean is the mean time of a kind, in seconds.
type kindMean struct {
	samples int
	seconds float64
}

// Time is the usual time of a kind of work; 0 while it isn't known.
func (k *Kinds) Time(kind string) time.Duration {
	m := k.find(kind)
	if m == nil {
		return 0
	}
	return m.time()
}

// MeanTime is the mean time of the work of all kinds; 0 while it isn't known.
func (k *Kinds) MeanTime() time.Duration { return k.all.time() }

// learn adds an answer that took so many seconds on an undisturbed machine.
func (k *Kinds) learn(kind string, seconds float64) {
	m := k.find(kind)
	if m == nil {
		m = k.add(kind)
	}
	m.add(seconds)
	k.all.add(seconds)
}

func (m *kindMean) add(seconds float64) {
	if m.samples >= minKindSamples {
		seconds = min(max(seconds, m.seconds/maxKindStep), m.seconds*maxKindStep)
	}
	m.samples = min(m.samples+1, kindMemory)
	m.seconds += (seconds - m.seconds) / float64(m.samples)
}

func (m *kindMean) time() time.Duration {
	if m.samples < minKindSamples {
		return 0
	}
	return time.Duration(m.seconds * float64(time.Second))
}

func (k *Kinds) find(kind string) *kindMean {
	if m := k.means[kind]; m != nil || len(k.means) < maxKinds {
		return m
	}
	return k.means[otherKind]
}

func (k *Kinds) add(kind string) *kindMean {
	if k.means == nil {
		k.means = make(map[string]*kindMean)
	}
	if len(k.means) >= maxKinds {
		kind = otherKind
	}
	m := &kindMean{}
	k.means[kind] = m
	return m
}
