package systemtest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/platform/standin"
	"toucantiller.dev/systemtest/faultproxy"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 0, "first seed of the soak; 0 plays the seeds that CI plays")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds from the first one on")
	soakTime  = flag.Duration("soak.time", 8*time.Second, "time in which faults come")
	soakRace  = flag.Bool("soak.race", false, "build the programs with the race detector")
)

// soakKept are the seeds that CI plays. Each that ever failed stays, with its cause.
var soakKept = []uint64{
	1,
	1000, // with -soak.race: the index of routes was written to after others had it
}

const (
	soakControls = 3
	soakGateways = 3
	soakModels   = 4
	// soakBare is the number of model endpoints without an agent beside them.
	soakBare   = 2
	soakPlains = 2
	// soakRecovery is the time after the last fault in which service must return.
	soakRecovery = 12 * time.Second
	// Ports of the soak's processes, alike on all of its loopback addresses.
	soakLink, soakAgents, soakCalls, soakFront, soakEngine = 7100, 7200, 7300, 8080, 9000
)

// Guards the promises of the platform's pages under random faults from outside the
// processes: an attempt that may not be repeated runs at most once, one that was refused
// never runs, a success is the endpoint's whole answer, an acknowledged document is never
// read back older, a key that was taken away is dead in time, service returns, and no process
// ends by itself or has a data race.
func TestSoak(t *testing.T) {
	seeds := soakKept
	if *soakSeed != 0 {
		seeds = nil
		for i := range *soakSeeds {
			seeds = append(seeds, *soakSeed+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := startSoak(t, seed)
			s.play()
			s.check()
			s.checkLogs()
		})
	}
}

// soak is a small deployment on loopback addresses of its own, one for each instance.
type soak struct {
	t    *testing.T
	rng  *rand.Rand
	seed uint64

	controls, agents, gateways []*process
	// members are the addresses of control for others, through a proxy each.
	members, calls []string
	proxies        []*faultproxy.Proxy
	endpoints      []*standin.Endpoint
	operator       *soakOperator
	callers        *soakCallers
	stop           context.CancelFunc
	running        sync.WaitGroup
}

// soakNet keeps the addresses of test processes apart.
var soakNet = 20 + os.Getpid()%200

func soakIP(class, i int) string { return fmt.Sprintf("127.%d.%d.%d", soakNet, class, i+1) }

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// Classes of loopback addresses.
const (
	classControl = iota + 1
	classControlProxy
	classGateway
	classAgent
	classAgentProxy
	classPlain
)

func startSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7))}
	ctx, cancel := context.WithCancel(t.Context())
	s.stop = cancel
	for i := range soakControls {
		s.members = append(s.members, at(soakIP(classControlProxy, i), soakLink))
		s.calls = append(s.calls, at(soakIP(classControl, i), soakCalls))
		s.proxy(s.members[i], at(soakIP(classControl, i), soakLink))
	}
	for i := range soakControls {
		s.controls = append(s.controls, s.control(i))
	}
	for i := range soakModels + soakBare + soakPlains {
		s.addEndpoint(ctx, i)
	}
	for i := range soakGateways {
		s.gateways = append(s.gateways, s.spawn(fmt.Sprintf("gateway-%d", i), "toucan-gateway", "--interface=platform",
			"--domain", "lagos-a", "--listen", at(soakIP(classGateway, i), soakFront), "--admin-listen", "127.0.0.1:0",
			"--link-listen", at(soakIP(classGateway, i), soakLink), "--agent-listen", at(soakIP(classGateway, i), soakAgents), "--control", strings.Join(s.members, ","),
			"--stop-delay", "300ms", "--stop-timeout", "4s"))
	}
	s.operator = newSoakOperator(s)
	s.callers = newSoakCallers(s)
	s.operator.put(ctx)
	s.callers.waitServing(ctx)
	s.running.Go(func() { s.operator.run(ctx) })
	s.running.Go(func() { s.callers.run(ctx) })
	return s
}

func (s *soak) proxy(address, target string) {
	p, err := faultproxy.Start(address, target)
	assert.NilError(s.t, err)
	s.t.Cleanup(p.Close)
	s.proxies = append(s.proxies, p)
}

func (s *soak) spawn(id, program string, args ...string) *process {
	p := &process{t: s.t, name: id, args: append([]string{program, "--id", id}, args...)}
	p.start()
	return p
}

