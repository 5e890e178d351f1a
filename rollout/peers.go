package rollout

import (
	"fmt"
	"math"
	"slices"
)

const (
	// peerMargin is the logarithm of the slowdown of the other endpoints or domains from
	// which the one that stands out does not excuse the version. With 3 endpoints of a
	// speed that differs by 10%, the mean of two differs from the old ones by 10%, so a
	// good version beside a bad endpoint exceeds it by chance in 1 of 700 moves.
	peerMargin = 0.3
	// peerAnswers is the number of answers that this needs.
	peerAnswers = 100
	// doubtMargin and doubtAnswers are the same for staying at a small share.
	doubtMargin  = 0.15
	doubtAnswers = 30
)

// slowedWithout returns the mean residual of a measure over the new version's groups of a
// kind without group g, and its weight in answers.
func (j *Judge) slowedWithout(g, measure int, domains bool) (mean, n float64) {
	total := 0.0
	for i := range j.slowed {
		if i == g || j.isDomain[i] != domains {
			continue
		}
		e := j.slowed[i][measure]
		n += math.Min(e.n, effectMemory)
		total += math.Min(e.n, effectMemory) * e.mean
	}
	return total / math.Max(1, n), n
}

// peersSlower reports whether the groups of the same kind beside one that stands out are
// slower too, on the measure with the strongest evidence, and by how much over how many
// answers.
func (j *Judge) peersSlower(group groupName) (mean, n float64, slower bool) {
	own, known := j.groups[group]
	strongest := j.evidence(1)
	if !known || len(strongest) == 0 {
		return 0, 0, false
	}
	m := slices.Index(timeMeasures[:], strongest[0].Measure)
	if m < 0 {
		return 0, 0, false
	}
	mean, n = j.slowedWithout(own, m, group.isDomain)
	return mean, n, n >= peerAnswers && mean >= peerMargin
}

// peersCause states no chance of a false alarm: it would be that of the group that stands
// out, which may be bad beside a good version.
func (j *Judge) peersCause(group groupName, mean, n float64) string {
	return fmt.Sprintf("%s is worse than %s: %s; %s differs most, and the others are %.0f%% slower too, over %.0f answers",
		j.move.To, j.move.From, j.strongest(), group, (math.Exp(mean)-1)*100, n)
}

// doubtful reports whether the new version is slower on some measure whichever endpoint
// is left out. This is no proof, and only delays the shares at which a slow version would
// meet many requests.
func (j *Judge) doubtful() bool {
	for m := range timeMeasures {
		least, n := j.slowedWithout(-1, m, false)
		if n < doubtAnswers {
			continue
		}
		for g := range j.slowed {
			if mean, n := j.slowedWithout(g, m, false); !j.isDomain[g] && n >= doubtAnswers {
				least = math.Min(least, mean)
			}
		}
		if least >= doubtMargin {
			return true
		}
	}
	return false
}
