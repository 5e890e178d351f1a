package program

import (
	"bytes"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// Guards against a process that does not start because a deployment's template passes an
// empty value for a setting.
func TestEmptyOptionalFloatKeepsDefault(t *testing.T) {
	for args, want := range map[string]float64{"": 7, "--value=": 7, "--value=0": 0, "--value=1.5": 1.5} {
		var s struct{ Value OptionalFloat }
		parser, err := kong.New(&s)
		assert.NilError(t, err)
		_, err = parser.Parse(strings.Fields(args))
		assert.NilError(t, err, args)
		assert.Equal(t, s.Value.Or(7), want, args)
	}
	for _, wrong := range []string{"--value=x", "--value=-1", "--value=NaN"} {
		var s struct{ Value OptionalFloat }
		parser, err := kong.New(&s)
		assert.NilError(t, err)
		_, err = parser.Parse([]string{wrong})
		assert.Assert(t, err != nil, wrong)
	}
}

// Guards against port ranges that are parsed wrongly, and against a process that does not
// start because another one uses a port of the range.
func TestPortRange(t *testing.T) {
	for _, wrong := range []string{"127.0.0.1", "host:1", "127.0.0.1:2-1", "127.0.0.1:1-70000", "127.0.0.1:"} {
		var r PortRange
		assert.Assert(t, r.UnmarshalText([]byte(wrong)) != nil, wrong)
	}
	var none PortRange
	assert.NilError(t, none.UnmarshalText(nil))
	assert.Assert(t, none.Empty())
	network := link.NewMemory()
	taken, err := network.Listen("127.0.0.1:7615")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, taken.Close()) }()
	var r PortRange
	assert.NilError(t, r.UnmarshalText([]byte("127.0.0.1:7600-7615")))
	l, err := r.Listen(network)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	assert.Equal(t, l.Addr().String(), "127.0.0.1:7614")
}

// Guards against accepting settings that the process cannot work with.
func TestUnusableSettingsAreRefused(t *testing.T) {
	agent := func(args ...string) error {
		var s AgentSettings
		parser, err := kong.New(&s, kong.Vars{"version": "1"})
		assert.NilError(t, err)
		_, err = parser.Parse(append([]string{"--id=a", "--domain=d", "--engine=http://127.0.0.1:1"}, args...))
		assert.NilError(t, err)
		return s.Check()
	}
	assert.NilError(t, agent("--self-announced"))
	assert.ErrorContains(t, agent(), "--service")
	assert.ErrorContains(t, agent("--service=s"), "--service-version")
	assert.ErrorContains(t, agent("--service=s", "--service-version=1"), "--control")
	assert.ErrorContains(t, agent("--self-announced", "--stop-timeout=0s"), "--stop-timeout")

	var s ControlSettings
	parser, err := kong.New(&s, kong.Vars{"version": "1"})
	assert.NilError(t, err)
	_, err = parser.Parse([]string{"--id=c", "--domain=d", "--data=" + t.TempDir(), "--members=127.0.0.1:1,127.0.0.2:1", "--listen=127.0.0.1:2", "--member-port=2", "--bootstrap=false", "--token-slack="})
	assert.NilError(t, err)
	assert.NilError(t, s.Check())
	c := &Control{settings: &s}
	assert.DeepEqual(t, c.memberAddresses(), []string{"127.0.0.1:2", "127.0.0.2:2"})
	assert.Equal(t, len(c.foundingMembers()), 0, "a replica that is not to form a group forms one")
	s.Bootstrap = true
	assert.Equal(t, len(c.foundingMembers()), 2)
	s.Listen = "127.0.0.3:2"
	assert.Equal(t, len(c.foundingMembers()), 0, "a replica that the members do not list forms a group")
	s.Tick = time.Millisecond
	assert.ErrorContains(t, s.Check(), "--tick")
}

