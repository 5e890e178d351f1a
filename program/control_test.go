package program

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	kitlog "github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"toucantiller.dev/link"
)

// startControl starts a control replica that is its own group.
func startControl(t *testing.T, folder string, logger kitlog.Logger) *Control {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	var s ControlSettings
	parser, err := kong.New(&s, kong.Vars{"version": "1"})
	assert.NilError(t, err)
	_, err = parser.Parse([]string{"--id=c", "--domain=d", "--data=" + folder, "--listen=" + address, "--members=" + address, "--admin-listen=127.0.0.1:0"})
	assert.NilError(t, err)
	c, err := NewControl(&s, link.TCP{}, logger)
	assert.NilError(t, err)
	assert.NilError(t, c.Start(t.Context()))
	return c
}

// Guards against a replica whose memory, log and elections cannot be watched.
func TestControlHasMetricsOfMemoryLogAndElections(t *testing.T) {
	c := startControl(t, t.TempDir(), kitlog.NewNopLogger())
	defer func() { assert.NilError(t, c.Stop(t.Context())) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + c.admin.Address() + "/metrics")
		assert.NilError(t, err)
		defer resp.Body.Close()
		content, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		for _, name := range []string{"process_resident_memory_bytes ", "control_log_disk_bytes{", "control_elections_total{"} {
			_, rest, ok := strings.Cut(string(content), "\n"+name)
			line, _, _ := strings.Cut(rest, "\n")
			if !ok || strings.HasSuffix(line, " 0") {
				return poll.Continue("%s is %q", name, line)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// Guards against a replica that ends without a word of it in the log of the next process.
func TestControlLogsHowThePreviousProcessEnded(t *testing.T) {
	folder := t.TempDir()
	var out bytes.Buffer
	for range 2 {
		c := startControl(t, folder, kitlog.NewLogfmtLogger(kitlog.NewSyncWriter(&out)))
		assert.NilError(t, c.Stop(t.Context()))
	}
	line := `msg="previous run" end=stopped err= pid=`
	assert.Equal(t, strings.Count(out.String(), line), 1, out.String())
	_, rest, _ := strings.Cut(out.String(), line)
	assert.Assert(t, !strings.Contains(rest[:strings.IndexByte(rest, '\n')], "log_bytes=0 "), rest)
}
