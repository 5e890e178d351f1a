package control_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
	"toucantiller.dev/distribution"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
)

// countingNetwork counts the bytes of the connections dialed through it, and separately the
// bytes that relays sent and received, which are on connections to addresses other than
// control.
type countingNetwork struct {
	link.TCP
	control                  string
	bytes, dials             atomic.Int64
	relaySent, relayReceived atomic.Int64
}

func (n *countingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.TCP.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	n.dials.Add(1)
	return &countingConn{Conn: c, network: n, relay: addr != n.control}, nil
}

type countingConn struct {
	net.Conn
	network *countingNetwork
	relay   bool
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.bytes.Add(int64(n))
	if c.relay {
		c.network.relaySent.Add(int64(n))
	}
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(n))
	if c.relay {
		c.network.relayReceived.Add(int64(n))
	}
	return n, err
}

// fleet is a control replica and its subscribers on loopback.
type fleet struct {
	network   *countingNetwork
	client    *control.Client
	processes []*process
	changes   int
}

// fullBundle returns a bundle with as many accounts and services as the largest deployment
// that the system is designed for.
func fullBundle() []byte {
	var accounts, services strings.Builder
	for i := range 2200 {
		fmt.Fprintf(&accounts, "  - {name: account-%d, tier: gold, key_hashes: [%s]}\n", i, account.HashKey(fmt.Sprint(i)))
	}
	for i := range 11 {
		fmt.Fprintf(&services, "  - {name: model-%d, kind: model, version: v1, models: [m-%d], routes: [{name: chat, method: POST, path: /v1/chat/completions, idempotent: true}]}\n", i, i)
	}
	text := string(bundleText(1, ""))
	text = strings.Replace(text, "failure_domains:\n", accounts.String()+"failure_domains:\n", 1)
	return []byte(strings.TrimSuffix(text, "\n") + "\n" + services.String())
}

func startFleet(b *testing.B, n int) *fleet {
	b.Helper()
	addr := freeAddress(b)
	f := &fleet{network: &countingNetwork{control: addr}}
	newControl(b, link.TCP{}, control.Options{
		Self:                   instance.Instance{ID: "control-0", Role: instance.RoleControl, LinkAddress: addr},
		RegistrationsPerSecond: 2000, RegistrationBurst: 2000,
	})
	f.client = control.NewClient(link.TCP{}, []string{addr})
	b.Cleanup(f.client.Close)
	time.Sleep(time.Second)
	apply(b, f.client.ApplyBundle, signedBundle("op-0", fullBundle()))
	for i := range n {
		self := agentInstance(i)
		self.Domain = failuredomain.ID([]string{"lagos-a", "lagos-b"}[i%2])
		self.LinkAddress = "127.0.0.1:0"
		f.processes = append(f.processes, startProcess(b, f.network, self, []string{addr}))
	}
	f.awaitInForce(b)
	// Subscribers choose their relay when the directory changes; one that uses a fallback
	// returns to its relay after 10 s.
	time.Sleep(12 * time.Second)
	return f
}

