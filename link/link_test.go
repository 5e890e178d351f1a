package link_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

type echo struct{}

func (echo) Echo(in *string, out *string) error {
	*out = *in
	return nil
}

// Wait returns after an hour.
func (echo) Wait(_ *string, _ *string) error {
	time.Sleep(time.Hour)
	return nil
}

func (echo) Fail(_ *string, _ *string) error { return errors.New("refused by the method") }

// serveEcho starts a server with the echo service until the test ends and returns its address.
func serveEcho(t *testing.T, network link.Network) string {
	l, err := network.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := link.NewServer()
	assert.NilError(t, s.Register("Echo", echo{}))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

func call(c *link.Client, method string) (string, error) {
	in, out := "hello", ""
	err := c.Call(context.Background(), method, &in, &out)
	return out, err
}

// Guards against calls that block forever on a connection that is open but delivers nothing,
// while new connections would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := link.NewMemory()
		l, err := network.Listen("peer")
		assert.NilError(t, err)
		s := link.NewServer()
		assert.NilError(t, s.Register("Echo", echo{}))
		go func() { _ = s.Serve(l) }()
		c := link.NewClient(network, "peer")
		out, err := call(c, "Echo.Echo")
		assert.NilError(t, err)
		assert.Equal(t, out, "hello")

		network.SetFault("peer", link.FaultSilence)
		begin := time.Now()
		_, err = call(c, "Echo.Echo")
		var linkErr *link.Error
		assert.Assert(t, errors.As(err, &linkErr), "%v", err)
		assert.Equal(t, linkErr.Peer, "peer")
		assert.Assert(t, time.Since(begin) <= 2*time.Second, "took %s", time.Since(begin))

		out, err = call(c, "Echo.Echo")
		assert.NilError(t, err)
		assert.Equal(t, out, "hello")
		c.Close()
		_ = l.Close()
		s.Close()

	})
}

// pingCountingNetwork counts the probes that are written to the connections it dials.
type pingCountingNetwork struct {
	*link.Memory
	pings atomic.Int64
}

func (n *pingCountingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.Memory.Dial(ctx, addr)
	return pingCountingConn{c, n}, err
}

type pingCountingConn struct {
	net.Conn
	network *pingCountingNetwork
}

func (c pingCountingConn) Write(p []byte) (int, error) {
	c.network.pings.Add(int64(bytes.Count(p, []byte("Link.Ping"))))
	return c.Conn.Write(p)
}

// Guards against probes on a connection whose replies already show that it is alive: they
// would cost a relay two probes a second for each child.
func TestRepliesReplaceProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pingCountingNetwork{Memory: link.NewMemory()}
		c := link.NewClient(network, serveEcho(t, network))
		t.Cleanup(c.Close)
		for range 10 {
			_, err := call(c, "Echo.Echo")
			assert.NilError(t, err)
			time.Sleep(link.ProbeInterval)
		}
		assert.Equal(t, network.pings.Load(), int64(0))
	})
}

// Guards against a slow method being treated as a silent connection, and against calls that
// do not return at their deadline.
func TestDeadlineOfSlowMethod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := link.NewMemory()
		l, err := network.Listen("peer")
		assert.NilError(t, err)
		s := link.NewServer()
		assert.NilError(t, s.Register("Echo", echo{}))
		go func() { _ = s.Serve(l) }()
		c := link.NewClient(network, "peer")
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		in, out := "", ""
		begin := time.Now()
		err = c.Call(ctx, "Echo.Wait", &in, &out)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(begin), 10*time.Second)
		c.Close()
		_ = l.Close()
		s.Close()
		time.Sleep(2 * time.Hour)
	})
}

// Guards against an error returned by the method being reported as a *link.Error, which would
// make callers try another peer.
func TestMethodErrorKeepsConnection(t *testing.T) {
	c := link.NewClient(link.TCP{}, serveEcho(t, link.TCP{}))
	defer c.Close()
	_, err := call(c, "Echo.Fail")
	assert.Error(t, err, "refused by the method")
	var linkErr *link.Error
	assert.Assert(t, !errors.As(err, &linkErr))
}

// Guards against the error of a refused connection not naming its step and peer.
func TestRefusedDialNamesPeer(t *testing.T) {
	_, err := call(link.NewClient(link.NewMemory(), "nobody"), "Echo.Echo")
	assert.ErrorContains(t, err, "dial nobody")
	assert.ErrorIs(t, err, link.ErrRefused)
}

// newDeploymentTLS returns the TLS configuration of a new deployment: a self-signed certificate
// for 127.0.0.1 that is also the only trusted authority.
func newDeploymentTLS(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "deployment"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, MinVersion: tls.VersionTLS13,
	}
}

// Guards against a server that accepts a client without a certificate of the deployment, and
// against HTTP/2 not working over mutual TLS.
func TestMutualTLS(t *testing.T) {
	network := link.TLS{Inner: link.TCP{}, Config: newDeploymentTLS(t)}
	l, err := network.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := link.NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	address := l.Addr().String()

	resp, err := link.NewHTTPClient(network, address).Post("http://"+address, "text/plain", strings.NewReader("x"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "HTTP/2.0")

	foreign := link.TLS{Inner: link.TCP{}, Config: newDeploymentTLS(t)}
	_, err = link.NewHTTPClient(foreign, address).Get("http://" + address)
	assert.Assert(t, err != nil)
	_, err = link.NewHTTPClient(link.TCP{}, address).Get("http://" + address)
	assert.Assert(t, err != nil)
}
