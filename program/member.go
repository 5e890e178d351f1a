package program

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	kitlog "github.com/go-kit/log"

	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/instance"
	"toucantiller.dev/intake"
	"toucantiller.dev/link"
	"toucantiller.dev/membership"
	"toucantiller.dev/timeline"
)

const (
	// fetchTimeout bounds one fetch of the configuration from a peer.
	fetchTimeout = time.Second
	leaveTimeout = 2 * time.Second
)

// member is the part shared by gateways and agents: the local copy of the configuration,
// the registration with control and the net/rpc listener.
type member struct {
	self         instance.Instance
	network      link.Network
	control      *control.Client
	holder       *distribution.Holder
	rpc          *link.Server
	intake       *intake.Account
	recorder     *timeline.Recorder
	logger       kitlog.Logger
	controlSeeds []string

	subscriber *distribution.Subscriber
	announcer  *membership.Announcer
	listener   net.Listener
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// fetchingPeers holds the addresses of peers with a configuration fetch in progress.
	fetchingPeers sync.Map
}

func newMember(self instance.Instance, network link.Network, controlAddresses []string, admin *Admin, logger kitlog.Logger) *member {
	return &member{
		self:         self,
		network:      network,
		control:      control.NewClient(network, controlAddresses),
		holder:       distribution.NewHolder(admin.Timeline),
		rpc:          link.NewServer(),
		intake:       admin.account,
		recorder:     admin.Timeline,
		logger:       logger,
		controlSeeds: controlAddresses,
	}
}

// listen opens the net/rpc listener and sets self.LinkAddress with the advertised address,
// by default that of the listener.
func (m *member) listen(address, advertised string) error {
	l, err := intakeNetwork{m.network, m.intake, intake.Options{Name: "link", PlaceShare: memberShare}}.Listen(address)
	if err != nil {
		return &SettingError{Flag: "link-listen", Err: err}
	}
	m.listener = l
	m.self.LinkAddress = cmp.Or(advertised, l.Addr().String())
	return m.rpc.Register(distribution.ServiceName, distribution.NewService(m.holder))
}

// start serves net/rpc, subscribes to the configuration and registers the process with
// control. e is the endpoint to announce, nil for a gateway.
func (m *member) start(e *endpoint.Endpoint) {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.subscriber = distribution.NewSubscriber(distribution.SubscriberOptions{
		Network: m.network, Holder: m.holder, Self: m.self, Control: m.controlSeeds, Recorder: m.recorder, Logger: m.logger,
	})
	m.announcer = membership.NewAnnouncer(membership.Options{
		Control: m.control, Configuration: m.holder, Self: m.self, Endpoint: e, Recorder: m.recorder,
	})
	m.goroutines.Go(func() { _ = m.rpc.Serve(m.listener) })
	m.goroutines.Go(func() { m.subscriber.Run(ctx) })
	m.goroutines.Go(func() { m.announcer.Run(ctx) })
	m.goroutines.Go(func() { m.followControl(ctx) })
	m.goroutines.Go(func() { logStalls(ctx, m.logger) })
}

// followControl keeps the client's addresses up to date with the control replicas in the
// directory, so that the process still finds control after its seeds were replaced.
func (m *member) followControl(ctx context.Context) {
	changes, unwatch := m.holder.Watch()
	defer unwatch()
	for {
		if d := m.holder.Directory(); d != nil && len(d.Control) > 0 {
			m.control.SetAddresses(distribution.WithSeeds(d.Control, m.controlSeeds))
		}
		select {
		case <-changes:
		case <-ctx.Done():
			return
		}
	}
}

// leave deregisters from control, so that no new work is sent here.
func (m *member) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return m.announcer.Leave(ctx)
}

// stop closes the listener and connections and waits for the goroutines.
func (m *member) stop() {
	m.cancel()
	_ = m.listener.Close()
	m.rpc.Close()
	m.control.Close()
	m.goroutines.Wait()
}

// waitForConfig waits for the first configuration. It returns an error if ctx ends before.
func (m *member) waitForConfig(ctx context.Context) error {
	changes, unwatch := m.holder.Watch()
	defer unwatch()
	for m.holder.Config() == nil {
		select {
		case <-changes:
		case <-ctx.Done():
			return errors.New("no configuration arrived from control")
		}
	}
	return nil
}

// Config returns the configuration in force.
func (m *member) Config() *contract.Config { return m.holder.Config() }

// Directory returns the registered endpoints.
func (m *member) Directory() *api.Directory { return m.holder.Directory() }

// UnprovenAllowed reports whether an unproven version may receive its share of requests.
func (m *member) UnprovenAllowed(now time.Time) bool { return m.holder.UnprovenAllowed(now) }

// MayServe reports whether new work may be accepted.
func (m *member) MayServe(now time.Time) bool { return m.holder.MayServe(now) }

// ObserveRevision is told the configuration revision of a peer and fetches the configuration from it if
// that is newer. At most one fetch per peer is in progress.
func (m *member) ObserveRevision(revision uint64, peer string) {
	if peer == "" || revision <= m.holder.Revision() {
		return
	}
	if _, busy := m.fetchingPeers.LoadOrStore(peer, struct{}{}); busy {
		return
	}
	go m.fetchConfig(peer)
}

func (m *member) fetchConfig(peer string) {
	defer m.fetchingPeers.Delete(peer)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	client := link.NewClient(m.network, peer)
	defer client.Close()
	if err := m.holder.FetchFrom(ctx, client); err == nil {
		m.recorder.Record(timeline.Event{Kind: "config.fetched", Revision: m.holder.Revision(), Detail: peer})
	}
}

// logChanges logs each change of the configuration revision until ctx ends.
func (m *member) logChanges(ctx context.Context) {
	changes, unwatch := m.holder.Watch()
	defer unwatch()
	var last uint64
	for {
		if r := m.holder.Revision(); r != last {
			last = r
			_ = m.logger.Log("msg", "configuration in force", "revision", r, "source", m.subscriber.Parent(),
				"beacon_age_ms", m.holder.FreshnessText(time.Now()))
		}
		select {
		case <-changes:
		case <-ctx.Done():
			return
		}
	}
}
