package schedule

import "toucantiller.dev/contract"

// PickVersion chooses a version by share. hash is uniform over its range and
// stable for a request. Without unprovenAllowed the shares of unproven versions
// go to the proven ones in proportion. It returns "" when no version may serve.
func PickVersion(shares []contract.VersionShare, unprovenAllowed bool, hash uint64) string {
	v, _ := pickVersion(shares, unprovenAllowed, hash)
	return v
}

func pickVersion(shares []contract.VersionShare, unprovenAllowed bool, hash uint64) (version string, unproven bool) {
	total := 0.0
	for i := range shares {
		if eligibleShare(&shares[i], unprovenAllowed) {
			total += shares[i].Share
		}
	}
	if total <= 0 {
		return firstProven(shares), false
	}
	// mix makes the draw independent of other uses of the same hash.
	at := float64(mix(hash)>>11) / (1 << 53) * total
	for i := range shares {
		s := &shares[i]
		if !eligibleShare(s, unprovenAllowed) {
			continue
		}
		version, unproven = s.Version, s.Unproven
		if at < s.Share {
			break
		}
		at -= s.Share
	}
	return version, unproven
}

func eligibleShare(s *contract.VersionShare, unprovenAllowed bool) bool {
	return s.Share > 0 && (unprovenAllowed || !s.Unproven)
}

// firstProven returns the first proven version, for a service whose only share belongs to an
// unproven version that may not receive traffic. The old version is still listed with share 0.
func firstProven(shares []contract.VersionShare) string {
	for i := range shares {
		if !shares[i].Unproven {
			return shares[i].Version
		}
	}
	return ""
}
