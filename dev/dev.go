// Package dev runs a small but complete deployment in one process on the loopback interface: three
// control replicas, two gateways, and agents with fake engines of different speeds, one set per
// failure domain of an example bundle.
package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	kitlog "github.com/go-kit/log"

	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/fake"
	"toucantiller.dev/link"
	"toucantiller.dev/program"
)

// Settings are the settings of toucan-dev.
type Settings struct {
	Listen     string           `help:"Address of the first gateway for callers, ip:port. The second gateway uses the next port." env:"TOUCAN_LISTEN" default:"127.0.0.1:8080"`
	Data       string           `help:"Data folder; created when missing." env:"TOUCAN_DATA" default:"toucan-data" type:"path"`
	Deployment string           `help:"Example deployment: weavers or library." env:"TOUCAN_DEPLOYMENT" enum:"weavers,library" default:"weavers"`
	Control    int              `help:"First of three consecutive ports of the control replicas." env:"TOUCAN_CONTROL_PORT" default:"7100"`
	Load       float64          `help:"Requests per second that built-in callers send." env:"TOUCAN_LOAD" default:"40"`
	Verbose    bool             `help:"Write log lines to standard error." short:"v" env:"TOUCAN_VERBOSE"`
	Version    kong.VersionFlag `help:"Print the version and exit."`
}

// Check reports an invalid listen address.
func (s *Settings) Check() error { return program.CheckAddress("listen", s.Listen) }

const (
	replicas = 3
	gateways = 2
	// applyTimeout bounds the wait for a control leader plus the application of the example bundle.
	applyTimeout = 10 * time.Second
	// gatewayStopDelay is short because no load balancer needs time to take the gateway out of
	// rotation.
	gatewayStopDelay = 200 * time.Millisecond
)

// Deployment is a development deployment. Start starts it and Stop ends it.
type Deployment struct {
	settings *Settings
	logger   kitlog.Logger
	example  example

	controls []program.Process
	gateways []*program.Gateway
	agents   []program.Process
	engines  []*http.Server
	callers  *fake.Callers
	stopLoad context.CancelFunc
	load     sync.WaitGroup
}

// New loads the example bundle that the settings name. It starts nothing.
func New(s *Settings) (*Deployment, error) {
	ex, err := loadExample(s.Deployment)
	if err != nil {
		return nil, err
	}
	logger := kitlog.NewNopLogger()
	if s.Verbose {
		logger = program.NewLogger(os.Stderr, "toucan-dev")
	}
	return &Deployment{settings: s, logger: logger, example: ex}, nil
}

// Start starts control, gateways and agents, applies the example bundle unless a bundle is in force,
// waits until both gateways know every endpoint, and starts the built-in load. After an error, the
// parts already started keep running until Stop.
func (d *Deployment) Start(ctx context.Context) error {
	for _, step := range []func(context.Context) error{d.startControl, d.startGateways, d.startAgents, d.applyBundle, d.waitReady} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.startLoad()
	return nil
}

// ControlAddresses returns the addresses of the control replicas.
func (d *Deployment) ControlAddresses() []string {
	out := make([]string, replicas)
	for i := range out {
		out[i] = fmt.Sprintf("127.0.0.1:%d", d.settings.Control+i)
	}
	return out
}

// Summary returns the line that toucan-dev prints once it is ready.
func (d *Deployment) Summary() string {
	return fmt.Sprintf("toucan-dev ready: %s deployment, callers http://%s and http://%s, control %s, %d endpoints, %.0f requests/s of built-in load",
		d.settings.Deployment, d.gateways[0].Address(), d.gateways[1].Address(), strings.Join(d.ControlAddresses(), ","), len(d.agents), d.settings.Load)
}

func (d *Deployment) commonSettings(id, domain string) program.Common {
	return program.Common{ID: id, Domain: domain, AdminListen: "127.0.0.1:0"}
}

func (d *Deployment) startControl(ctx context.Context) error {
	addresses := d.ControlAddresses()
	for i, address := range addresses {
		id := fmt.Sprintf("control-%d", i+1)
		folder := filepath.Join(d.settings.Data, id)
		if err := os.MkdirAll(folder, 0o750); err != nil {
			return &program.SettingError{Flag: "data", Err: err}
		}
		s := &program.ControlSettings{Common: d.commonSettings(id, d.domainName(i)), Listen: address, Data: folder, Members: addresses, Bootstrap: true}
		c, err := program.NewControl(s, link.TCP{}, kitlog.With(d.logger, "process", id))
		if err != nil {
			return err
		}
		if err := c.Start(ctx); err != nil {
			return err
		}
		d.controls = append(d.controls, c)
	}
	return nil
}

