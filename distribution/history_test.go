package distribution_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/uptime"
)

// Guards against processes that keep eight past configurations or directories of any size.
func TestKeptBasesAreBoundedInBytes(t *testing.T) {
	for size, deltas := range map[int]int{10: distribution.HistoryKept - 1, 2<<20 - 1000: 3, 9 << 20: 0} {
		h, large := distribution.NewHolder(nil), strings.Repeat("x", size)
		const newest = 12
		for i := uint64(1); i <= newest; i++ {
			_, err := h.Accept(&api.View{
				Config:    &contract.Parts{Revision: i, Bundle: contract.BundleRef{Name: large}},
				Directory: &api.Directory{Revision: i, Control: []string{large}},
			}, uptime.Now())
			assert.NilError(t, err)
		}
		for i := uint64(0); i < newest; i++ {
			v := h.Wait(&api.Subscribe{Revision: i, Directory: i}, nil)
			kept := i >= newest-uint64(deltas)
			assert.Assert(t, (v.ConfigDelta != nil) == kept && (v.Config == nil) == kept, "configuration %d of %d bytes", i, size)
			assert.Assert(t, (v.DirectoryDelta != nil) == kept && (v.Directory == nil) == kept, "directory %d of %d bytes", i, size)
		}
	}
}
