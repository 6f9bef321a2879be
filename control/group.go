package control

import (
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/search"
)

// noticeInterval is the interval between two notices of the leader to the seeds.
const noticeInterval = joinInterval

// learnGroup takes what the leader says of the voter group, unless something newer is
// known.
func (t *task) learnGroup(g peer.Group) {
	newer := g.Term > t.group.Term || g.Term == t.group.Term && g.Index >= t.group.Index
	if newer && g.Leader != "" {
		t.group = g
	}
}

// currentGroup describes the voter group that this instance leads. A membership that is
// not committed may never come into force.
func (t *task) currentGroup() peer.Group {
	members, index := t.replica.CommittedMembers()
	return peer.Group{Term: t.replica.Term, Leader: t.settings.IP, Members: replicasOf(members), Index: index}
}

func replicasOf(m replica.Members) []string { return append(slices.Clone(m.Voters), m.Learners...) }

// isListed reports whether the log of this instance lists it as a voter or a learner.
func (t *task) isListed() bool { return slices.Contains(replicasOf(t.replica.Members), t.id()) }

// isMember reports whether this instance gets the log, as a voter or as a learner. An
// instance that was removed while it was cut off still has the old members in its log,
// and learns of its removal from the leader only. What the leader said before this
// instance was added, which is then in its log, does not count.
func (t *task) isMember() bool {
	removed := t.group.Index > t.replica.MembersIndex() && !slices.Contains(t.group.Members, t.id())
	return t.isListed() && (t.replica.Leader != "" || !removed)
}

// leaderInstance returns the instance of the leader, or an empty string if it is not
// known. An instance outside the voter group knows it from the leader's notices.
func (t *task) leaderInstance() string {
	if t.replica.Leader != "" || t.isMember() {
		return replica.InstanceOf(t.replica.Leader)
	}
	return t.group.Leader
}

// knownInstances returns the other instances that belong to the voter group, or belonged
// to it when this instance last heard of it.
func (t *task) knownInstances() []string {
	var known []string
	for _, id := range append(replicasOf(t.replica.Members), t.group.Members...) {
		instance := replica.InstanceOf(id)
		if instance != t.settings.IP && !slices.Contains(known, instance) {
			known = append(known, instance)
		}
	}
	return known
}

// notLeaderError names the leader, or else the instances that may know it.
func (t *task) notLeaderError() error {
	refused := &peer.RefusedError{Code: peer.CodeNotLeader, Reason: "not the leader", Leader: t.leaderInstance()}
	if refused.Leader == "" {
		refused.Members = t.knownInstances()
	}
	return refused
}

// notifySeeds tells the seeds of the voter group. Without it, seeds that have lost their
// disks could never find the group, and neither could those that know only the seeds.
func (t *task) notifySeeds(now time.Time) {
	if !t.leads() || now.Before(t.noticeAt) {
		return
	}
	t.noticeAt = now.Add(noticeInterval)
	for _, s := range t.seeds {
		if s.Name != t.settings.IP {
			t.pool.Notify(s.Address, peer.GroupNotice{Group: t.currentGroup()})
		}
	}
}

func namesOf(instances []search.Instance) []string {
	var names []string
	for _, i := range instances {
		names = append(names, i.Name)
	}
	return names
}

// replaceSeeds takes the seeds of changed settings. The initial voters stay those of the
// first settings.
func (t *task) replaceSeeds(seeds []search.Instance) {
	t.seeds = seeds
	t.leaderClient.SetInstances(seeds)
}
