package dev_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/dev"
)

// roundTimeout bounds one start, request and stop; they need far less.
const roundTimeout = time.Minute

// The ports lie below the ephemeral range of the system. They depend on the process ID, so that test
// processes that run concurrently rarely collide.
var (
	controlPort = 11000 + os.Getpid()%300*3
	callerPort  = 10000 + os.Getpid()%400*2
)

// Guards against a toucan-dev, the first command of the README, whose control replicas form no group
// or whose callers are not served, on an empty data folder and on a restart with the stored state.
func TestDeploymentServes(t *testing.T) {
	s := &dev.Settings{
		Listen: fmt.Sprintf("127.0.0.1:%d", callerPort), Control: controlPort, Data: t.TempDir(), Deployment: "weavers",
	}
	for range 2 {
		d, err := dev.New(s)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), roundTimeout)
		assert.NilError(t, d.Start(ctx))
		body := `{"model":"weft-lm","messages":[{"role":"user","content":"Does this label allow a hot wash?"}]}`
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Listen+"/v1/chat/completions", strings.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer demo-aba-mills")
		resp, err := http.DefaultTransport.RoundTrip(req)
		assert.NilError(t, err)
		answer, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK, string(answer))
		assert.NilError(t, d.Stop(ctx))
		cancel()
	}
}
