package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucantiller.dev/agent"
	"toucantiller.dev/agent/httpengine"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/program"
)

// The benchmarks run the gateway in this process, so that the processor time and memory
// measured are the gateway's alone. Agents with engines, and the callers, run in child
// processes of the test binary.
const childRole = "TOUCAN_BENCH_ROLE"

func TestMain(m *testing.M) {
	switch os.Getenv(childRole) {
	case "agents":
		runAgents()
	case "load":
		runLoad()
	default:
		os.Exit(m.Run())
	}
}

// agentsOrder and agentsReady are exchanged with the agents' process.
type agentsOrder struct{ Agents int }

type agentsReady struct {
	Endpoints []endpoint.Endpoint
	// Direct is the address of the engines' HTTP server.
	Direct string
}

// unaryTime is the engine's response time for /unary.
const unaryTime = 5 * time.Millisecond

// benchEngine answers /unary after unaryTime, /stream with paced tokens, and /idle with one
// token and then nothing until the caller disconnects.
func benchEngine(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if strings.HasSuffix(r.URL.Path, "/unary") {
		time.Sleep(unaryTime)
		_, _ = io.WriteString(w, `{"ok":true}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	token := []byte("data: {\"choices\":[{\"delta\":{\"content\":\"token \"}}]}\n\n")
	flush := http.NewResponseController(w)
	if strings.HasSuffix(r.URL.Path, "/idle") {
		_, _ = w.Write(token)
		_ = flush.Flush()
		<-r.Context().Done()
		return
	}
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for range 1000 {
		if _, err := w.Write(token); err != nil {
			return
		}
		_ = flush.Flush()
		<-tick.C
	}
}

// memoryInUse returns the live heap and the stacks, in bytes. The second collection
// empties the victim caches of pools.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func tcpListen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return l
}

func runAgents() {
	program.TuneCollector()
	var order agentsOrder
	in := json.NewDecoder(os.Stdin)
	must(in.Decode(&order))
	direct := tcpListen()
	mux := http.NewServeMux()
	mux.HandleFunc("/", benchEngine)
	mux.HandleFunc("/memory", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, memoryInUse()) })
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(direct) }()
	ready := agentsReady{Direct: direct.Addr().String()}
	for i := range order.Agents {
		l := tcpListen()
		e := endpoint.Endpoint{ID: instance.ID(fmt.Sprintf("e%d", i)), Incarnation: instance.NewIncarnation(), Service: "desk", Version: "1", Domain: "a", Address: l.Addr().String()}
		a, err := agent.New(agent.Options{Endpoint: e, Engine: httpengine.New(nil, "http://"+ready.Direct), View: &view{}, Network: link.TCP{}})
		must(err)
		go func() { _ = a.Serve(l) }()
		ready.Endpoints = append(ready.Endpoints, e)
	}
	must(json.NewEncoder(os.Stdout).Encode(&ready))
	// The parent closes the input when it is done.
	_, _ = io.Copy(io.Discard, in.Buffered())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// loadOrder is the request to the callers' process; loadResult is its report.
type loadOrder struct {
	URL     string
	Callers int
	// Rate is requests per second over all callers; 0 means that each caller sends its next
	// request after its last answer.
	Rate     float64
	Duration time.Duration
	// Hold keeps the answers open until the input closes.
	Hold bool
}

type loadResult struct {
	Requests, Failures, Tokens int64
	P50, P99                   time.Duration
	Elapsed                    time.Duration
}

func runLoad() {
	var order loadOrder
	in := json.NewDecoder(os.Stdin)
	must(in.Decode(&order))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: order.Callers, DisableCompression: true}}
	var mu sync.Mutex
	var result loadResult
	latency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	begin := time.Now()
	var callers, opened sync.WaitGroup
	opened.Add(order.Callers)
	ctx, stop := context.WithCancel(context.Background())
	for i := range order.Callers {
		callers.Go(func() {
			one := caller{order: order, client: client, ctx: ctx, opened: opened.Done, latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
			one.run(begin, i)
			mu.Lock()
			defer mu.Unlock()
			latency.Merge(one.latency)
			result.Requests += one.requests
			result.Failures += one.failures
			result.Tokens += one.tokens
		})
	}
	if order.Hold {
		opened.Wait()
		must(json.NewEncoder(os.Stdout).Encode(&result))
		_, _ = io.Copy(io.Discard, in.Buffered())
		_, _ = io.Copy(io.Discard, os.Stdin)
		stop()
		callers.Wait()
		return
	}
	callers.Wait()
	stop()
	result.Elapsed = time.Since(begin)
	result.P50 = time.Duration(latency.ValueAtQuantile(50)) * time.Microsecond
	result.P99 = time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond
	must(json.NewEncoder(os.Stdout).Encode(&result))
}

type caller struct {
	order                      loadOrder
	client                     *http.Client
	ctx                        context.Context
	opened                     func()
	latency                    *hdrhistogram.Histogram
	requests, failures, tokens int64
}

func (c *caller) run(begin time.Time, index int) {
	interval := time.Duration(0)
	if c.order.Rate > 0 {
		interval = time.Duration(float64(c.order.Callers) / c.order.Rate * float64(time.Second))
	}
	next := begin.Add(interval * time.Duration(index) / time.Duration(c.order.Callers))
	for time.Since(begin) < c.order.Duration {
		if interval > 0 {
			time.Sleep(time.Until(next))
			next = next.Add(interval)
		}
		c.call()
		if c.order.Hold {
			if c.tokens == 0 {
				must(errors.New("a stream to be held open was refused"))
			}
			return
		}
	}
}

func (c *caller) call() {
	sent := time.Now()
	req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, c.order.URL, strings.NewReader("{}"))
	must(err)
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("X-Request-Timeout-Ms", "600000")
	resp, err := c.client.Do(req)
	if err != nil {
		c.failures++
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.failures++
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data: ")) {
			c.tokens++
			if c.order.Hold && c.tokens == 1 {
				c.opened()
			}
		}
		if err != nil {
			break
		}
	}
	c.requests++
	_ = c.latency.RecordValue(max(1, time.Since(sent).Microseconds()))
}

// child is a running child process.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

func startChild(b *testing.B, role string, order any) *child {
	c := &child{cmd: exec.Command(os.Args[0], "-test.run=^$")}
	c.cmd.Env = append(os.Environ(), childRole+"="+role)
	c.cmd.Stderr = os.Stderr
	var err error
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		b.Fatal(err)
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	c.out = json.NewDecoder(out)
	if err := c.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	if err := json.NewEncoder(c.in).Encode(order); err != nil {
		b.Fatal(err)
	}
	return c
}

func (c *child) read(b *testing.B, into any) {
	if err := c.out.Decode(into); err != nil {
		b.Fatal(err)
	}
}

func (c *child) end() {
	_ = c.in.Close()
	_ = c.cmd.Wait()
}