// Guards against leases on accounts' limits that cannot be renewed in time or outlive the registration of
// their holder.
func TestBudgetLeaseIsBounded(t *testing.T) {
	for _, d := range []time.Duration{0, 2 * time.Second, 8 * time.Second} {
		s := BudgetSettings{BudgetLease: d}
		assert.NilError(t, s.Check())
		assert.Equal(t, s.leaseDuration(), d)
		s.ToleratedDomains = 1
		assert.Equal(t, s.leaseDuration(), time.Duration(0))
	}
	for _, d := range []time.Duration{-time.Second, time.Second, 9 * time.Second} {
		s := BudgetSettings{BudgetLease: d}
		assert.ErrorContains(t, s.Check(), "--budget-lease")
	}
	s := BudgetSettings{ToleratedDomains: -1}
	assert.ErrorContains(t, s.Check(), "--tolerated-domains")
}

// Guards against a heap that grows past the memory limit while little of it is alive, and against
// limits that are read wrongly or that no process can keep.
func TestMemoryLimitBoundsTheCollector(t *testing.T) {
	for text, want := range map[string]MemoryLimit{"": 0, "0": 0, "MB": 0, "134MB": 134_000_000, "128MiB": 128 << 20, "70000000": 70_000_000} {
		var m MemoryLimit
		assert.NilError(t, m.UnmarshalText([]byte(text)), text)
		assert.Equal(t, m, want, text)
		assert.NilError(t, m.check(), text)
	}
	for _, wrong := range []string{"x", "-1", "1.5MB", "134mb", "9223372036854775807MB"} {
		var m MemoryLimit
		assert.Assert(t, m.UnmarshalText([]byte(wrong)) != nil, wrong)
	}
	common := Common{AdminListen: "127.0.0.1:1", StopTimeout: time.Second, MemoryLimit: 1}
	assert.ErrorContains(t, common.Check(), "--memory-limit")

	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	t.Setenv("GOMEMLIMIT", "")
	MemoryLimit(0).limitCollector()
	assert.Equal(t, debug.SetMemoryLimit(-1), before, "no limit")
	MemoryLimit(100 * megabyte).limitCollector()
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(70*megabyte))
	t.Setenv("GOMEMLIMIT", "50MiB")
	MemoryLimit(200 * megabyte).limitCollector()
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(70*megabyte), "GOMEMLIMIT is set")
}

// blockedWriter blocks every Write until release is closed, like a log reader that hangs.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a blocked log reader that delays the process, and against lines that are
// dropped without being counted.
func TestBlockedLogReaderDoesNotDelayProcess(t *testing.T) {
	reader := &blockedWriter{release: make(chan struct{})}
	w := NewLogWriter(reader)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range logQueueLength + 100 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the log blocked its writer")
	}
	close(reader.release)
	w.Flush()
	_, err := w.Write([]byte("last\n"))
	assert.NilError(t, err)
	w.Flush()
	reader.mu.Lock()
	defer reader.mu.Unlock()
	text := reader.text.String()
	assert.Assert(t, strings.Contains(text, "log lines dropped"), "dropped lines were not counted")
	assert.Assert(t, strings.HasSuffix(text, "last\n"))
}

// Guards against replaced ports in an address list when no port is set.
func TestReplacePorts(t *testing.T) {
	assert.DeepEqual(t, ReplacePorts([]string{"1.2.3.4:5"}, 0), []string{"1.2.3.4:5"})
	assert.DeepEqual(t, ReplacePorts([]string{"1.2.3.4:5"}, 6), []string{"1.2.3.4:6"})
}

// Guards against limits that leave a process no connections, or refuse the heads of ordinary requests.
func TestIntakeSettingsAreChecked(t *testing.T) {
	for _, s := range []IntakeSettings{{}, {DescriptorLimit: 64}, {MaxHeaderBytes: 4 << 10}, {DescriptorLimit: 4100, MaxHeaderBytes: 512 << 10}} {
		assert.NilError(t, s.checkIntake())
	}
	for flag, s := range map[string]IntakeSettings{
		"descriptor-limit": {DescriptorLimit: 63}, "max-header-bytes": {MaxHeaderBytes: 4<<10 - 1},
	} {
		assert.ErrorContains(t, s.checkIntake(), "--"+flag)
		s.DescriptorLimit, s.MaxHeaderBytes = -s.DescriptorLimit, -s.MaxHeaderBytes
		assert.ErrorContains(t, s.checkIntake(), "--"+flag)
	}
}
