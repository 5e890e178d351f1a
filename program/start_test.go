package program

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// slowProcess takes a while to start, as a replica does that loads its log from a slow disk.
type slowProcess struct{ started bool }

func (p *slowProcess) Start(context.Context) error {
	time.Sleep(20 * time.Second)
	p.started = true
	return nil
}

func (p *slowProcess) Stop(context.Context) error { return nil }

// Guards against a program that ends because its start takes long, so that every restart loads the
// same log from the same disk and ends as well.
func TestSlowStartIsNoFailure(t *testing.T) {
	p := &slowProcess{}
	common := &Common{ID: "control-0", Domain: "lagos-a", StopTimeout: time.Minute}
	build := func(struct{}, link.Network, kitlog.Logger) (*slowProcess, error) { return p, nil }
	app := fx.New(fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }), Module(struct{}{}, common, build))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), app.StartTimeout())
		defer cancel()
		err := app.Start(ctx) // as runApp does
		time.Sleep(20 * time.Second)
		assert.NilError(t, app.Stop(t.Context()))
		assert.NilError(t, err)
		assert.Assert(t, p.started)
	})
}