func freeAddress(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// toggleDomain drains or restores a domain and returns the revision.
func (f *fleet) toggleDomain(b *testing.B) uint64 {
	f.changes++
	state := []failuredomain.State{failuredomain.StateDrained, failuredomain.StateActive}[(f.changes+1)%2]
	c := &api.SetDomain{Operation: api.Operation{ID: fmt.Sprintf("op-%d", f.changes), Operator: "ada"}, Domain: "lagos-b", State: state}
	api.Sign(c, contract.DemoKey("ada"), time.Now())
	return apply(b, f.client.SetDomain, c).Revision
}

func (f *fleet) awaitRevision(revision uint64) {
	for _, p := range f.processes {
		for p.holder.Revision() < revision {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

func (f *fleet) awaitInForce(b *testing.B) {
	for {
		status, err := f.client.Status(b.Context())
		assert.NilError(b, err)
		if status.InForce && len(status.Processes) == len(f.processes) {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// BenchmarkAcceptedToInForce measures the time from the accepted reply until every
// process has the revision, and until control reports it in force.
func BenchmarkAcceptedToInForce(b *testing.B) {
	for _, n := range []int{20, 200, 1000} {
		b.Run(fmt.Sprintf("subscribers=%d", n), func(b *testing.B) {
			f := startFleet(b, n)
			var held, confirmed, worst time.Duration
			dials := f.network.dials.Load()
			b.ResetTimer()
			for range b.N {
				revision := f.toggleDomain(b)
				start := time.Now()
				f.awaitRevision(revision)
				held += time.Since(start)
				f.awaitInForce(b)
				took := time.Since(start)
				confirmed += took
				worst = max(worst, took)
				time.Sleep(300 * time.Millisecond)
			}
			b.ReportMetric(float64(held.Microseconds())/1000/float64(b.N), "held-ms")
			b.ReportMetric(float64(confirmed.Microseconds())/1000/float64(b.N), "in-force-ms")
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
			b.ReportMetric(float64(f.network.dials.Load()-dials)/float64(b.N), "dials/op")
		})
	}
}

// BenchmarkSubscriberCost measures the memory, processor time and traffic per subscriber,
// counting both ends of its connections, and the bytes its relay sends and receives for it,
// idle and at ten changes per second.
func BenchmarkSubscriberCost(b *testing.B) {
	const n = 200
	const children = n - 2*distribution.RootsPerDomain
	for _, perSecond := range []int{0, 10} {
		b.Run(fmt.Sprintf("changes=%d", perSecond), func(b *testing.B) {
			before := heapBytes()
			f := startFleet(b, n)
			b.ReportMetric(float64(heapBytes()-before)/n/1024, "KiB/subscriber")
			for range b.N {
				bytes, cpu, start := f.network.bytes.Load(), cpuTime(), time.Now()
				sent, taken := f.network.relaySent.Load(), f.network.relayReceived.Load()
				for time.Since(start) < 10*time.Second {
					if perSecond > 0 {
						f.toggleDomain(b)
						time.Sleep(time.Second / time.Duration(perSecond))
					} else {
						time.Sleep(time.Second)
					}
				}
				seconds := time.Since(start).Seconds()
				b.ReportMetric(float64(f.network.bytes.Load()-bytes)/n/seconds, "B/s/subscriber")
				b.ReportMetric(float64(f.network.relaySent.Load()-sent)/children/seconds, "relay-sent-B/s/child")
				b.ReportMetric(float64(f.network.relayReceived.Load()-taken)/children/seconds, "relay-received-B/s/child")
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/n/seconds, "cpu-us/s/subscriber")
				b.ReportMetric(float64(f.changes)/seconds, "changes/s")
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkKeepAlive measures one keepalive over loopback.
func BenchmarkKeepAlive(b *testing.B) {
	addr := freeAddress(b)
	newControl(b, link.TCP{}, control.Options{Self: instance.Instance{ID: "control-0", LinkAddress: addr}})
	c := control.NewClient(link.TCP{}, []string{addr})
	b.Cleanup(c.Close)
	reply, err := c.Register(b.Context(), &api.Register{Instance: agentInstance(0)})
	assert.NilError(b, err)
	before := cpuTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.KeepAlive(b.Context(), &api.KeepAlive{Lease: reply.Lease, Instance: "agent-0", Revision: 1}); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkClaims measures claims that are granted and completed in a group of three
// replicas on loopback, with files synced, by 256 callers: claims per second, processor time
// of the whole process, and the commands and their bytes before replication.
func BenchmarkClaims(b *testing.B) {
	const callers, perClient = 256, 16
	addrs := []string{freeAddress(b), freeAddress(b), freeAddress(b)}
	var commands, bytes atomic.Int64
	for _, addr := range addrs {
		open := control.ReplicaLog(control.ReplicaOptions{DataFolder: b.TempDir(), Address: addr, Members: addrs, Network: link.TCP{}})
		newControl(b, link.TCP{}, control.Options{
			Self: instance.Instance{ID: instance.ID(addr), Role: instance.RoleControl, LinkAddress: addr},
			OpenLog: func(sm control.StateMachine, server *link.Server) (control.Log, error) {
				l, err := open(sm, server)
				return countingLog{Log: l, commands: &commands, bytes: &bytes}, err
			},
		})
	}
	clients := make([]*control.Client, callers/perClient)
	for i := range clients {
		clients[i] = control.NewClient(link.TCP{}, addrs)
		b.Cleanup(clients[i].Close)
	}
	target := endpoint.Endpoint{ID: "agent-0", Incarnation: 1 << 60, Service: "member-desk", Version: "v1", Domain: "lagos-a", Address: "10.0.0.1:7000", LinkAddress: "10.0.0.1:7001", AdminAddress: "10.0.0.1:7002"}
	answer := &dispatch.StoredAnswer{Status: 200, Body: []byte(`{"ok":true}`)}
	run := func(n int64, prefix string) {
		var work sync.WaitGroup
		var next atomic.Int64
		for caller := range callers {
			work.Go(func() {
				c := clients[caller/perClient]
				for i := next.Add(1); i <= n; i = next.Add(1) {
					key := fmt.Sprintf("%s-%d", prefix, i)
					id := dispatch.ID{Request: key, Attempt: 1, Gateway: 1 << 60}
					claim := &api.Claim{Account: "account-1", Key: key, BodyDigest: strings.Repeat("d", 64), TTL: time.Minute, Owner: "gateway-0", Target: target, Dispatch: id}
					reply, err := c.Claim(b.Context(), claim)
					if err != nil || reply.State != api.ClaimGranted {
						b.Errorf("claim: %v %v", reply, err)
						return
					}
					complete := &api.CompleteClaim{Account: "account-1", Key: key, Dispatch: id, State: api.ClaimDone, Answer: answer}
					if err := c.CompleteClaim(b.Context(), complete); err != nil {
						b.Errorf("completion: %v", err)
						return
					}
				}
			})
		}
		work.Wait()
	}
	time.Sleep(2 * time.Second)
	run(callers, "first")
	count, size, cpu := commands.Load(), bytes.Load(), cpuTime()
	b.ResetTimer()
	run(int64(b.N), "next")
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/claim")
	b.ReportMetric(float64(commands.Load()-count)/float64(b.N), "commands/claim")
	b.ReportMetric(float64(bytes.Load()-size)/float64(b.N), "B/claim")
}
