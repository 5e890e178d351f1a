package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/account"
)

// Guards against shares that ignore token limits where no weight is set, or a weight that is set.
func TestShareWeights(t *testing.T) {
	small := &account.Account{Name: "small", TokensPerSecond: 3000}
	large := &account.Account{Name: "large", TokensPerSecond: 9000}
	weighted := &account.Account{Name: "weighted", Weight: 2, TokensPerSecond: 9000}
	unlimited := &account.Account{Name: "unlimited"}
	mean := meanTokenLimit([]*account.Account{small, large, unlimited})
	assert.Equal(t, mean, 6000.0)
	assert.Equal(t, shareWeight(large, mean), 3*shareWeight(small, mean))
	assert.Equal(t, shareWeight(weighted, mean), 2.0)
	assert.Equal(t, shareWeight(unlimited, mean), mean)
	assert.Equal(t, shareWeight(unlimited, 0), 1.0)
}