func (d *Deployment) startGateways(ctx context.Context) error {
	host, port, err := splitListenAddress(d.settings.Listen)
	if err != nil {
		return err
	}
	for i := range gateways {
		id := fmt.Sprintf("gateway-%d", i+1)
		s := &program.GatewaySettings{
			Common:     d.commonSettings(id, d.domainName(i)),
			Listen:     net.JoinHostPort(host, fmt.Sprint(port+i)),
			LinkListen: "127.0.0.1:0",
			Control:    d.ControlAddresses(),
			StopDelay:  gatewayStopDelay,
		}
		g, err := program.NewGateway(s, link.TCP{}, kitlog.With(d.logger, "process", id))
		if err != nil {
			return err
		}
		if err := g.Start(ctx); err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
	}
	return nil
}

func splitListenAddress(address string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, &program.SettingError{Flag: "listen", Err: err}
	}
	port, err = net.LookupPort("tcp", text)
	return host, port, err
}

func (d *Deployment) domainName(i int) string {
	return d.example.bundle.Domains[i%len(d.example.bundle.Domains)].Name
}

func (d *Deployment) startAgents(ctx context.Context) error {
	for _, e := range d.example.endpoints() {
		address, err := d.startEngine(e.engine)
		if err != nil {
			return err
		}
		s := &program.AgentSettings{
			Common:         d.commonSettings(e.id, e.domain),
			Service:        e.service,
			ServiceVersion: e.version,
			Engine:         "http://" + address,
			DispatchListen: "127.0.0.1:0",
			LinkListen:     "127.0.0.1:0",
			Control:        d.ControlAddresses(),
		}
		a, err := program.NewAgent(s, link.TCP{}, kitlog.With(d.logger, "process", e.id))
		if err != nil {
			return err
		}
		if err := a.Start(ctx); err != nil {
			return err
		}
		d.agents = append(d.agents, a)
	}
	return nil
}

const engineReadHeaderTimeout = 5 * time.Second

func (d *Deployment) startEngine(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: engineReadHeaderTimeout}
	d.engines = append(d.engines, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// applyBundle applies the example bundle unless a bundle is already in force, as after a restart on
// the same data folder. Bundle is read behind the leader's barrier; a status may be that of a replica
// that has not applied its log yet.
func (d *Deployment) applyBundle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	client := control.NewClient(link.TCP{}, d.ControlAddresses())
	defer client.Close()
	inForce, err := client.Bundle(ctx)
	if err != nil {
		return err
	}
	if inForce.Ref != (contract.BundleRef{}) {
		return nil
	}
	return d.example.apply(ctx, client)
}

func (d *Deployment) waitReady(ctx context.Context) error {
	for _, g := range d.gateways {
		if err := g.WaitReady(ctx); err != nil {
			return err
		}
	}
	return d.waitEndpoints(ctx)
}

// waitEndpoints waits until every gateway knows every endpoint. Control learns of an endpoint before
// the gateways do, so running agents alone don't mean that every gateway can use them.
func (d *Deployment) waitEndpoints(ctx context.Context) error {
	missing := func(g *program.Gateway) bool { return g.Endpoints() < len(d.agents) }
	for slices.ContainsFunc(d.gateways, missing) {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

const pollInterval = 50 * time.Millisecond

func (d *Deployment) startLoad() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopLoad = cancel
	d.callers = &fake.Callers{Key: d.example.key, Model: d.example.model, Rate: d.settings.Load}
	for _, g := range d.gateways {
		d.callers.Gateways = append(d.callers.Gateways, "http://"+g.Address())
	}
	d.load.Go(func() { d.callers.Run(ctx) })
}

// Stop stops the built-in callers, gateways, agents, engines and control, in this order, so that no
// request is interrupted. It returns the first error, after stopping everything.
func (d *Deployment) Stop(ctx context.Context) error {
	if d.stopLoad != nil {
		d.stopLoad()
		d.load.Wait()
	}
	var errs []error
	for _, g := range d.gateways {
		errs = append(errs, g.Stop(ctx))
	}
	errs = append(errs, stopAll(ctx, d.agents)...)
	for _, e := range d.engines {
		errs = append(errs, e.Shutdown(ctx))
	}
	errs = append(errs, stopAll(ctx, d.controls)...)
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// stopAll stops processes concurrently and returns the result of each, in order.
func stopAll(ctx context.Context, processes []program.Process) []error {
	errs := make([]error, len(processes))
	var wait sync.WaitGroup
	for i, p := range processes {
		wait.Go(func() { errs[i] = p.Stop(ctx) })
	}
	wait.Wait()
	return errs
}
