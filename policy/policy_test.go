package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a misspelt policy that stays in force while an experiment reports it as off.
func TestUnknownPolicyIsRefused(t *testing.T) {
	_, err := ParseOff([]string{"worth-order", "own-zone"})
	assert.ErrorContains(t, err, `unknown policy "own-zone"; known are returning-callers,worth-order`)
	_, err = ParseOff([]string{"own-domain", "own-domain"})
	assert.ErrorContains(t, err, "named twice")
}

func TestOffNamesWhatIsNotInForce(t *testing.T) {
	off, err := ParseOff([]string{"own-domain", " worth-order"})
	assert.NilError(t, err)
	assert.Assert(t, !off.InForce(WorthOrder) && !off.InForce(OwnDomain) && off.InForce(SpeedFilter))
	assert.Equal(t, off.String(), "worth-order,own-domain")
	assert.Assert(t, Off(nil).InForce(WorthOrder))
}
