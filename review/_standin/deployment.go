package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, as in the settings example of the users' pages.
const (
	portFront   = 8221
	portReady   = 8224
	portControl = 8229
	portFirst   = 7600
	portLast    = 7615
)

// program is one of the project's programs, run as a separate process.
type program struct {
	name string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	started.mu.Lock()
	started.list = append(started.list, p)
	started.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (p *program) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

func (p *program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (p *program) running() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

func (p *program) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

// deployment is a small deployment on loopback addresses: three control processes with a disk,
// and gateways, each on an address of its own.
type deployment struct {
	folder   string
	net      int
	controls []*program
	gateways []*program
	fronts   []string
	calls    []string
}

func (d *deployment) ip(class, i int) string { return fmt.Sprintf("127.%d.%d.%d", d.net, class, i+1) }

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

const (
	classFront = iota + 1
	classSide
	classServer
)

// zones of the deployment.
var zones = []string{"lagos-a", "lagos-b", "lagos-c"}

// newDeployment chooses loopback addresses that are free.
func newDeployment() (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	for try := range 100 {
		d := &deployment{folder: folder, net: 20 + (os.Getpid()+try*7)%200}
		l, err := net.Listen("tcp", at(d.ip(classFront, 0), portFront))
		if err != nil {
			continue
		}
		_ = l.Close()
		return d, nil
	}
	return nil, errors.New("no free loopback addresses")
}

func (d *deployment) program(name string, args ...string) *program {
	return &program{name: name, args: args, log: filepath.Join(d.folder, name+".log")}
}

// startControl starts three control processes with the command of the deploy file.
func (d *deployment) startControl() error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, at(d.ip(classFront, i), portControl))
	}
	d.calls = seeds
	seedsFile := filepath.Join(d.folder, "settings.conf")
	if err := os.WriteFile(seedsFile, []byte(strings.Join(seeds, ",")+"\n"), 0o600); err != nil {
		return err
	}
	for i := range 3 {
		data := filepath.Join(d.folder, fmt.Sprintf("data-%d", i))
		if err := os.Mkdir(data, 0o700); err != nil {
			return err
		}
		ip := d.ip(classFront, i)
		p := d.program(fmt.Sprintf("control-%d", i), "target/toucan-control", fmt.Sprintf("--id=front-%s-1-control", zones[i]), "--domain="+zones[i],
			"--data="+data, "--listen="+at(ip, portFirst), "--members="+strings.Join(seeds, ","), fmt.Sprintf("--member-port=%d", portFirst),
			"--seeds-file="+seedsFile, "--bootstrap=true", "--self-repair", "--tick=30ms", "--token-overrun=0.1", "--token-slack=110000",
			"--call-listen="+at(ip, portControl), fmt.Sprintf("--agent-port=%d", portFirst), "--admin-listen=127.0.0.1:0", "--stop-timeout=7500ms")
		if err := p.start(); err != nil {
			return err
		}
		d.controls = append(d.controls, p)
	}
	return nil
}

// startGateways starts n gateways with the command of the deploy file.
func (d *deployment) startGateways(n int) error {
	for i := range n {
		ip := d.ip(classFront, i)
		p := d.program(fmt.Sprintf("gateway-%d", i), "target/toucan-gateway", "--interface=platform", fmt.Sprintf("--id=front-%s-1", zones[i]), "--domain="+zones[i],
			"--listen="+at(ip, portFront), "--admin-listen="+at(ip, portReady), "--link-listen="+at(ip, portLast),
			fmt.Sprintf("--agent-listen=%s:%d-%d", ip, portFirst, portLast), "--cold-overrun=1.5", "--cold-slack=5",
			"--control="+strings.Join(d.calls, ","), fmt.Sprintf("--control-port=%d", portFirst), "--stop-delay=2500ms", "--stop-timeout=7500ms")
		if err := p.start(); err != nil {
			return err
		}
		d.gateways = append(d.gateways, p)
		d.fronts = append(d.fronts, at(ip, portFront))
	}
	return nil
}

// startAgent starts the agent beside a model server on side machine i.
func (d *deployment) startAgent(i int, app string) (*program, error) {
	ip := d.ip(classSide, i)
	p := d.program(fmt.Sprintf("agent-%d", i), "target/toucan-agent", "--self-announced", fmt.Sprintf("--id=side-%d", i), "--domain="+zones[i%3],
		"--engine=http://"+app, "--cold-overrun=1.5", "--cold-slack=5", "--dispatch-listen="+at(ip, portFirst),
		"--admin-listen=127.0.0.1:0", "--stop-timeout=7500ms")
	return p, p.start()
}

func (d *deployment) stop() {
	for _, p := range append(d.gateways, d.controls...) {
		p.kill()
	}
	_ = os.RemoveAll(d.folder)
}

// ready waits until a gateway answers its readiness check.
func (d *deployment) ready(i int, within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + at(d.ip(classFront, i), portReady) + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %d isn't ready", i)
}

// order sends a call to the control processes in turn until one acknowledges it.
func (d *deployment) order(method, path string, body any, within time.Duration) (status int, answer string, err error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, "", err
	}
	if body == nil {
		content = nil
	}
	client := http.Client{Timeout: time.Second}
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		req, err := http.NewRequest(method, "http://"+d.calls[i%len(d.calls)]+path, bytes.NewReader(content))
		if err != nil {
			return 0, "", err
		}
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && (resp.StatusCode/100 == 2 || resp.StatusCode/100 == 4) {
			return resp.StatusCode, string(b), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, "", errors.New("no clear answer")
}
