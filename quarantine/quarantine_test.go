package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/instance"
)

func endpointOf(i int) Endpoint {
	return Endpoint{ID: instance.ID(fmt.Sprintf("e%d", i)), Incarnation: 1}
}

// Guards against a part that ends one endpoint after another, also where each loss is reported
// several times.
func TestPartUnderWhichEndpointsEndIsSuspected(t *testing.T) {
	d, now := NewDetector(), time.Now()
	for i := range MinCrashes {
		l := Loss{Endpoint: endpointOf(i), Parts: []Part{7, Part(100 + i)}}
		now = now.Add(minCrashGap)
		suspected := d.Lost(l, now)
		if i == MinCrashes-1 {
			assert.DeepEqual(t, suspected, []Part{7})
			return
		}
		assert.Equal(t, len(append(suspected, d.Lost(l, now)...)), 0, "suspected after %d endpoints", i+1)
	}
}

// Guards against crashes that lie apart and are added up for ever.
func TestOldCrashesAreForgotten(t *testing.T) {
	d, now := NewDetector(), time.Now()
	for i := range 5 * MinCrashes {
		suspected := d.Lost(Loss{Endpoint: endpointOf(i), Parts: []Part{7}}, now.Add(time.Duration(i)*CrashWindow/2))
		assert.Equal(t, len(suspected), 0)
	}
}

// Guards against sound requests that are held back because they share a part with harmful ones, or
// were lost in a wave of crashes.
func TestAnsweredPartIsNotHeldBack(t *testing.T) {
	const shared, harmful, popular = 1, 2, 3
	now := time.Now()
	w := NewWatcher(now)
	w.Answered([]Part{shared}, now)
	for i := range MinCrashes {
		now = now.Add(minCrashGap)
		w.Lost(endpointOf(i), []Part{shared, harmful}, now)
		w.Lost(endpointOf(i), []Part{popular}, now)
	}
	w.Answered([]Part{popular}, now)
	w.Publish(nil, now)
	for part, want := range map[Part]bool{shared: false, harmful: true, popular: false} {
		_, held := w.Holds([]Part{part}, now)
		assert.Equal(t, held, want, "part %s", part)
	}
}

// Guards against a sound part that control holds back on the word of a gateway that has seen no
// answer to it.
func TestAnsweredPartIsReportedAsSound(t *testing.T) {
	now := time.Now()
	w := NewWatcher(now)
	w.Answered([]Part{5}, now)
	w.Publish([]Part{5, 6}, now.Add(time.Second))
	r, ok := w.TakeReport(now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, r.Answered, []Part{5})
	w.Answered([]Part{6}, now.Add(2*time.Second)) // sent before it was held back
	r, ok = w.TakeReport(now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, r.Answered, []Part{6})
	d := NewDetector()
	d.Clear(5, now)
	for i := range 2 * MinCrashes {
		now = now.Add(minCrashGap)
		assert.Equal(t, len(d.Lost(Loss{Endpoint: endpointOf(i), Parts: []Part{5}}, now)), 0)
	}
}

// Guards against memory that grows with the number of parts.
func TestManyPartsTakeBoundedMemory(t *testing.T) {
	d, now := NewDetector(), time.Now()
	w := NewWatcher(now)
	for i := range 4 * maxSuspects {
		at := now.Add(time.Duration(i) * time.Millisecond)
		d.Lost(Loss{Endpoint: endpointOf(i), Parts: []Part{Part(2 * i), Part(2*i + 1)}}, at)
		d.Clear(Part(i), at)
		w.Lost(endpointOf(i), []Part{Part(i)}, at)
		w.Publish([]Part{Part(i)}, at)
		w.Holds([]Part{Part(i)}, at)
	}
	assert.Assert(t, len(d.crashes) <= maxSuspects, "%d suspects", len(d.crashes))
	assert.Assert(t, len(d.cleared) <= maxSuspects, "%d cleared", len(d.cleared))
	r, _ := w.TakeReport(now)
	assert.Assert(t, len(r.Losses) <= maxLosses && len(r.Answered) <= maxSuspects, "%d losses, %d answered parts in a report", len(r.Losses), len(r.Answered))
}

// Guards against a part that stays held back on one gateway's word after it has stopped to come.
func TestOwnQuarantineEnds(t *testing.T) {
	now := time.Now()
	w := NewWatcher(now)
	for i := range MinCrashes {
		now = now.Add(minCrashGap)
		w.Lost(endpointOf(i), []Part{9}, now)
	}
	_, held := w.Holds([]Part{9}, now)
	assert.Assert(t, held)
	_, held = w.Holds([]Part{9}, now.Add(ownRetention+time.Second))
	assert.Assert(t, !held)
}

// Guards against sound requests that are held back because several of their endpoints were killed
// at one moment, and whose part nobody has answered lately.
func TestEndpointsThatEndTogetherCountOnce(t *testing.T) {
	d, w, now := NewDetector(), NewWatcher(time.Now()), time.Now()
	for i := range 3 * MinCrashes {
		w.Lost(endpointOf(i), []Part{7}, now.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range 2 * MinCrashes {
		at := now.Add(time.Duration(i+1) * time.Second)
		w.Lost(endpointOf(100+i), []Part{Part(100 + i)}, at)
		report, _ := w.TakeReport(at)
		for _, l := range report.Losses {
			assert.Equal(t, len(d.Lost(l, at)), 0)
		}
	}
	_, held := w.Holds([]Part{7}, now)
	assert.Assert(t, !held)
}
