package program

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// Guards against one odd seed among the others: the file was not read at all, or processes dialed
// an address that does not exist. The others are followed, and there is one log line.
func TestOddSeedsAreLeftOut(t *testing.T) {
	file := filepath.Join(t.TempDir(), "seeds")
	logged := 0
	c := &Control{
		settings: &ControlSettings{SeedsFile: file, Members: []string{"10.0.0.9:1"}},
		logger:   log.LoggerFunc(func(...any) error { logged++; return nil }),
	}
	for _, odd := range []string{"x", "host:1", "10.0.0.3", "10.0.0.3:99999", "10.0.0.3:0", "0.0.0.0:1", "10.0.0.3:-1", "", strings.Repeat("[", 10_000)} {
		logged = 0
		assert.NilError(t, os.WriteFile(file, []byte("10.0.0.1:1,"+odd+",10.0.0.2:65535\n"), 0o600))
		for range 3 {
			assert.DeepEqual(t, c.seedAddresses(), []string{"10.0.0.1:1", "10.0.0.2:65535"})
		}
		assert.Equal(t, logged, 1, "%.20q", odd)
		assert.NilError(t, os.WriteFile(file, []byte("10.0.0.1:1"), 0o600))
		assert.DeepEqual(t, c.seedAddresses(), []string{"10.0.0.1:1"})
	}
	c.settings.MemberPort = 7
	assert.NilError(t, os.WriteFile(file, []byte("10.0.0.1:99999,nothing"), 0o600))
	assert.DeepEqual(t, c.seedAddresses(), []string{"10.0.0.1:7"})
	assert.NilError(t, os.WriteFile(file, []byte("nothing"), 0o600))
	assert.DeepEqual(t, c.seedAddresses(), []string{"10.0.0.9:7"})
}
