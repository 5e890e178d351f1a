package crowd

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitLimit bounds every wait. It is far above what any step needs, so that the verdict does not
// depend on the speed of the machine.
const waitLimit = 60 * time.Second

// Limits of the processes and bounds of the tests.
const (
	gatewayMemory = 112_000_000 // bytes
	controlMemory = 96_000_000  // bytes
	agentMemory   = 64_000_000  // bytes
	// descriptorLimit is what each process may open; descriptorBound leaves it an eighth for its
	// own connections and files.
	descriptorLimit = 256
	descriptorBound = descriptorLimit * 7 / 8
)

var binaries string

// TestMain builds the programs once, without the race detector, which multiplies their memory.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "toucan-bin")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/toucan-control", "../../cmd/toucan-gateway", "../../cmd/toucan-agent")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("building the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one running program.
type process struct {
	t      testing.TB
	name   string
	memory int64
	cmd    *exec.Cmd
	log    string
	ended  chan struct{}

	// mu guards descriptors, the most that were open at once.
	mu          sync.Mutex
	descriptors int
}

// startProcess starts a program that bounds what clients may take, also of its descriptors.
func startProcess(t testing.TB, memory int64, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: program, memory: memory, log: filepath.Join(t.TempDir(), program+".log"), ended: make(chan struct{})}
	out, err := os.Create(p.log)
	assert.NilError(t, err)
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(binaries, program), append(args, "--memory-limit", strconv.FormatInt(memory, 10))...)
	p.cmd.Env = append(os.Environ(), "TOUCAN_BOUND_CLIENTS=true", "TOUCAN_DESCRIPTOR_LIMIT="+strconv.Itoa(descriptorLimit))
	p.cmd.Stdout, p.cmd.Stderr = out, out
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		alive := p.alive()
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			b, _ := os.ReadFile(p.log)
			t.Logf("%s, pid %d, alive before its end: %t, %s:\n%s", p.name, p.cmd.Process.Pid, alive, p.cmd.ProcessState, b[max(0, len(b)-maxShownLog):])
		}
	})
	go p.watchDescriptors()
	return p
}

// maxShownLog bounds what is shown of the log of a process, in bytes.
const maxShownLog = 4 << 10

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// watchDescriptors samples the open descriptors until the process ends.
func (p *process) watchDescriptors() {
	for p.alive() {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		p.mu.Lock()
		p.descriptors = max(p.descriptors, len(entries))
		p.mu.Unlock()
		time.Sleep(descriptorSample)
	}
}

const descriptorSample = 20 * time.Millisecond

// peakMemory returns the most resident memory so far, in bytes.
func (p *process) peakMemory() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	_, rest, _ := bytes.Cut(b, []byte("VmHWM:"))
	kib, err := strconv.ParseInt(strings.Fields(string(rest))[0], 10, 64)
	assert.NilError(p.t, err)
	return kib << 10
}

// checkBounds checks that the process lives within its bounds.
func (p *process) checkBounds() {
	p.t.Helper()
	if !p.alive() {
		p.t.Errorf("%s ended: %s", p.name, p.cmd.ProcessState)
		return
	}
	p.mu.Lock()
	descriptors := p.descriptors
	p.mu.Unlock()
	memory := p.peakMemory()
	p.t.Logf("%s: at most %d MB resident of %d MB, %d descriptors", p.name, memory/1e6, p.memory/1e6, descriptors)
	if memory > p.memory {
		p.t.Errorf("%s: %d bytes resident, the limit is %d", p.name, memory, p.memory)
	}
	if descriptors > descriptorBound {
		p.t.Errorf("%s: %d descriptors open, the bound is %d", p.name, descriptors, descriptorBound)
	}
}

// The ports lie below those that the system gives to listeners on port 0 and to outgoing
// connections, and above those of the other tests with processes.
const (
	firstPort        = 28100
	portsPerProcess  = 400
	processesAtATime = 10
)

var nextPort atomic.Int64

func freeAddress(t testing.TB) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int64(firstPort+os.Getpid()%processesAtATime*portsPerProcess))
	for {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		l, err := net.Listen("tcp", address)
		if err == nil {
			assert.NilError(t, l.Close())
			return address
		}
	}
}
