// Package quarantine finds the parts of prompts under which endpoints end, so that no further
// request with such a part reaches an endpoint. It does no I/O and reads no clock.
//
// A part is suspected once requests with it were lost at several endpoints before their answers had
// begun, and no answer to a request with it has begun lately. That holds back neither parts that
// sound requests share with the harmful ones, nor parts whose requests were lost in a wave of
// crashes and are answered elsewhere.
package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucantiller.dev/instance"
)

// Bounds of detection.
const (
	// MinCrashes is the number of endpoints that end under a part before it is suspected.
	MinCrashes = 4
	// CrashWindow is the time within which they end.
	CrashWindow = time.Minute
	// minCrashGap is the time between two ends that count: endpoints that end together do so for
	// a common cause, such as a rack or a kill.
	minCrashGap = 40 * time.Millisecond
	// maxSuspects bounds the parts that a Detector counts; the ones seen longest ago yield.
	maxSuspects = 1024
	// maxEndpoints bounds the endpoints that are remembered of one part.
	maxEndpoints = 64
	// maxParts bounds the parts of one loss.
	maxParts = 64
)

// Part identifies a part of a prompt by a hash of its ID.
type Part uint64

// PartOf returns the part with an ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// String returns the part in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Join returns the parts in hexadecimal, separated by commas.
func Join(parts []Part) string {
	var b strings.Builder
	for i, p := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(p.String())
	}
	return b.String()
}

// Distinct returns the parts in order, each once.
func Distinct(parts []Part) []Part {
	slices.Sort(parts)
	return slices.Compact(parts)
}

// Endpoint is one start of an endpoint.
type Endpoint struct {
	ID          instance.ID          `msgpack:"id"`
	Incarnation instance.Incarnation `msgpack:"incarnation"`
}

// Loss is a request that an endpoint lost before the request's answer had begun.
type Loss struct {
	Endpoint Endpoint `msgpack:"endpoint"`
	// Parts are those of the prompt that are not known to have been answered lately.
	Parts []Part `msgpack:"parts"`
	// Ago is how long ago the endpoint was lost.
	Ago time.Duration `msgpack:"ago"`
}

// Detector counts the endpoints that ended under each part. It is not safe for concurrent use.
type Detector struct {
	crashes map[Part]*crashes
	// cleared holds when an answer to a request with the part was reported.
	cleared map[Part]time.Time
}

// crashes are the endpoints that ended under a part.
type crashes struct {
	// seen lists the latest endpoints, so that none is counted twice.
	seen []Endpoint
	// times are those of the ends that count.
	times []time.Time
}

// NewDetector returns a detector without losses.
func NewDetector() *Detector {
	return &Detector{crashes: make(map[Part]*crashes), cleared: make(map[Part]time.Time)}
}

// Lost records a loss; the same loss may be recorded several times. It returns the parts that are
// suspected now.
func (d *Detector) Lost(l Loss, now time.Time) []Part {
	d.expire(now)
	var suspected []Part
	for _, p := range l.Parts[:min(len(l.Parts), maxParts)] {
		if _, cleared := d.cleared[p]; cleared {
			continue
		}
		c := d.crashes[p]
		if c == nil {
			d.makeRoom()
			c = &crashes{}
			d.crashes[p] = c
		}
		c.add(l.Endpoint, now.Add(-l.Ago))
		if len(c.times) >= MinCrashes {
			suspected = append(suspected, p)
		}
	}
	return suspected
}

// Clear records that a request with the part was answered: the part is not suspected for
// CrashWindow.
func (d *Detector) Clear(p Part, now time.Time) {
	delete(d.crashes, p)
	if len(d.cleared) < maxSuspects {
		d.cleared[p] = now
	}
}

// add counts an end, unless it was counted before or is one of several at about the same time.
func (c *crashes) add(e Endpoint, at time.Time) {
	if slices.Contains(c.seen, e) {
		return
	}
	c.seen = append(c.seen, e)
	c.seen = c.seen[max(0, len(c.seen)-maxEndpoints):]
	together := func(other time.Time) bool { return at.Sub(other).Abs() < minCrashGap }
	if len(c.times) < MinCrashes && !slices.ContainsFunc(c.times, together) {
		c.times = append(c.times, at)
	}
}

// expire forgets what is older than CrashWindow.
func (d *Detector) expire(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) > CrashWindow }
	for p, c := range d.crashes {
		if c.times = slices.DeleteFunc(c.times, old); len(c.times) == 0 {
			delete(d.crashes, p)
		}
	}
	for p, at := range d.cleared {
		if old(at) {
			delete(d.cleared, p)
		}
	}
}

// makeRoom drops the part whose last crash is longest ago when the detector is full.
func (d *Detector) makeRoom() {
	if len(d.crashes) < maxSuspects {
		return
	}
	var oldest Part
	var at time.Time
	for p, c := range d.crashes {
		if last := c.times[len(c.times)-1]; at.IsZero() || last.Before(at) {
			oldest, at = p, last
		}
	}
	delete(d.crashes, oldest)
}
