package agent_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/agent"
	"toucantiller.dev/contract"
	"toucantiller.dev/endpoint"
	"toucantiller.dev/fake"
)

type noView struct{}

func (noView) Config() *contract.Config       { return nil }
func (noView) ObserveRevision(uint64, string) {}

func orderAgent(t *testing.T, engine endpoint.Engine, folder string, known uint64) *agent.Agent {
	a, err := agent.New(agent.Options{Engine: engine, View: noView{}, DataFolder: folder, Token: known})
	assert.NilError(t, err)
	return a
}

// Guards against an order of an earlier leader that reaches the engine after one of a later
// leader, also across a restart of the agent. The engine does not check the fencing token.
func TestStaleOrderIsRefused(t *testing.T) {
	ctx := context.Background()
	engine := &fake.Resumable{}
	folder := t.TempDir()
	a := orderAgent(t, engine, folder, 0)
	assert.NilError(t, a.Order(ctx, endpoint.Order{Token: 5, Action: "load_version"}))
	assert.ErrorIs(t, a.Order(ctx, endpoint.Order{Token: 4}), agent.ErrStaleToken)
	assert.NilError(t, a.Order(ctx, endpoint.Order{Token: 5}))

	a = orderAgent(t, engine, folder, 0)
	assert.ErrorIs(t, a.Order(ctx, endpoint.Order{Token: 4}), agent.ErrStaleToken)
	assert.Equal(t, a.HighestToken(), uint64(5))

	a = orderAgent(t, engine, "", 7)
	assert.ErrorIs(t, a.Order(ctx, endpoint.Order{Token: 6}), agent.ErrStaleToken)
	assert.DeepEqual(t, engine.Tokens(), []uint64{5, 5})
}

// Guards against an order that reaches the engine although its token could not be made
// durable.
func TestOrderNeedsDurableToken(t *testing.T) {
	engine := &fake.Resumable{}
	a := orderAgent(t, engine, t.TempDir()+"/missing", 0)
	assert.ErrorContains(t, a.Order(context.Background(), endpoint.Order{Token: 1}), "storing the fencing token")
	assert.Equal(t, len(engine.Tokens()), 0)
}
