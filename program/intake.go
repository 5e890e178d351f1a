package program

import (
	"fmt"
	"math"
	"net"
	"syscall"
	"time"

	kitlog "github.com/go-kit/log"

	"toucantiller.dev/intake"
	"toucantiller.dev/link"
)

// Shares of a process's descriptors that the connections to its listeners may take. The rest is for
// its own connections and files.
const (
	// callerShare is for the callers of a gateway.
	callerShare = 1.0 / 2
	// agentShare is for dispatches to an agent, hostedShare for those to agents in a gateway.
	agentShare  = 1.0 / 2
	hostedShare = 1.0 / 8
	// memberShare is for links to gateways and agents, controlLinkShare for those to control.
	memberShare      = 1.0 / 8
	controlLinkShare = 1.0 / 4
	// controlCallShare is for operators and endpoints that call control, adminShare for admin listeners.
	controlCallShare = 1.0 / 4
	adminShare       = 3.0 / 32
)

const (
	// answerTimeout is how long a client may take no byte of its answer.
	answerTimeout = 30 * time.Second
	// headTimeoutRoom is what a head may take beyond the time that the configuration states, since
	// the client's clock starts earlier than that of the listener ends.
	headTimeoutRoom = time.Second
)

const (
	// minDescriptorLimit leaves each listener some connections.
	minDescriptorLimit = 64
	// minMaxHeader and maxMaxHeader bound the setting for heads, in bytes.
	minMaxHeader = 4 << 10
	maxMaxHeader = 512 << 10
)

// IntakeSettings bound what clients may take.
type IntakeSettings struct {
	BoundClients    bool  `help:"Account for the connections, heads and messages of clients, and take what is short from those that make no progress." env:"TOUCAN_BOUND_CLIENTS"`
	DescriptorLimit int   `help:"Descriptors that the process may open; 0 for what the system allows." env:"TOUCAN_DESCRIPTOR_LIMIT" default:"0"`
	MaxHeaderBytes  int64 `help:"Bytes that the head of a request may have, unless the configuration states another bound; 0 for 32768." env:"TOUCAN_MAX_HEADER_BYTES" default:"0"`
}

func (s *IntakeSettings) checkIntake() error {
	if s.DescriptorLimit != 0 && (s.DescriptorLimit < minDescriptorLimit || s.DescriptorLimit > math.MaxInt32) {
		return &SettingError{Flag: "descriptor-limit", Err: fmt.Errorf("%d is not between %d and %d", s.DescriptorLimit, minDescriptorLimit, math.MaxInt32)}
	}
	if s.MaxHeaderBytes != 0 && (s.MaxHeaderBytes < minMaxHeader || s.MaxHeaderBytes > maxMaxHeader) {
		return &SettingError{Flag: "max-header-bytes", Err: fmt.Errorf("%d is not between %d and %d", s.MaxHeaderBytes, minMaxHeader, maxMaxHeader)}
	}
	return nil
}

// descriptors returns the descriptors that the process may open, 0 if that is not known.
func (s *IntakeSettings) descriptors() int {
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		return s.DescriptorLimit
	}
	allowed := int(min(uint64(system.Cur), math.MaxInt32)) //nolint:gosec,unconvert // its type differs between systems
	if s.DescriptorLimit == 0 {
		return allowed
	}
	return min(s.DescriptorLimit, allowed)
}

func (s *IntakeSettings) maxHead() int64 { return s.MaxHeaderBytes }

// maxDispatchHead returns the most bytes of the head of a dispatch: the fields of a caller's request
// and some of the gateway's own.
func maxDispatchHead() int64 { return link.MaxRequestHead }

// newIntake returns the account of what the clients of the process take, with its metrics; nil if
// they are not bounded.
func (c *Common) newIntake(admin *Admin, logger kitlog.Logger) (*intake.Account, error) {
	if !c.BoundClients {
		return nil, nil //nolint:nilnil // an account that is nil bounds nothing
	}
	a := intake.New(int64(c.MemoryLimit), c.descriptors(), logger)
	if err := a.Register(admin.Telemetry.Meter("toucantiller.dev/intake")); err != nil {
		return nil, err
	}
	return a, nil
}

// intakeNetwork is a network whose listeners account for their connections.
type intakeNetwork struct {
	link.Network
	account *intake.Account
	options intake.Options
}

// Listen opens a listener.
func (n intakeNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return n.account.Listen(l, n.options), nil
}
