package control_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/control/state"
	"toucantiller.dev/distribution"
	"toucantiller.dev/link"
	"toucantiller.dev/uptime"
)

const limitedAccounts = 100

// limitedDocument has accounts with a token limit.
func limitedDocument(version uint64) *contract.Document {
	d := document(version)
	for i := range limitedAccounts {
		name := fmt.Sprintf("a%d", i)
		d.Accounts = append(d.Accounts, &account.Account{Name: name, KeyHashes: []string{account.HashKey(name)}, TokensPerSecond: 1e9, TokenBurst: 1e9})
	}
	return d
}

// Guards against a leader that changes the account index of a configuration while it reads the
// account's token limit there.
func TestTokenLimitsAreReadBesideChanges(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		network := link.NewMemory()
		s := newControl(t, network, control.Options{})
		time.Sleep(time.Second)
		assert.NilError(t, s.ApplyDocument(limitedDocument(1)))
		time.Sleep(time.Second)
		done := make(chan struct{})
		var readers sync.WaitGroup
		for range 4 {
			readers.Go(func() { drawUntil(t, network, s.Addr(), done) })
		}
		for version := uint64(2); version < 60; version++ {
			assert.NilError(t, s.ApplyDocument(limitedDocument(version)))
			assert.NilError(t, s.SetEvacuated("lagos-a", version%2 == 0))
			time.Sleep(time.Millisecond)
		}
		close(done)
		readers.Wait()
	})
}

// drawUntil draws tokens of all accounts in turn until done is closed.
func drawUntil(t *testing.T, network link.Network, address string, done <-chan struct{}) {
	c := control.NewClient(network, []string{address})
	defer c.Close()
	for i := 0; ; i = (i + 1) % limitedAccounts {
		select {
		case <-done:
			return
		default:
		}
		if _, err := c.DrawBudget(t.Context(), &api.DrawBudget{Account: fmt.Sprintf("a%d", i), Want: 1, Least: 1}); err != nil {
			t.Error(err)
			return
		}
		time.Sleep(10 * time.Microsecond)
	}
}

// Guards against a follower that restores a snapshot, becomes the leader and changes the account
// index of its configuration while that is read.
func TestRestoredConfigurationIsReadBesidePublishing(t *testing.T) {
	leader, follower, holder := state.New(), state.New(), distribution.NewHolder(nil)
	for version := uint64(1); version < 30; version++ {
		command, err := (&state.Command{ApplyDocument: limitedDocument(version)}).Encode()
		assert.NilError(t, err)
		leader.Apply(command)
		snapshot, err := leader.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, follower.Restore(snapshot))
		c := follower.Config()
		var reader sync.WaitGroup
		reader.Go(func() {
			for i := range limitedAccounts {
				if _, known := c.AccountByName(fmt.Sprintf("a%d", i)); !known {
					t.Errorf("account a%d is not known at revision %d", i, c.Revision)
				}
			}
		})
		_, err = holder.Accept(&api.View{Config: &c.Parts}, uptime.Now())
		assert.NilError(t, err)
		reader.Wait()
		assert.Equal(t, holder.Revision(), c.Revision)
	}
}
