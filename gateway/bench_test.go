package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"toucantiller.dev/control/api"
	"toucantiller.dev/gateway"
	"toucantiller.dev/instance"
	"toucantiller.dev/intake"
	"toucantiller.dev/link"
	"toucantiller.dev/program"
)

// benchPath is a gateway in this process and agents in a child process.
type benchPath struct {
	b       *testing.B
	agents  agentsReady
	url     string
	network *countingNetwork
}

func newBenchPath(b *testing.B, agents int) *benchPath {
	program.TuneCollector()
	p := &benchPath{b: b, network: &countingNetwork{Network: link.TCP{}}}
	c := startChild(b, "agents", agentsOrder{Agents: agents})
	b.Cleanup(c.end)
	c.read(b, &p.agents)
	v := &view{}
	config := testConfig()
	config.Services[1].QueueLength = 4096
	v.config.Store(config)
	v.directory.Store(&api.Directory{Endpoints: p.agents.Endpoints})
	g, err := gateway.New(gateway.Options{Instance: instance.Instance{ID: "g1", Incarnation: instance.NewIncarnation(), Domain: "a"}, View: v, Network: p.network})
	must(err)
	l := tcpListen()
	account := intake.New(0, 1<<20, log.NewNopLogger())
	go func() {
		_ = g.Serve(account.Listen(l, intake.Options{Heads: true, PlaceShare: 1, AnswerTimeout: time.Minute}))
	}()
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = g.Stop(ctx)
	})
	p.url = "http://" + l.Addr().String() + "/services/desk"
	return p
}

// load runs callers in a child process.
func (p *benchPath) load(order loadOrder) loadResult {
	c := startChild(p.b, "load", order)
	defer c.end()
	var r loadResult
	c.read(p.b, &r)
	if r.Failures > 0 {
		p.b.Logf("%d of %d requests failed", r.Failures, r.Requests)
	}
	return r
}

func allocations() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

