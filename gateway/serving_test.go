package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
)

// changingView is the view of a process that learns of a newer configuration while a request asks
// for permission: the old one is too old to serve on, the new one is not.
type changingView struct {
	fixedView
	config *contract.Config
}

func (v *changingView) Config() *contract.Config { return v.config }

func (v *changingView) MayServe(time.Time) bool {
	v.config = contract.NewConfig(contract.Parts{Revision: 2})
	return true
}

// Guards against a request that is judged by a configuration read before the one that the
// permission to serve is about, for example with a key that was revoked meanwhile.
func TestPermissionCoversTheConfigurationUsed(t *testing.T) {
	g := &Gateway{opt: Options{View: &changingView{config: contract.NewConfig(contract.Parts{Revision: 1})}}}
	assert.Equal(t, g.servingConfig(time.Now()).Revision, uint64(2))
}
