package scenario

import (
	"fmt"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, sc := range scenarios() {
		for _, naive := range []bool{false, true} {
			begin := time.Now()
			r := sc.run(1, naive)
			bear := capacity(sc.speeds, &sc.load) * measuredTime.Seconds()
			fmt.Printf("%-14s naive=%-5v good %.3f %.3f %.3f long %d/%d goodput/cap %.2f wasted %.3f (%.0f) ref %v lost %v dbl %d false %d inv %d cold %d early %d ttft %v %v %v [%v]\n",
				sc.name, naive, r.goodShare(0), r.goodShare(1), r.goodShare(2), r.LongGood, r.LongOffered, float64(r.GoodInTime)/bear,
				r.wastedShare(), r.prefillWasted, r.Refused, r.Lost, r.DoubleRuns, r.FalseNotRun, r.TierInversions, r.ColdOver, r.EarlyShed,
				r.quantile(50).Round(time.Millisecond), r.quantile(95).Round(time.Millisecond), r.quantile(99).Round(time.Millisecond), time.Since(begin).Round(time.Millisecond))
		}
	}
}
