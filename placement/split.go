package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/rollout"
)

// While a new version of a service is rolled out, a share of the requests goes to its
// upstreams, and the others to those of the versions in use. Load pattern: the new version
// may be bad, so its share must hold over all entries; and it may be as large as the other
// one, cold, or saturated, so a request that it can't take soon must go to the other.

const (
	// maxTrialWait limits the time for which a request waits for an upstream of the new
	// version. It spans the rounds of a probe sweep.
	maxTrialWait = 60 * time.Millisecond
	// judgeAloneAfter is the age of the leader's last report from which an entry judges the
	// new version by its own counts. It is longer than a change of the leader takes.
	judgeAloneAfter = 3 * time.Second
	// trialQueueSuffix distinguishes the queue of the requests that wait for the new version.
	// No name of a service contains it.
	trialQueueSuffix = "\x00trial"
)

// trial is what an entry has of a running roll-out.
type trial struct {
	split rollout.Split
	// upstreams are those of the target, in an order that is the same at all entries.
	upstreams []*Upstream
	// unreported holds the counts since the last report, and total all counts.
	unreported, total *rollout.Counter
	// halted is true once this entry has judged alone that the target is worse.
	halted bool
}

// setSplits replaces the splits. The counts of roll-outs that go on are kept.
func (s *State) setSplits(splits []rollout.Split) {
	s.splits = map[string]rollout.Split{}
	former := s.trials
	s.trials = map[string]*trial{}
	for _, split := range splits {
		s.splits[split.Service] = split
		if split.ID == 0 {
			continue
		}
		t := former[split.Service]
		if t == nil || t.split.ID != split.ID {
			t = &trial{unreported: rollout.NewCounter(), total: rollout.NewCounter()}
		}
		t.split = split
		s.trials[split.Service] = t
	}
}

// splitByVersion returns the upstreams of a service that ordinary requests may use, and
// stores those of the target of a roll-out. All are used if no other one is alive.
func (s *State) splitByVersion(service string, list []*Upstream) []*Upstream {
	split, restricted := s.splits[service]
	t := s.trials[service]
	if t != nil {
		t.upstreams = nil
	}
	if !restricted {
		return list
	}
	var ordinary, tried []*Upstream
	alive := false
	for _, u := range list {
		switch split.UseOf(u.Info.Version).(type) {
		case rollout.Ordinary:
			ordinary = append(ordinary, u)
			alive = alive || !u.Info.Draining && !u.leaving
		case rollout.Trial:
			tried = append(tried, u)
		case rollout.Held:
		}
	}
	if !alive {
		return list
	}
	if t != nil {
		slices.SortFunc(tried, func(a, b *Upstream) int {
			return cmp.Or(cmp.Compare(sharedHash(a.Info.ID), sharedHash(b.Info.ID)), cmp.Compare(a.Info.ID, b.Info.ID))
		})
		s.assignSubsets(slices.Clone(tried))
		t.upstreams = tried
	}
	return ordinary
}

// sharedHash returns a number that is the same at all entries.
func sharedHash(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// drawTrial decides whether a request goes to the target of a roll-out.
func (s *State) drawTrial(now time.Time, r Request) bool {
	t := s.trials[r.Service]
	if t == nil || t.halted {
		return false
	}
	share := t.split.ShareOf(r.Route.Name)
	return share > 0 && s.random.Float64() < share && len(s.trialUpstreams(now, r.Service)) > 0
}

// trialUpstreams returns the upstreams that requests for the target may use: a few warm
// ones for a part of the requests, and all for all requests.
func (s *State) trialUpstreams(now time.Time, service string) []*Upstream {
	t := s.trials[service]
	if t == nil || t.split.Share >= 1 {
		return s.allTried(t)
	}
	var warm []*Upstream
	for _, u := range t.upstreams {
		if !now.Before(u.ColdUntil) && !u.Info.Draining && !u.leaving {
			warm = append(warm, u)
		}
	}
	return warm[:t.split.TrialUpstreams(len(warm))]
}

func (s *State) allTried(t *trial) []*Upstream {
	if t == nil {
		return nil
	}
	return t.upstreams
}

// candidates returns the upstreams that the requests of a queue may use.
func (s *State) candidates(now time.Time, service string, trial bool) []*Upstream {
	if trial {
		return s.trialUpstreams(now, service)
	}
	return s.byService[service]
}

// leaveTrial makes a request an ordinary one, and places it anew.
func (s *State) leaveTrial(now time.Time, pending *pendingRequest) {
	s.dequeue(pending)
	pending.trial = false
	s.place(now, pending)
}

// queueOf returns the queue in which a request waits.
func (s *State) queueOf(pending *pendingRequest) *waitQueue {
	if !pending.trial {
		return s.queue(pending.request.Service)
	}
	key := pending.request.Service + trialQueueSuffix
	q := s.queues[key]
	if q == nil {
		q = newWaitQueue(pending.request.Service)
		q.trial = true
		s.queues[key] = q
	}
	return q
}

// queuesOf returns the queues of the requests that may use an upstream of a service.
func (s *State) queuesOf(service string) []*waitQueue {
	queues := []*waitQueue{s.queue(service)}
	if q := s.queues[service+trialQueueSuffix]; q != nil {
		queues = append(queues, q)
	}
	return queues
}

// countSent counts a request that is sent while a roll-out of its service runs, and returns
// the key under which its end is counted.
func (s *State) countSent(pending *pendingRequest, u *Upstream) (key rollout.ItemKey, counts bool) {
	t := s.trials[pending.request.Service]
	if t == nil {
		return rollout.ItemKey{}, false
	}
	key.Route = pending.request.Route.Name
	if u.Info.Version == t.split.Target {
		key.Upstream = u.Info.ID
	}
	t.unreported.Sent(key)
	t.total.Sent(key)
	return key, true
}

// countEnd counts the end of an attempt. An attempt that was not run, and one that was
// canceled earlier than its response was expected, say nothing about the version.
func (s *State) countEnd(now time.Time, service string, a *attempt, o Outcome) {
	t := s.trials[service]
	if t == nil || !a.counts {
		return
	}
	failed := false
	switch o := o.(type) {
	case Answered:
		failed = o.Failed
	case NotRun:
		if o.Reason != ReasonCanceled || now.Sub(a.startedAt) < a.expected {
			return
		}
	case Unknown:
		failed = o.Reason != ReasonCanceled
		if !failed && now.Sub(a.startedAt) < a.expected {
			return
		}
	}
	t.unreported.Ended(a.key, failed, now.Sub(a.startedAt))
	t.total.Ended(a.key, failed, now.Sub(a.startedAt))
	if a.key.Upstream != "" && !t.halted && now.Sub(s.ControlContactAt) > judgeAloneAfter {
		t.halted = t.total.Examine().Worse()
	}
}

// TakeCounts returns what was counted in the running roll-outs since the last call.
func (s *State) TakeCounts() []rollout.Report {
	var reports []rollout.Report
	for _, t := range s.trials {
		items := t.unreported.Take()
		if len(items) > 0 || t.split.Halted {
			reports = append(reports, rollout.Report{ID: t.split.ID, Halted: t.split.Halted, Items: items})
		}
	}
	slices.SortFunc(reports, func(a, b rollout.Report) int { return cmp.Compare(a.ID, b.ID) })
	return reports
}
