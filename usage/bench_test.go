package usage

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/instance"
	"toucantiller.dev/uptime"
)

// BenchmarkReportBytes gives the bytes of the reports of one process, an account at a time.
func BenchmarkReportBytes(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(0, "ns/op")
		empty := reportBytes(b, 0)
		b.ReportMetric(float64(empty), "B/report")
		b.ReportMetric(float64(reportBytes(b, 1000)-empty)/1000, "B/account")
		b.ReportMetric(float64(encodedBytes(b, &Reply{}, &Reply{Session: 1 << 63, Length: testLength, Position: time.Hour, Agreed: testStart, Next: 1 << 40})), "B/reply")
	}
}

// reportBytes returns the size of a report with a number of accounts, on a connection that has
// carried one before.
func reportBytes(b *testing.B, accounts int) int {
	counter := NewCounter("gateway-lagos-a-1", 1<<63, testLength, uptime.Now())
	at := uptime.Now()
	counter.Replied(&Report{}, &Reply{Session: 1 << 63, Length: testLength, Agreed: testStart, Next: windowAt(testStart, testLength)}, at, at)
	for i := range accounts {
		for range 10 {
			counter.Begin(fmt.Sprintf("account-%04d", i), uptime.Now())
		}
	}
	r := counter.Report(uptime.Now(), time.Now())
	return encodedBytes(b, &Report{}, r)
}

// encodedBytes returns the size of a value on a connection that has carried another one before.
func encodedBytes(b *testing.B, before, value any) int {
	var out bytes.Buffer
	e := gob.NewEncoder(&out)
	assert.NilError(b, e.Encode(before))
	out.Reset()
	assert.NilError(b, e.Encode(value))
	return out.Len()
}

// BenchmarkCollector gives the time of a report and the memory of a count at the leader, with 370
// processes that each have 525 of 2,200 accounts in a window and report a tenth of them at once.
func BenchmarkCollector(b *testing.B) {
	const processes, accounts, each, windows = 370, 2200, 525, 3
	for b.Loop() {
		before := heap()
		c := NewCollector(testLength)
		reports, began := 0, time.Now()
		for n := range windows {
			for first := 0; first < each; first += each / 10 {
				for p := range processes {
					counts := make(Counts)
					for i := first; i < min(first+each/10, each); i++ {
						counts[fmt.Sprintf("account-%04d", (p*7+i*4)%accounts)] = uint64(i) + 1
					}
					r := &Report{Process: instance.ID(fmt.Sprint("g", p)), Incarnation: 1, Length: testLength, Session: c.session, Wall: testStart, Windows: []WindowCounts{{Number: int64(n) + 1, Counts: counts}}}
					c.Report(r, uptime.Now(), time.Now(), 0)
					reports++
				}
			}
		}
		b.ReportMetric(float64(time.Since(began).Microseconds())/float64(reports), "us/report")
		b.ReportMetric(float64(heap()-before)/(processes*each*windows), "B/count")
		runtime.KeepAlive(c)
		b.ReportMetric(0, "ns/op")
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // far below the largest int64
}

// BenchmarkBegin gives the cost of counting on the path of a request, with all cores.
func BenchmarkBegin(b *testing.B) {
	counter := NewCounter("g", 1, testLength, uptime.Now())
	counter.clock.zero, counter.clock.known = testStart, true
	names := make([]string, 100)
	for i := range names {
		names[i] = fmt.Sprintf("account-%04d", i)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			counter.Begin(names[i%len(names)], uptime.Now())
		}
	})
}
