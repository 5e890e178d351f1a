package systemtest

import (
	"errors"
	"net"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a bad setting that is accepted, or reported in a way that does not name
// it.
func TestBadSettings(t *testing.T) {
	controlArgs := []string{"toucan-control", "--id=c", "--domain=d", "--members=127.0.0.1:1"}
	agentArgs := []string{"toucan-agent", "--id=a", "--domain=d", "--service=s", "--service-version=v", "--control=127.0.0.1:1"}
	for _, c := range []struct {
		name  string
		args  []string
		names string
	}{
		{"unknown flag", []string{"toucan-gateway", "--frobnicate"}, "--frobnicate"},
		{"missing flag", []string{"toucan-gateway", "--id=g", "--domain=d"}, "--control"},
		{"stop delay", []string{"toucan-gateway", "--id=g", "--domain=d", "--control=127.0.0.1:1", "--stop-delay=1h"}, "--stop-delay"},
		{"host name", []string{"toucan-gateway", "--id=g", "--domain=d", "--control=127.0.0.1:1", "--listen=localhost:80"}, "--listen"},
		{"bad control address", []string{"toucan-gateway", "--id=g", "--domain=d", "--control=nowhere"}, "--control"},
		{"advertised without port", append(controlArgs, "--data=.", "--advertise=127.0.0.1:0"), "--advertise"},
		{"advertised everywhere", append(agentArgs, "--engine=http://127.0.0.1:9", "--dispatch-advertise=0.0.0.0:7400"), "--dispatch-advertise"},
		{"bad advertised address", []string{"toucan-gateway", "--id=g", "--domain=d", "--control=127.0.0.1:1", "--link-advertise=nowhere"}, "--link-advertise"},
		{"missing data folder", append(controlArgs, "--data=/nonexistent/folder"), "--data"},
		{"data is a file", append(controlArgs, "--data=settings_test.go"), "--data"},
		{"unreadable key", append(controlArgs, "--data=.", "--link-cert=none.pem", "--link-key=none.pem", "--link-ca=none.pem"), "--link-cert"},
		{"part of the keys", append(controlArgs, "--data=.", "--link-cert=none.pem"), "--link-cert"},
		{"engine is no URL", append(agentArgs, "--engine=127.0.0.1:9"), "--engine"},
		{"operator key missing", []string{"toucanctl", "--control=127.0.0.1:1", "domain", "drain", "lagos-a", "--operator=o", "--key=none.key"}, "none.key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := exec.Command(binary(c.args[0]), c.args[1:]...).CombinedOutput()
			var exit *exec.ExitError
			assert.Assert(t, errors.As(err, &exit), "%v %s", err, out)
			assert.Equal(t, exit.ExitCode(), 2, "%s", out)
			text := strings.TrimSpace(string(out))
			assert.Assert(t, strings.Contains(text, c.names), text)
			assert.Equal(t, strings.Count(text, "\n"), 0, text)
		})
	}
}

// Guards against a start that fails without saying which address was taken.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	address := l.Addr().String()
	for _, c := range []struct {
		args  []string
		names string
	}{
		{[]string{"toucan-gateway", "--id=g", "--domain=d", "--control=127.0.0.1:1", "--admin-listen=127.0.0.1:0", "--link-listen=127.0.0.1:0", "--listen=" + address}, "--listen"},
		{[]string{"toucan-gateway", "--id=g", "--domain=d", "--control=127.0.0.1:1", "--admin-listen=" + address}, "--admin-listen"},
		{[]string{"toucan-control", "--id=c", "--domain=d", "--data=" + t.TempDir(), "--members=" + address, "--admin-listen=127.0.0.1:0", "--listen=" + address}, "listen " + address},
	} {
		out, err := exec.Command(binary(c.args[0]), c.args[1:]...).CombinedOutput()
		var exit *exec.ExitError
		assert.Assert(t, errors.As(err, &exit), "%v %s", err, out)
		assert.Equal(t, exit.ExitCode(), 1, "%s", out)
		lines := strings.Split(strings.TrimSpace(string(out)), "\n")
		last := lines[len(lines)-1]
		assert.Assert(t, strings.Contains(last, c.names) && strings.Contains(last, "address already in use"), last)
	}
}
