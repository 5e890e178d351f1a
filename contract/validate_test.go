package contract_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
)

var now = time.Date(2031, 5, 4, 12, 0, 0, 0, time.UTC)

// Guards against example bundles that cannot be applied, and against Validate accepting a
// bundle that ParseBundle rejects.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 8)
	for _, f := range files {
		content, err := os.ReadFile(f)
		assert.NilError(t, err)
		assert.Equal(t, len(contract.Validate(content, now)), 0, "%s: %v", f, contract.Validate(content, now))
		b, err := contract.ParseBundle(content)
		assert.NilError(t, err)
		assert.Equal(t, len(b.Accounts), 5)
	}
}
