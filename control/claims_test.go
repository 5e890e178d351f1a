package control_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/dispatch"
)

// Guards against stored answers that grow until they fill the memory and the disks of all
// replicas: new keys are refused, those that are held are answered, also by the next leader.
func TestClaimsAreBoundedInBytes(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		const answerBytes = 100 << 10
		g := startGroupWith(t, &group{maxClaimBytes: 10 * answerBytes})
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		claim := func(i int) (*api.ClaimReply, error) {
			return c.Claim(t.Context(), &api.Claim{
				Account: "mill", Key: fmt.Sprint(i), TTL: 2 * time.Minute, Dispatch: dispatch.ID{Request: fmt.Sprint(i)},
			})
		}
		held := 0
		for ; held < 50; held++ {
			reply, err := claim(held)
			if err != nil {
				assert.ErrorContains(t, err, "no space for further Idempotency-Keys")
				break
			}
			assert.Equal(t, reply.State, api.ClaimGranted)
			assert.NilError(t, c.CompleteClaim(t.Context(), &api.CompleteClaim{
				Account: "mill", Key: fmt.Sprint(held), Dispatch: dispatch.ID{Request: fmt.Sprint(held)},
				State: api.ClaimDone, Answer: &dispatch.StoredAnswer{Status: 200, Body: make([]byte, answerBytes)},
			}))
		}
		assert.Equal(t, held, 10)
		g.stop(t, g.leader(t, c))
		time.Sleep(3 * time.Second)
		for i := range held {
			reply, err := claim(i)
			assert.NilError(t, err)
			assert.Equal(t, reply.State, api.ClaimDone)
		}
		_, err := claim(held)
		assert.ErrorContains(t, err, "no space for further Idempotency-Keys")
		time.Sleep(4 * time.Minute)
		_, err = claim(held)
		assert.NilError(t, err)
	})
}

// Guards against answers of claims that were granted below the bound and grow far beyond it: they
// are stored as too large.
func TestAnswersOfGrantedClaimsAreBounded(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		const answerBytes, claims = 100 << 10, 50
		g := startGroupWith(t, &group{maxClaimBytes: 10 * answerBytes})
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		claim := func(i int) *api.ClaimReply {
			reply, err := c.Claim(t.Context(), &api.Claim{
				Account: "mill", Key: fmt.Sprint(i), TTL: time.Hour, Dispatch: dispatch.ID{Request: fmt.Sprint(i)},
			})
			assert.NilError(t, err)
			return reply
		}
		for i := range claims {
			assert.Equal(t, claim(i).State, api.ClaimGranted)
		}
		for i := range claims {
			assert.NilError(t, c.CompleteClaim(t.Context(), &api.CompleteClaim{
				Account: "mill", Key: fmt.Sprint(i), Dispatch: dispatch.ID{Request: fmt.Sprint(i)},
				State: api.ClaimDone, Answer: &dispatch.StoredAnswer{Status: 200, Body: make([]byte, answerBytes)},
			}))
		}
		stored := 0
		for i := range claims {
			reply := claim(i)
			assert.Equal(t, reply.State, api.ClaimDone)
			assert.Equal(t, reply.Answer.TooLarge, len(reply.Answer.Body) == 0)
			stored += len(reply.Answer.Body)
		}
		assert.Assert(t, stored > 10*answerBytes && stored <= 20*answerBytes, "%d bytes", stored)
	})
}