func (s *soak) control(i int) *process {
	data := filepath.Join(s.t.TempDir(), "data")
	assert.NilError(s.t, os.Mkdir(data, 0o700))
	ip := soakIP(classControl, i)
	return s.spawn(fmt.Sprintf("control-%d", i), "toucan-control", "--domain", "lagos-a", "--data", data,
		"--listen", at(ip, soakLink), "--advertise", s.members[i], "--members", strings.Join(s.members, ","),
		"--self-repair", "--tick", "30ms", "--call-listen", at(ip, soakCalls), "--agent-port", fmt.Sprint(soakLink),
		"--admin-listen", "127.0.0.1:0", "--stop-timeout", "4s")
}

// addEndpoint starts an endpoint, and an agent beside each of the first model endpoints.
func (s *soak) addEndpoint(ctx context.Context, i int) {
	e := &standin.Endpoint{ID: fmt.Sprintf("e-%d", i), Service: "desk", Domain: "lagos-a", Slots: 6, Work: 20 * time.Millisecond}
	own := at(soakIP(classPlain, i), soakEngine)
	e.Address = own
	if i < soakModels+soakBare {
		e.Service, e.Model, e.Events, e.Slots = "lm", "m", 6, 4
	}
	if i < soakModels {
		ip, proxied := soakIP(classAgent, i), soakIP(classAgentProxy, i)
		e.Address = at(proxied, soakEngine)
		s.proxy(at(proxied, soakLink), at(ip, soakLink))
		s.agents = append(s.agents, s.spawn(fmt.Sprintf("agent-%d", i), "toucan-agent", "--self-announced", "--domain", "lagos-a",
			"--engine", "http://"+own, "--dispatch-listen", at(ip, soakLink), "--admin-listen", "127.0.0.1:0", "--stop-timeout", "4s"))
	}
	l, err := net.Listen("tcp", own)
	assert.NilError(s.t, err)
	server := &http.Server{Handler: e, ReadHeaderTimeout: waitLimit}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	s.running.Go(func() { e.Announce(ctx, s.calls) })
	s.endpoints = append(s.endpoints, e)
}

// play injects faults at random times, which overlap, and mends all of them at the end.
func (s *soak) play() {
	var faults sync.WaitGroup
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		fault, duration := s.draw(), time.Duration(100+s.rng.IntN(2500))*time.Millisecond
		faults.Go(func() { fault(duration) })
		time.Sleep(time.Duration(50+s.rng.IntN(900)) * time.Millisecond)
	}
	faults.Wait()
	s.callers.waitRecovered(s.t)
	s.stop()
	s.running.Wait()
}

// draw returns a fault that lasts for a time.
func (s *soak) draw() func(time.Duration) {
	p := s.proxies[s.rng.IntN(len(s.proxies))]
	victims := [][]*process{s.controls, s.gateways, s.agents}[s.rng.IntN(3)]
	victim := victims[s.rng.IntN(len(victims))]
	one := s.rng.IntN(2) == 0
	kind := s.rng.IntN(7)
	s.t.Logf("%s fault %d, %s or %s", time.Now().Format(time.StampMilli), kind, victim.name, p.Address())
	switch kind {
	case 0:
		return func(time.Duration) { p.Silence() }
	case 1:
		return func(time.Duration) { p.Reset() }
	case 2:
		return func(d time.Duration) {
			p.Delay(d / 20)
			time.Sleep(d)
			p.Delay(0)
		}
	case 3:
		return func(d time.Duration) {
			p.Cut(true, one)
			time.Sleep(d)
			p.Cut(false, false)
		}
	case 4:
		return func(d time.Duration) { s.restart(victim, syscall.SIGKILL, d/4) }
	case 5:
		return func(d time.Duration) { s.restart(victim, syscall.SIGTERM, 0) }
	default:
		return func(d time.Duration) { s.pause(victim, d) }
	}
}

// soakLocks keep two faults from the same process.
var soakLocks sync.Map

func locked(p *process) (unlock func(), ok bool) {
	if _, busy := soakLocks.LoadOrStore(p, true); busy {
		return nil, false
	}
	return func() { soakLocks.Delete(p) }, true
}

// restart ends a process by a signal and starts it again after a time.
func (s *soak) restart(p *process, how syscall.Signal, down time.Duration) {
	unlock, ok := locked(p)
	if !ok {
		return
	}
	defer unlock()
	_ = p.cmd.Process.Signal(how) // a process that has ended is started again all the same
	_ = p.cmd.Wait()
	time.Sleep(down)
	p.start()
}

func (s *soak) pause(p *process, d time.Duration) {
	unlock, ok := locked(p)
	if !ok {
		return
	}
	defer unlock()
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}
