// Command rig plays the cases of the third review: it starts the project's programs as the deploy
// file does, on loopback addresses, with stand-ins for replicas, clients and the operator.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine; all machines have the same ones, as on the platform.
type ports struct{ front, ready, control, first, last, app, admin int }

// process is a program of the system that the rig started.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
}

// deployment is a small deployment on loopback addresses: each machine has an address of its own.
type deployment struct {
	rec   *recorder
	dir   string
	net   string // the first three parts of each address
	ports ports
	procs []*process
	// stopping is held while the processes are started or ended.
	stopping sync.Mutex
}

var zones = []string{"lagos-a", "lagos-b", "lagos-c"}

// fronts is the number of front machines with a disk; machine i is in zone i.
const fronts = 3

func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir}
	for range 50 {
		d.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(9000)
		d.ports = ports{base, base + 1, base + 2, base + 10, base + 25, base + 3, base + 4}
		if d.free() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (d *deployment) free() bool {
	for _, p := range []int{d.ports.front, d.ports.control, d.ports.first, d.ports.last, d.ports.app, d.ports.admin} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", d.net, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// ip returns the address of a machine: fronts are 1 to 3, model replicas 11 and up, plain ones 31 and up.
func (d *deployment) ip(n int) string { return fmt.Sprintf("%s%d", d.net, n) }

func (d *deployment) at(n, port int) string { return fmt.Sprintf("%s:%d", d.ip(n), port) }

// controls returns the control addresses for operators and replicas.
func (d *deployment) controls() []string {
	var out []string
	for i := 1; i <= fronts; i++ {
		out = append(out, d.at(i, d.ports.control))
	}
	return out
}

func (d *deployment) start(name, program string, args ...string) (*process, error) {
	d.stopping.Lock()
	defer d.stopping.Unlock()
	p := &process{name: name, args: append([]string{program}, args...), log: filepath.Join(d.dir, name+".log")}
	if err := d.run(p); err != nil {
		return nil, err
	}
	d.procs = append(d.procs, p)
	return p, nil
}

func (d *deployment) run(p *process) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join("target", p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	return p.cmd.Start()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends a process and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// stopOnSignal ends all processes if the rig is ended.
func (d *deployment) stopOnSignal() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-ended
		d.rec.note("the case was ended from outside")
		d.stop()
		os.Exit(int(failed))
	}()
}

// stop ends all processes.
func (d *deployment) stop() {
	d.stopping.Lock()
	defer d.stopping.Unlock()
	for _, p := range d.procs {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

func (d *deployment) seeds() string { return strings.Join(d.controls(), ",") }

func (d *deployment) startControl(n int) (*process, error) {
	data := filepath.Join(d.dir, fmt.Sprintf("data-%d", n))
	if err := os.MkdirAll(data, 0o700); err != nil {
		return nil, err
	}
	seeds := filepath.Join(d.dir, "seeds")
	if err := os.WriteFile(seeds, []byte(d.seeds()+"\n"), 0o600); err != nil {
		return nil, err
	}
	node := fmt.Sprintf("front-%s-1", zones[n-1])
	return d.start(fmt.Sprintf("control-%d", n), "toucan-control", "--id="+node+"-control", "--domain="+zones[n-1], "--data="+data,
		"--disk-mb=64", "--listen="+d.at(n, d.ports.first), "--members="+d.seeds(), fmt.Sprintf("--member-port=%d", d.ports.first),
		"--seeds-file="+seeds, "--bootstrap=true", "--self-repair", "--tick=30ms", "--token-overrun=0.1", "--token-slack=110000",
		"--platform-api=", "--platform-duties=", "--duty-holder="+node, "--duty-rate=", "--duty-lease-ms=", "--usage-window=",
		"--usage-late=", "--budget-lease=8s", "--tolerated-domains=1", "--call-listen="+d.at(n, d.ports.control),
		fmt.Sprintf("--agent-port=%d", d.ports.first), "--admin-listen="+d.at(n, d.ports.admin), "--memory-limit=134MB", "--stop-timeout=7500ms")
}

func (d *deployment) startGateway(n int) (*process, error) {
	return d.start(fmt.Sprintf("gateway-%d", n), "toucan-gateway", "--interface=platform", fmt.Sprintf("--id=front-%s-1", zones[n-1]),
		"--domain="+zones[n-1], "--listen="+d.at(n, d.ports.front), "--admin-listen="+d.at(n, d.ports.ready),
		"--link-listen="+d.at(n, d.ports.last), fmt.Sprintf("--agent-listen=%s:%d-%d", d.ip(n), d.ports.first, d.ports.last),
		"--cold-overrun=1.5", "--cold-slack=5", "--usage-window=", "--budget-lease=8s", "--tolerated-domains=1",
		"--control="+d.seeds(), fmt.Sprintf("--control-port=%d", d.ports.first), "--stop-delay=2500ms", "--memory-limit=134MB", "--stop-timeout=7500ms")
}

// startAgent starts the agent beside the model replica on machine n. listen is the machine's address
// for dispatches, which differs if a proxy stands before it.
func (d *deployment) startAgent(n int, listen string) (*process, error) {
	return d.start(fmt.Sprintf("agent-%d", n), "toucan-agent", "--self-announced", fmt.Sprintf("--id=side-%d", n), "--domain="+zones[n%3],
		"--engine=http://"+d.at(n, d.ports.app), "--cold-overrun=1.5", "--cold-slack=5", "--dispatch-listen="+listen,
		"--admin-listen="+d.at(n, d.ports.admin), "--memory-limit=216MB", "--stop-timeout=7500ms")
}

// startFronts starts control and a gateway on each front machine, applies a configuration and waits
// until the gateways are ready.
func (d *deployment) startFronts(config string) error {
	for n := 1; n <= fronts; n++ {
		if _, err := d.startControl(n); err != nil {
			return err
		}
		if _, err := d.startGateway(n); err != nil {
			return err
		}
	}
	if err := d.put("/config", config, 20*time.Second); err != nil {
		return err
	}
	return d.awaitReady(20 * time.Second)
}

// put sends a call of the operator until it is acknowledged.
func (d *deployment) put(path, body string, within time.Duration) error {
	return d.order(http.MethodPut, path, body, within)
}

func (d *deployment) order(method, path, body string, within time.Duration) error {
	end := time.Now().Add(within)
	client := http.Client{Timeout: time.Second}
	for i := 0; time.Now().Before(end); i++ {
		req, err := http.NewRequest(method, "http://"+d.controls()[i%fronts]+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.rec.note("operator: %s %s acknowledged", method, path)
				return nil
			}
			if resp.StatusCode < 500 {
				return fmt.Errorf("%s %s: %s", method, path, resp.Status)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

func (d *deployment) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	client := http.Client{Timeout: time.Second}
	for n := 1; n <= fronts; n++ {
		for {
			resp, err := client.Get("http://" + d.at(n, d.ports.ready) + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("gateway %d is not ready", n)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
