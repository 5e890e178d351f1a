// Package systemtest runs the programs as separate processes on loopback and proves
// the promises under kills, freezes, lost disks and racing operators.
package systemtest

import (
	"context"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/examples"
	"toucantiller.dev/link"
)

// waitLimit bounds every wait. It is far above what any step needs, so that the verdict
// does not depend on the speed of the machine.
const waitLimit = 60 * time.Second

var binaries string

// TestMain builds the programs once. In a process that is to be a replica on a limited disk, it runs
// that.
func TestMain(m *testing.M) {
	if budget := os.Getenv(diskBudgetVariable); budget != "" {
		runOnLimitedDisk(budget)
		return
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "toucan-bin")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	flag.Parse()
	build := exec.Command("go", "build", fmt.Sprintf("-race=%t", *soakRace), "-o", dir, "../cmd/toucan-control", "../cmd/toucan-gateway", "../cmd/toucan-agent", "../cmd/toucanctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("building the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// binary returns the path of a program.
func binary(name string) string {
	readSources()
	return filepath.Join(binaries, name)
}

// readSources looks at every file of the module. The go command takes an earlier
// pass for valid as long as the test binary and the files that the tests looked at are the
// same, and the programs are no part of that binary.
var readSources = sync.OnceFunc(func() {
	_ = filepath.WalkDir("..", func(path string, e fs.DirEntry, _ error) error {
		if e != nil && e.Name() == ".git" && e.IsDir() {
			return filepath.SkipDir
		}
		_, _ = os.Stat(path) // a missing file is for the build to report
		return nil
	})
})

// process is one running program.
type process struct {
	t    testing.TB
	name string
	args []string
	// diskBudget is the file with the size of the disk of a control replica, in bytes; empty if the
	// disk is not limited.
	diskBudget string
	cmd        *exec.Cmd
	out        *os.File
	// logs are the files with the output of each start.
	logs []string
}

// start runs the program with its arguments; its output goes to a file that is shown
// when the test fails.
func (p *process) start() {
	p.t.Helper()
	out, err := os.OpenFile(filepath.Join(p.t.TempDir(), p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	assert.NilError(p.t, err)
	p.out = out
	p.logs = append(p.logs, out.Name())
	p.cmd = exec.Command(binary(p.args[0]), p.args[1:]...)
	if p.diskBudget != "" {
		p.limitDisk()
	}
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	assert.NilError(p.t, p.cmd.Start())
	p.t.Cleanup(p.kill)
}

// kill ends the process at once, as kill -9 does.
func (p *process) kill() {
	if p.cmd.ProcessState != nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.show()
}

func (p *process) show() {
	if !p.t.Failed() {
		return
	}
	b, _ := os.ReadFile(p.out.Name())
	p.t.Logf("%s:\n%s", p.name, b)
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s))
}

// terminate asks for a graceful stop and returns its exit error.
func (p *process) terminate() error {
	p.signal(syscall.SIGTERM)
	err := p.cmd.Wait()
	p.show()
	return err
}

// deployment is a set of processes on loopback.
type deployment struct {
	t testing.TB
	// control are the addresses of the replicas, listens where they listen.
	control  []string
	listens  []string
	folders  []string
	controls []*process
	gateways []*process
	callers  []string
	client   *control.Client
}

// nextPort is the last port handed out by freeAddress. The ports lie below those that the
// system gives to listeners on port 0 and to outgoing connections; one of these took the
// port of a replica before the replica could listen. Test processes start apart.
var nextPort atomic.Int64

const (
	firstPort        = 12000
	portsPerProcess  = 200
	processesAtATime = 80
)

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

const replicas = 3

func startControl(t testing.TB) *deployment {
	d := &deployment{t: t}
	for range replicas {
		d.control = append(d.control, freeAddress(t))
	}
	d.listens = d.control
	d.startReplicas()
	return d
}

func (d *deployment) startReplicas() {
	for i := range replicas {
		d.folders = append(d.folders, d.t.TempDir())
		d.controls = append(d.controls, d.newControl(i))
		d.controls[i].start()
	}
	d.client = control.NewClient(link.TCP{}, d.control)
	d.t.Cleanup(d.client.Close)
}

func (d *deployment) newControl(i int) *process {
	id := fmt.Sprintf("control-%d", i+1)
	return &process{t: d.t, name: id, args: []string{
		"toucan-control", "--id", id, "--domain", "lagos-a", "--admin-listen", "127.0.0.1:0",
		"--listen", d.listens[i], "--advertise", d.control[i], "--data", d.folders[i], "--members", strings.Join(d.control, ","),
	}}
}

func (d *deployment) startGateway(domain string) {
	address := freeAddress(d.t)
	id := fmt.Sprintf("gateway-%d", len(d.gateways)+1)
	p := &process{t: d.t, name: id, args: []string{
		"toucan-gateway", "--id", id, "--domain", domain, "--admin-listen", "127.0.0.1:0",
		"--listen", address, "--link-listen", "127.0.0.1:0", "--control", strings.Join(d.control, ","),
	}}
	p.start()
	d.gateways = append(d.gateways, p)
	d.callers = append(d.callers, "http://"+address)
}

// startAgent starts an agent beside an engine in the test process, with further flags.
func (d *deployment) startAgent(service, version, domain string, engine http.Handler, flags ...string) *process {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	server := &http.Server{Handler: engine, ReadHeaderTimeout: waitLimit}
	go func() { _ = server.Serve(l) }()
	d.t.Cleanup(func() { _ = server.Close() })
	id := fmt.Sprintf("%s-%s-%s-%d", service, version, domain, l.Addr().(*net.TCPAddr).Port)
	p := &process{t: d.t, name: id, args: append([]string{
		"toucan-agent", "--id", id, "--domain", domain, "--admin-listen", "127.0.0.1:0",
		"--service", service, "--service-version", version, "--engine", "http://" + l.Addr().String(),
		"--dispatch-listen", "127.0.0.1:0", "--link-listen", "127.0.0.1:0", "--control", strings.Join(d.control, ","),
	}, flags...)}
	p.start()
	return p
}

// waitFor polls until done returns true.
func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(20*time.Millisecond))
}

