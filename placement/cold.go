package placement

import (
	"hash/fnv"
	"slices"
	"time"
)

// A cold upstream bears a few requests a second from all entries together. Load
// pattern: a failure domain comes back cold, or a service is released, while the
// other upstreams are saturated. What the cold ones bear must then be used, and the
// sum over all entries must hold, also for entries that are not in contact.

const (
	// coldLimitRatio is the ratio of the cold limit that is used where one entry sends
	// to a cold upstream. When that entry changes, two may do so within the same
	// second. Their sum then stays below the limit.
	coldLimitRatio = 0.4
	// manyEntries is the number of entries from which several of them share a cold
	// upstream. With as many, one entry alone gets too few requests to use it.
	manyEntries = 64
	// coldSenderRatio is the ratio of the mean number of entries that share a cold
	// upstream, with one request a second each, to the cold limit. The number is
	// binomially distributed. At a limit of 17 it exceeds the limit with a probability
	// below 0.00001.
	coldSenderRatio = 0.3
	// entryIndexLifetime is the time for which the entry's index among the entries
	// is valid after the leader reported it. The leader of many entries reports it once
	// in about a second.
	entryIndexLifetime = 1700 * time.Millisecond
	// coldWindowMargin is added to the one-second window of the cold limit, because
	// requests may bunch up on the network by as much.
	coldWindowMargin = 100 * time.Millisecond
)

// maySendToCold reports whether this entry may send a request to a cold upstream.
// Without a valid index among the entries, it may not.
func (s *State) maySendToCold(now time.Time, u *Upstream) bool {
	if s.EntryCount == 0 || now.Sub(s.ControlContactAt) > entryIndexLifetime {
		return false
	}
	limit := s.Services[u.Info.Service].ColdRate*s.Config.ColdFactor + s.Config.ColdSlack
	allowed := 0
	switch {
	case s.EntryCount >= manyEntries:
		if s.sharesColdUpstream(u, limit) {
			allowed = 1
		}
	case s.ownsColdUpstream(u):
		allowed = int(coldLimitRatio * limit)
	}
	if allowed == 0 {
		return false
	}
	u.coldSent = slices.DeleteFunc(u.coldSent, func(t time.Time) bool { return now.Sub(t) > time.Second+coldWindowMargin })
	return len(u.coldSent) < allowed
}

// ownsColdUpstream reports whether this is the one entry that a hash of the
// upstream's id selects.
func (s *State) ownsColdUpstream(u *Upstream) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(u.Info.ID))
	return int(h.Sum32())%s.EntryCount == s.EntryIndex
}

// sharesColdUpstream reports whether this is one of the entries of the upstream's
// failure domain that a hash of both selects. A selection by names changes little when
// entries join or leave, whereas their indexes all shift.
func (s *State) sharesColdUpstream(u *Upstream, limit float64) bool {
	if u.Info.Domain != s.Config.Domain {
		return false
	}
	entriesInDomain := float64(s.EntryCount) / float64(max(1, s.domainCount))
	return float64(s.hashRank(u)>>1)/(1<<63) < coldSenderRatio*limit/entriesInDomain
}
