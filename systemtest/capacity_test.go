package systemtest

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/schedule"
	"toucantiller.dev/uptime"
)

// Numbers of the design scale.
const (
	designAccounts = 2200
	designModels   = 11
	designDomains  = 13
)

func designConfig(revision uint64) *contract.Config {
	c := contract.Parts{Revision: revision, Tiers: make([]contract.Tier, 5), Domains: map[failuredomain.ID]failuredomain.Domain{}}
	for i := range designAccounts {
		name := fmt.Sprintf("account-%d", i)
		c.Accounts = append(c.Accounts, &account.Account{Name: name, KeyHashes: []string{account.HashKey(name)}})
	}
	for i := range designDomains {
		id := failuredomain.ID(fmt.Sprintf("domain-%d", i))
		c.Domains[id] = failuredomain.Domain{ID: id, Region: failuredomain.Region(fmt.Sprintf("region-%d", i%4)), State: failuredomain.StateActive}
	}
	for i := range designModels {
		name := fmt.Sprintf("model-%d", i)
		c.Services = append(c.Services, &contract.Service{Name: name, Kind: contract.KindModel, Models: []string{name}, Versions: []contract.VersionShare{{Version: "v1", Share: 1}}})
	}
	return contract.NewConfig(c)
}

func designDirectory(revision uint64, endpoints int) *api.Directory {
	d := &api.Directory{Revision: revision}
	for i := range endpoints {
		d.Endpoints = append(d.Endpoints, endpoint.Endpoint{
			ID: instance.ID(fmt.Sprintf("endpoint-%05d", i)), Incarnation: instance.Incarnation(i + 1),
			Service: fmt.Sprintf("model-%d", i%designModels), Version: "v1",
			Domain:  failuredomain.ID(fmt.Sprintf("domain-%d", i%designDomains)),
			Address: fmt.Sprintf("10.%d.%d.1:7400", i/250, i%250), LinkAddress: fmt.Sprintf("10.%d.%d.1:7401", i/250, i%250),
		})
	}
	return d
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCopyMemory reports the memory of a process's copy of the configuration, the
// directory with its history of deltas, and the routing snapshot of a gateway.
func BenchmarkCopyMemory(b *testing.B) {
	for _, n := range []int{1000, 3000, 6000, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			before := heap()
			h := distribution.NewHolder(nil)
			for r := uint64(1); r <= distribution.HistoryKept; r++ {
				_, err := h.Accept(&api.View{Config: &designConfig(r).Parts, Directory: designDirectory(r, n)}, uptime.Now())
				assert.NilError(b, err)
			}
			s := schedule.NewSnapshot(schedule.SnapshotInput{Gateway: "gateway-1", Domain: "domain-0", Config: h.Config(), Endpoints: h.Directory().Endpoints})
			for b.Loop() {
				b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
			}
			runtime.KeepAlive(h)
			runtime.KeepAlive(s)
		})
	}
}

// processTime returns the processor time of this process.
func processTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // RUSAGE_SELF cannot fail
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkKeepAlives reports the rate at which one leader answers keepalives over
// loopback connections, and the processor time of client and server for each.
func BenchmarkKeepAlives(b *testing.B) {
	for _, clients := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("processes=%d", clients), func(b *testing.B) { benchKeepAlives(b, clients) })
	}
}

func benchKeepAlives(b *testing.B, clients int) {
	address := "127.0.0.1:0"
	s, err := control.New(control.Options{
		Self:    instance.Instance{ID: "control-1", Role: instance.RoleControl, LinkAddress: address},
		Network: link.TCP{}, OpenLog: control.MemoryLog(address), RegistrationsPerSecond: 1e6, RegistrationBurst: 1e6,
	})
	assert.NilError(b, err)
	assert.NilError(b, s.Start(context.Background()))
	defer func() { _ = s.Stop(context.Background()) }()
	time.Sleep(time.Second)
	leases, links := make([]uint64, clients), make([]*link.Client, clients)
	for i := range clients {
		links[i] = link.NewClient(link.TCP{}, s.Addr())
		defer links[i].Close()
		in := api.Register{Instance: instance.Instance{ID: instance.ID(fmt.Sprint("p", i)), Incarnation: 1, Role: instance.RoleAgent}}
		var out api.RegisterReply
		assert.NilError(b, links[i].Call(context.Background(), "Control.Register", &in, &out))
		leases[i] = out.Lease
	}
	var next atomic.Int64
	before := processTime()
	b.SetParallelism(max(1, clients/runtime.GOMAXPROCS(0)))
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		i := int(next.Add(1)-1) % clients
		in := api.KeepAlive{Lease: leases[i], Instance: instance.ID(fmt.Sprint("p", i)), Revision: 0}
		for pb.Next() {
			var out api.KeepAliveReply
			if err := links[i].Call(context.Background(), "Control.KeepAlive", &in, &out); err != nil || !out.Known {
				b.Errorf("keepalive of %d: %v %+v", i, err, out)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "keepalives/s")
	b.ReportMetric(float64((processTime()-before).Microseconds())/float64(b.N), "cpu-us/keepalive")
}