// status returns the leader's view, or nil while there is no leader.
func (d *deployment) status() *api.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s, err := d.client.Status(ctx)
	if err != nil || s.Leader == "" {
		return nil
	}
	return s
}

func (d *deployment) waitEndpoints(n int) {
	d.t.Helper()
	waitFor(d.t, fmt.Sprintf("%d endpoints in force everywhere", n), func() bool {
		s := d.status()
		return s != nil && len(s.Endpoints) == n && s.InForce
	})
}

// waitServing waits until every gateway carries calls of a service to an endpoint. A
// gateway that starts slowly may hold no configuration or directory yet, and refuses.
func (d *deployment) waitServing(method, path, body string) {
	d.t.Helper()
	for _, base := range d.callers {
		waitFor(d.t, "a call through "+base, func() bool { return call(base, method, path, body).status == http.StatusOK })
	}
}

// waitDesk waits until every gateway reaches the plain service.
func (d *deployment) waitDesk() {
	d.t.Helper()
	d.waitServing(http.MethodGet, "/services/member-desk/stock", "")
}

// waitModel waits until every gateway reaches the model service.
func (d *deployment) waitModel() {
	d.t.Helper()
	d.waitServing(http.MethodPost, "/v1/completions", `{"model":"weft-lm","prompt":"thread stock"}`)
}

// bundle returns the weavers' example with another version number.
func bundle(t testing.TB, version int) []byte {
	b, err := examples.Files.ReadFile("weavers.yaml")
	assert.NilError(t, err)
	return []byte(strings.Replace(string(b), "version: 1\n", fmt.Sprintf("version: %d\n", version), 1))
}

func signedBundle(content []byte, id, operator string) *api.ApplyBundle {
	now := time.Now()
	c := &api.ApplyBundle{
		Operation:  api.Operation{ID: id, Operator: operator},
		Content:    content,
		Signatures: []api.Signature{api.Signature(contract.Sign(content, "bashir", contract.DemoKey("bashir"), now))},
	}
	api.Sign(c, contract.DemoKey(operator), now)
	return c
}

func (d *deployment) apply(version int) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	r, err := d.client.ApplyBundle(ctx, signedBundle(bundle(d.t, version), fmt.Sprintf("apply-%d", version), "adaeze"))
	assert.NilError(d.t, err)
	assert.Equal(d.t, r.Outcome, api.OutcomeAccepted, r.Reason)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// call sends one request to a gateway.
func call(base, method, path, body string, header ...string) answer {
	req, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer demo-aba-mills")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), err: err, took: time.Since(begin)}
}
