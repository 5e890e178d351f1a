package replica_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/link"
)

// freeAddresses returns n loopback addresses with ports that are currently unused.
func freeAddresses(t testing.TB, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }() //nolint:gocritic // all stay open until all are chosen
		out = append(out, l.Addr().String())
	}
	return out
}

// BenchmarkPropose measures commits of 200-byte commands over loopback with real files and
// sync on, by the number of callers that propose at the same time.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			g := newGroup(b, link.TCP{}, freeAddresses(b, 3)...)
			defer g.stop()
			leader := g.leader()
			command := make([]byte, 200)
			var left atomic.Int64
			left.Store(int64(b.N))
			var mu sync.Mutex
			latency := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
			var work sync.WaitGroup
			b.ResetTimer()
			for range callers {
				work.Go(func() {
					for left.Add(-1) >= 0 {
						start := time.Now()
						if _, err := leader.Propose(context.Background(), command); err != nil {
							b.Error(err)
							return
						}
						d := time.Since(start).Microseconds()
						mu.Lock()
						_ = latency.RecordValue(d) // values above the range are impossible here
						mu.Unlock()
					}
				})
			}
			work.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-us")
		})
	}
}

// BenchmarkFailover measures the time from the failure of the leader to the next commit.
func BenchmarkFailover(b *testing.B) {
	worst := time.Duration(0)
	for range b.N {
		b.StopTimer()
		g := newGroup(b, link.TCP{}, freeAddresses(b, 3)...)
		g.propose("before")
		old := g.leader()
		start := time.Now()
		b.StartTimer()
		g.kill(old)
		g.propose("after")
		b.StopTimer()
		worst = max(worst, time.Since(start))
		g.stop()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// BenchmarkRestart measures the start of a replica that holds 100,000 commands, with the
// default snapshot threshold and without snapshots.
func BenchmarkRestart(b *testing.B) {
	const changes = 100_000
	for name, threshold := range map[string]uint64{"snapshots": 0, "whole-log": 1 << 40} {
		b.Run(name, func(b *testing.B) {
			g := newGroup(b, link.TCP{})
			g.addresses = freeAddresses(b, 1)
			g.threshold = threshold
			n := g.start(g.addresses[0])
			leader := g.leader()
			var work sync.WaitGroup
			for caller := range 256 {
				work.Go(func() {
					for i := caller; i < changes; i += 256 {
						if _, err := leader.Propose(context.Background(), fmt.Appendf(nil, "%200d", i)); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			work.Wait()
			g.kill(n)
			b.ResetTimer()
			for range b.N {
				n = g.start(g.addresses[0])
				g.propose("after")
				b.StopTimer()
				assert.Equal(b, len(n.journal.all()) > changes, true)
				g.kill(n)
				b.StartTimer()
			}
		})
	}
}

var _ replica.Transport = (*replica.LinkTransport)(nil)
