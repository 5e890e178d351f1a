package program

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"

	"toucantiller.dev/link"
)

// PortRange is a listen address with one port or a range of ports: "ip:port" or
// "ip:first-last". The zero value is no address.
type PortRange struct {
	host        netip.Addr
	first, last uint16
}

// UnmarshalText parses an address. Empty text leaves the value unchanged.
func (r *PortRange) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	host, ports, err := net.SplitHostPort(string(text))
	if err != nil {
		return err
	}
	if r.host, err = netip.ParseAddr(host); err != nil {
		return err
	}
	first, last, isRange := strings.Cut(ports, "-")
	if !isRange {
		last = first
	}
	if r.first, err = parsePort(first); err != nil {
		return err
	}
	if r.last, err = parsePort(last); err != nil {
		return err
	}
	if r.first > r.last {
		return fmt.Errorf("port %d is above %d", r.first, r.last)
	}
	return nil
}

func parsePort(text string) (uint16, error) {
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0, fmt.Errorf("%q is not a port", text)
	}
	return uint16(port), nil
}

// Empty reports whether no address is set.
func (r PortRange) Empty() bool { return !r.host.IsValid() }

// Listen listens on the highest free port of the range. Going from the top down keeps fixed
// ports in the range, such as the first, free for processes that start later.
func (r PortRange) Listen(network link.Network) (net.Listener, error) {
	var errs []error
	for port := int(r.last); port >= int(r.first); port-- {
		l, err := network.Listen(netip.AddrPortFrom(r.host, uint16(port)).String()) //nolint:gosec // within the range of ports
		if err == nil {
			return l, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}
