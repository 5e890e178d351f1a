package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// peerMargin is the logarithm of a slowdown. If the endpoints or domains other than the
	// one that differs most are slower by at least this, the version is bad and not just that
	// one. With 3 endpoints whose speed differs by 10%, the mean of two differs from the
	// old ones by 10%, so a good version with one bad endpoint exceeds the margin by chance in
	// 1 of 700 moves.
	peerMargin = 0.3
	// minPeerAnswers is the number of answers needed to apply peerMargin.
	minPeerAnswers = 100
	// likelySlowerMargin and minLikelySlowerAnswers are the same for staying at a small share.
	likelySlowerMargin     = 0.15
	minLikelySlowerAnswers = 30
)

// meanSlowdownWithout returns the mean residual of a measure over the new version's domains or
// endpoints without group g, and its weight in answers.
func (j *Judge) meanSlowdownWithout(g, measure int, domains bool) (mean, n float64) {
	total := 0.0
	for i := range j.slowdowns {
		if i == g || j.isDomain[i] != domains {
			continue
		}
		e := j.slowdowns[i][measure]
		n += math.Min(e.n, effectMemory)
		total += math.Min(e.n, effectMemory) * e.mean
	}
	return total / math.Max(1, n), n
}

// peersAlsoSlower reports whether the other groups of the same kind as the one that differs
// most are slower too, on the measure with the strongest evidence. It returns their mean
// residual and its weight in answers.
func (j *Judge) peersAlsoSlower(group groupName) (mean, n float64, slower bool) {
	own, known := j.groups[group]
	strongest := j.evidence(1)
	if !known || len(strongest) == 0 {
		return 0, 0, false
	}
	m := slices.Index(latencyMeasures[:], strongest[0].Measure)
	if m < 0 {
		return 0, 0, false
	}
	mean, n = j.meanSlowdownWithout(own, m, group.isDomain)
	return mean, n, n >= minPeerAnswers && mean >= peerMargin
}

// peersCause gives no chance of a false alarm: it would be that of the group that differs
// most, which may be bad although the version is good.
func (j *Judge) peersCause(group groupName, mean, n float64) string {
	return fmt.Sprintf("%s is worse than %s: %s; %s differs most, and the others are %.0f%% slower too, over %.0f answers",
		j.move.To, j.move.From, j.describeStrongest(), group, (math.Exp(mean)-1)*100, n)
}

// likelySlower reports whether the new version is slower on some measure whichever endpoint
// is left out. This is no proof, and only delays the shares at which a slow version would
// answer many requests.
func (j *Judge) likelySlower() bool {
	for m := range latencyMeasures {
		least, n := j.meanSlowdownWithout(-1, m, false)
		if n < minLikelySlowerAnswers {
			continue
		}
		for g := range j.slowdowns {
			if mean, n := j.meanSlowdownWithout(g, m, false); !j.isDomain[g] && n >= minLikelySlowerAnswers {
				least = math.Min(least, mean)
			}
		}
		if least >= likelySlowerMargin {
			return true
		}
	}
	return false
}