func processorTime() time.Duration {
	var u syscall.Rusage
	must(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const benchRun = 3 * time.Second

// BenchmarkAddedLatency compares calls through gateway and agent with direct calls to
// the same engine, at half of the rate at which the path saturates.
func BenchmarkAddedLatency(b *testing.B) {
	for range b.N {
		p := newBenchPath(b, 32)
		p.load(loadOrder{URL: p.url + "/unary", Callers: 128, Duration: benchRun})
		allocated := allocations()
		before := processorTime()
		full := p.load(loadOrder{URL: p.url + "/unary", Callers: 128, Duration: benchRun})
		used := processorTime() - before
		b.ReportMetric(float64(allocations()-allocated)/float64(full.Requests), "allocs/req")
		rate := float64(full.Requests) / full.Elapsed.Seconds()
		path := p.load(loadOrder{URL: p.url + "/unary", Callers: 64, Rate: rate / 2, Duration: benchRun})
		direct := p.load(loadOrder{URL: "http://" + p.agents.Direct + "/unary", Callers: 64, Rate: rate / 2, Duration: benchRun})
		b.ReportMetric(rate, "req/s")
		b.ReportMetric(float64(full.Requests)/used.Seconds(), "req/s/core")
		b.ReportMetric(float64(path.P50.Microseconds()), "path-p50-us")
		b.ReportMetric(float64(path.P99.Microseconds()), "path-p99-us")
		b.ReportMetric(float64((path.P50 - direct.P50).Microseconds()), "added-p50-us")
		b.ReportMetric(float64((path.P99 - direct.P99).Microseconds()), "added-p99-us")
	}
}

// BenchmarkStreamedTokens streams 1,000 tokens/s to each caller. one-core gives the gateway one
// core and offers half more than the target, so tokens/s is the throughput of one gateway core,
// and cores shows whether the core was saturated. all-cores reports the processor time of a
// gateway that has the whole machine; most of it goes into waking threads that find no other
// work.
func BenchmarkStreamedTokens(b *testing.B) {
	b.Run("one-core", func(b *testing.B) { streamTokens(b, 1, 150) })
	b.Run("all-cores", func(b *testing.B) { streamTokens(b, runtime.NumCPU(), 100) })
}

func streamTokens(b *testing.B, cores, callers int) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
	for range b.N {
		p := newBenchPath(b, callers+50)
		before := processorTime()
		r := p.load(loadOrder{URL: p.url + "/stream", Callers: callers, Duration: 4 * time.Second})
		used := processorTime() - before
		b.ReportMetric(float64(r.Tokens)/r.Elapsed.Seconds(), "tokens/s")
		b.ReportMetric(float64(r.Tokens)/used.Seconds(), "tokens/s/core")
		b.ReportMetric(used.Seconds()/r.Elapsed.Seconds(), "cores")
	}
}

// BenchmarkIdleStreams reports the memory of an open stream that carries nothing, in the
// gateway and in agents with their engines' server.
func BenchmarkIdleStreams(b *testing.B) {
	const streams = 150
	for range b.N {
		// There are more agents than streams because a cold endpoint takes only one request.
		p := newBenchPath(b, streams+50)
		p.load(loadOrder{URL: p.url + "/unary", Callers: streams, Duration: time.Second})
		gatewayBefore, agentsBefore := memoryInUse(), p.agentMemory()
		c := startChild(b, "load", loadOrder{URL: p.url + "/idle", Callers: streams, Duration: time.Hour, Hold: true})
		var r loadResult
		c.read(b, &r)
		b.ReportMetric((float64(memoryInUse())-float64(gatewayBefore))/streams/1024, "gateway-KB/stream")
		b.ReportMetric((float64(p.agentMemory())-float64(agentsBefore))/streams/1024, "agent-KB/stream")
		c.end()
	}
}

// BenchmarkCallerConnections reports the memory of a caller's connection that carried one refused
// request of 18 KB: when it is idle, and while its request waits for the rest of its body.
func BenchmarkCallerConnections(b *testing.B) {
	const callers = 1000
	for range b.N {
		p := newBenchPath(b, 1)
		address := strings.TrimSuffix(strings.TrimPrefix(p.url, "http://"), "/services/desk")
		body := strings.Repeat("x", 18<<10)
		head := fmt.Sprintf("POST /services/desk/a HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n", len(body))
		open := make([]net.Conn, callers)
		defer closeAll(open)
		before := memoryInUse()
		for i := range open {
			c, err := net.Dial("tcp", address)
			must(err)
			open[i] = c
			_, err = io.WriteString(c, head+body)
			must(err)
			_, err = c.Read(make([]byte, 1<<10))
			must(err)
		}
		time.Sleep(time.Second)
		b.ReportMetric((float64(memoryInUse())-float64(before))/callers/1024, "KB/idle-connection")
		for _, c := range open {
			_, err := io.WriteString(c, strings.Replace(head, strconv.Itoa(len(body)), "1000", 1))
			must(err)
		}
		time.Sleep(time.Second)
		b.ReportMetric((float64(memoryInUse())-float64(before))/callers/1024, "KB/request")
	}
}

func closeAll(open []net.Conn) {
	for _, c := range open {
		_ = c.Close()
	}
}

// BenchmarkIdleAgents measures the cost of connections to agents that a gateway no longer uses,
// and the latency of the first call after idling.
func BenchmarkIdleAgents(b *testing.B) {
	const agents, idle = 200, 5 * time.Second
	for range b.N {
		p := newBenchPath(b, agents)
		warm := p.load(loadOrder{URL: p.url + "/unary", Callers: 100, Duration: benchRun})
		b.ReportMetric(float64(p.network.opened.Load())/float64(warm.Requests), "warm-dials/call")
		b.ReportMetric(float64(warm.Requests)/warm.Elapsed.Seconds(), "warm-req/s")
		time.Sleep(time.Second)
		bytes, used, opened := p.network.bytes.Load(), processorTime(), p.network.opened.Load()
		time.Sleep(idle)
		b.ReportMetric(float64(p.network.bytes.Load()-bytes)/idle.Seconds()/agents, "idle-B/s/agent")
		b.ReportMetric(float64((processorTime()-used).Microseconds())/idle.Seconds()/agents, "idle-cpu-us/s/agent")
		b.ReportMetric(float64(opened-p.network.closed.Load()), "open")
		// At one call at a time, an agent is called again only long after its last call.
		bytes, used, opened = p.network.bytes.Load(), processorTime(), p.network.opened.Load()
		r := p.load(loadOrder{URL: p.url + "/unary", Callers: 1, Rate: 20, Duration: idle})
		b.ReportMetric(float64(p.network.opened.Load()-opened)/float64(r.Requests), "dials/call")
		b.ReportMetric(float64(p.network.bytes.Load()-bytes)/float64(r.Requests), "B/call")
		b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(r.Requests), "cpu-us/call")
		b.ReportMetric(float64(r.P50.Microseconds()), "p50-us")
		b.ReportMetric(float64(r.P99.Microseconds()), "p99-us")
		b.ReportMetric(float64(warm.P50.Microseconds()), "warm-p50-us")
	}
}

func (p *benchPath) agentMemory() uint64 {
	resp, err := http.Get("http://" + p.agents.Direct + "/memory")
	must(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must(err)
	n, err := strconv.ParseUint(string(body), 10, 64)
	must(err)
	return n
}
