package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fields are the platform's values for the placeholders of a deploy file.
type fields map[string]string

var (
	section     = regexp.MustCompile(`\{\{([#^])([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
	runLine     = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	// fixedAdmin is an admin address that all machines of a deployment share. Here they share one host.
	fixedAdmin = regexp.MustCompile(`--admin-listen=127\.0\.0\.1:\d+`)
)

// fill replaces the placeholders of a command.
func (f fields) fill(command string) string {
	command = section.ReplaceAllStringFunc(command, func(s string) string {
		m := section.FindStringSubmatch(s)
		if (f[m[2]] != "") == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(command, func(s string) string { return f[placeholder.FindStringSubmatch(s)[1]] })
}

// commands returns the command of each role in the deploy file, by the program's name.
func commands() map[string]string {
	b, err := os.ReadFile("deploy/system.toml")
	check(err)
	out := make(map[string]string)
	for _, m := range runLine.FindAllStringSubmatch(string(b), -1) {
		out[filepath.Base(strings.Fields(m[1])[0])] = m[1]
	}
	return out
}

// process is one process of the project.
type process struct {
	name string
	args []string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	starts  int
	logName string
}

var (
	processesMu sync.Mutex
	processes   []*process
)

// start starts the process, again if it has ended.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	p.logName = filepath.Join(bed.folder, p.name+".log")
	log, err := os.OpenFile(p.logName, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if bed.bound {
		p.cmd.Env = append(os.Environ(), "TOUCAN_BOUND_CLIENTS=true")
	}
	check(p.cmd.Start())
	exited := make(chan struct{})
	p.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(p.cmd)
	if p.starts == 1 {
		processesMu.Lock()
		processes = append(processes, p)
		processesMu.Unlock()
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// anonymousMemory returns the memory of the process in bytes without mapped files, 0 if it has ended.
func (p *process) anonymousMemory() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

func killAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		p.kill()
	}
}

// machine is one machine of the deployment, with an address of its own.
type machine struct {
	name, zone, ip string
	disk           string
	gateway        *process
	control        *process
	front, ready   string
	calls          string
}

// testbed is a small deployment on loopback.
type testbed struct {
	folder string
	// network is the first three bytes of all addresses.
	network  string
	next     int
	bound    bool
	machines []*machine
	record   *recorder
	trouble  bool
}

var bed *testbed

// address returns an address of its own for a machine or a server.
func (b *testbed) address() string {
	b.next++
	return fmt.Sprintf("%s.%d", b.network, b.next)
}

// Ports of the deployment; each machine has an address of its own.
const (
	frontPort   = "18221"
	readyPort   = "18224"
	callPort    = "18229"
	firstPort   = "17600"
	lastPort    = "17615"
	serverPort  = "18080"
	controlAdm  = "17691"
	memoryLimit = 134
)

// chooseNetwork returns a part of the loopback network that nothing listens on.
func chooseNetwork() string {
	for i := range 200 {
		n := (os.Getpid()*7 + i*13) % 60000
		network := fmt.Sprintf("127.%d.%d", 20+n/250, 1+n%250)
		l, err := net.Listen("tcp", network+".1:"+frontPort)
		if err == nil {
			_ = l.Close()
			return network
		}
	}
	fail("no free loopback network")
	return ""
}

// newMachine adds a front machine. Its settings are those of the site lwan-router.
func (b *testbed) newMachine(zone string, disk bool) *machine {
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, len(b.machines)+1), zone: zone, ip: b.address()}
	m.front, m.ready, m.calls = m.ip+":"+frontPort, m.ip+":"+readyPort, m.ip+":"+callPort
	if disk {
		m.disk = filepath.Join(b.folder, m.name)
		check(os.MkdirAll(m.disk, 0o700))
	}
	b.machines = append(b.machines, m)
	return m
}

// startMachines starts the gateway and the control process of each machine.
func (b *testbed) startMachines(seeds []*machine) {
	var names []string
	for _, s := range seeds {
		names = append(names, s.calls)
	}
	seedsFile := filepath.Join(b.folder, "seeds")
	check(os.WriteFile(seedsFile, []byte(strings.Join(names, ",")), 0o600))
	run := commands()
	for _, m := range b.machines {
		f := fields{
			"node_name": m.name, "zone": m.zone, "ip": m.ip, "listen.front": m.front, "listen.ready": m.ready, "listen.control": m.calls,
			"port_range.0": firstPort, "port_range.1": lastPort, "seeds": strings.Join(names, ","), "bootstrap": "true",
			"data_dir": m.disk, "limits.memory_mb": strconv.Itoa(memoryLimit), "fault_tolerance.zones": "1",
			"bounds.cold_overrun": "1.5", "bounds.cold_slack": "5", "bounds.quota_overrun": "0.1", "bounds.quota_slack": "110000",
		}
		if m.disk != "" {
			f["limits.disk_mb"] = "64"
		}
		m.gateway = newProcess(m.name, f.fill(run["toucan-gateway"]))
		control := strings.ReplaceAll(f.fill(run["toucan-control"]), "/etc/toucantiller/settings.conf", seedsFile)
		control = fixedAdmin.ReplaceAllString(control, "--admin-listen="+m.ip+":"+controlAdm)
		m.control = newProcess(m.name+"-control", control)
	}
	for _, m := range b.machines {
		m.control.start()
		m.gateway.start()
	}
}

func newProcess(name, command string) *process {
	return &process{name: name, args: strings.Fields(command)}
}

// restart starts a control process again, with a disk that is no longer new.
func (m *machine) restartControl() {
	for i, a := range m.control.args {
		if a == "--bootstrap=true" {
			m.control.args[i] = "--bootstrap=false"
		}
	}
	m.control.start()
}

// controlAddresses returns the addresses at which the machines serve operators and servers.
func (b *testbed) controlAddresses() []string {
	var out []string
	for _, m := range b.machines {
		out = append(out, m.calls)
	}
	return out
}

// until waits for a condition and ends the script with 2 if it does not come.
func until(what string, limit time.Duration, done func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	fail("did not come in %s: %s", limit, what)
}
