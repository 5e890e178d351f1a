package endpoint

import (
	"fmt"
	"net"
	"strconv"
	"strings"
)

// MaxSlots bounds Endpoint.Slots. Sums over all endpoints do not overflow within it.
const MaxSlots = 1 << 16

// Check returns why no process can use the endpoint, naming the field; nil if one may.
func (e *Endpoint) Check() error {
	if e.Slots < 0 || e.Slots > MaxSlots {
		return fmt.Errorf("slots %d is not between 0 and %d", e.Slots, MaxSlots)
	}
	if e.Target != "" {
		if err := checkAddress(e.Target); err != nil {
			return fmt.Errorf("target: %w", err)
		}
	}
	dial, path := SplitAddress(e.Address)
	if strings.Contains(dial, ":") {
		if err := checkAddress(dial); err != nil {
			return fmt.Errorf("address: %w", err)
		}
	}
	if path != "" && path != "/"+e.Target {
		return fmt.Errorf("address: path %.64q is not that of the target", path)
	}
	return nil
}

// checkAddress returns an error for an address that is not a host and a port from 1 to 65535.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%.64q is not a host and a port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %.64q is not between 1 and 65535", port)
	}
	if host == "" || strings.ContainsFunc(host, isOddInHost) {
		return fmt.Errorf("host %.64q is odd", host)
	}
	return nil
}

// isOddInHost reports whether no IP address or name of a host contains the character.
func isOddInHost(r rune) bool {
	return r <= ' ' || r > '~' || strings.ContainsRune(`/\?#@%[]<>"`, r)
}
