// Package rollout decides on the roll-out of a new version of a service: which share of
// the service's requests the new version gets, and whether it is completed or rolled back.
//
// The leader of the control instances has a [Judge] for each running roll-out. Entries
// count what they sent to both versions in a [Counter], and send the counts with their
// watches. The leader publishes a [Split] for each service, by which entries choose the
// version of a request. A disconnected entry rolls back by its own counts.
//
// A judge tries the new version with a small share of the requests, on as few of its
// upstreams as that share stands for, so that each of them has the load that it will have
// after the roll-out. Shortly before the deadline it raises the share to half of the
// requests, then to all, and then completes the roll-out. It rolls back as soon as the new
// version is worse than the other one on the same routes beyond chance. The package is part
// of the core.
//
// # Usage
//
//	j := rollout.NewJudge(terms, order)
//	j.Add(now, report)
//	switch d := j.Step(now, fleet).(type) { ... }
package rollout

import (
	"slices"
	"time"
)

// Terms are the limits on all roll-outs.
type Terms struct {
	// ExposureShare and ExposureSlack limit the requests that a bad version may get: the
	// share of the requests of the service between the order and the deadline, plus the
	// slack.
	ExposureShare float64
	ExposureSlack float64
	// RollBack is the time after the fiftieth bad response from which the version gets no
	// more requests.
	RollBack time.Duration
}

// The terms of a deployment whose settings name none.
const (
	DefaultExposureShare = 0.1
	DefaultExposureSlack = 50
	DefaultRollBack      = 5 * time.Second
)

// OrDefaults returns the terms with the defaults for those that are zero.
func (t Terms) OrDefaults() Terms {
	if t.ExposureShare <= 0 {
		t.ExposureShare, t.ExposureSlack = DefaultExposureShare, DefaultExposureSlack
	}
	if t.RollBack <= 0 {
		t.RollBack = DefaultRollBack
	}
	return t
}

// Order is an operator's order to roll out a version.
type Order struct {
	// ID is the log index of the order.
	ID      uint64
	Service string
	Target  string
	// OrderedAt is the time of the order, and Deadline the time by which a good version
	// must be completed.
	OrderedAt, Deadline time.Time
}

// Fleet is what the leader knows of the upstreams of a service in a roll-out.
type Fleet struct {
	// Warm and WarmSlots count the upstreams of the new version that are warm and do not
	// drain, and their slots. Cold counts those that are still cold.
	Warm, WarmSlots, Cold int
	// Others and OtherSlots count the upstreams of all other versions that do not drain.
	Others, OtherSlots int
}

// Split says which upstreams of a service an entry may use.
type Split struct {
	Service string `json:"service"`
	// InUse holds the versions that are in use. It is empty if all are.
	InUse []string `json:"in_use,omitempty"`
	// Target is the version that is being rolled out, or was rolled back.
	Target string `json:"target,omitempty"`
	// ID is the log index of the order of a running roll-out, and zero if none runs.
	ID uint64 `json:"id,omitempty"`
	// Share is the share of the requests that the target gets, and RouteShares replaces it
	// for some routes.
	Share       float64            `json:"share,omitempty"`
	RouteShares map[string]float64 `json:"route_shares,omitempty"`
	// Halted is true once the leader has decided to roll back, before that is committed.
	Halted bool `json:"halted,omitempty"`
}

// Use says for which requests an upstream may be used.
//
//sumtype:decl
type Use interface{ use() }

// Ordinary upstreams may get all requests but those that the split selects for the target.
type Ordinary struct{}

// Trial upstreams run the target of a running roll-out.
type Trial struct{}

// Held upstreams run a version that is not in use. They get no requests while others that
// are in use are alive.
type Held struct{}

func (Ordinary) use() {}
func (Trial) use()    {}
func (Held) use()     {}

// UseOf returns the use of the upstreams with a version. An upstream that names no version
// is never held.
func (s Split) UseOf(version string) Use {
	switch {
	case version == "":
		return Ordinary{}
	case version == s.Target && s.ID != 0:
		return Trial{}
	case version == s.Target, len(s.InUse) > 0 && !slices.Contains(s.InUse, version):
		return Held{}
	}
	return Ordinary{}
}

// ShareOf returns the share of the requests of a route that the target gets.
func (s Split) ShareOf(route string) float64 {
	if s.ID == 0 || s.Halted {
		return 0
	}
	if share, ok := s.RouteShares[route]; ok {
		return share
	}
	return s.Share
}

const (
	// trialDensity is how many times more requests an upstream in a trial gets than it
	// will get after the roll-out. A version that fails under load only shows it then.
	trialDensity = 1.25
	// minTrialUpstreams is the smallest number of upstreams in a trial. With fewer, a
	// single slow machine could not be distinguished from a slow version.
	minTrialUpstreams = 4
)

// TrialUpstreams returns how many of the warm upstreams of the target get its share.
func (s Split) TrialUpstreams(warm int) int {
	return min(warm, max(minTrialUpstreams, int(s.Share*float64(warm)/trialDensity)+1))
}
