// Package search decides which control instance to ask next for the leader.
//
// The settings of an instance name a few others, which may have left the voter group
// since: they were replaced while they were cut off, or lost their disks. An instance
// that refuses a request therefore names the instances that it knows, and the search
// goes on among these. The package is part of the core and does no input or output.
//
// # Usage
//
//	s := search.New(configured)
//	for !answered {
//		outcome := ask(s.Presumed)
//		s.Next(s.Presumed, outcome)
//	}
package search

import "slices"

// Instance is a control instance and the address (IP:port) at which it accepts messages
// of other instances.
type Instance struct {
	Name    string
	Address string
}

// Outcome is the outcome of a request that the presumed leader did not serve.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Refused means that the instance is not the leader. It may name the leader and the
// members of the voter group, as far as it knows them.
type Refused struct {
	Leader  string
	Members []string
}

// Unreachable means that the instance did not answer in time.
type Unreachable struct{}

func (Refused) outcome()     {}
func (Unreachable) outcome() {}

// maxReferred limits the instances that are known from answers only. It is several
// times the number of voters, so that answers about two groups of members, an old one
// and the present one, fit in.
const maxReferred = 24

// State is the state of the search. It is owned by one task.
type State struct {
	// Configured are the instances from the settings, and from the newest view.
	Configured []Instance
	// Referred are the instances that others have named, the newest last.
	Referred []Instance
	// Presumed is the address to ask: the last known leader, or the next candidate.
	Presumed string
	// Locate returns the address of an instance that is not configured. It is nil
	// when an address can't be derived from the name of an instance.
	Locate func(name string) string
	// rotation is the last candidate that was asked in turn, and not because another
	// instance named it as the leader.
	rotation string
	// hops counts the named leaders that were asked since.
	hops int
}

// maxHops limits how often the named leader is asked before the turn goes on: instances
// that name each other must not keep the others from being asked.
const maxHops = 3

// New returns a search that begins at the first configured instance. The list must not
// be empty.
func New(configured []Instance) *State {
	return &State{Configured: configured, Presumed: configured[0].Address, rotation: configured[0].Address}
}

// Candidates returns the known instances, each address once, in the order in which they
// are asked.
func (s *State) Candidates() []Instance {
	var candidates []Instance
	for _, list := range [][]Instance{s.Configured, s.Referred} {
		for _, i := range list {
			if !slices.ContainsFunc(candidates, func(c Instance) bool { return c.Address == i.Address }) {
				candidates = append(candidates, i)
			}
		}
	}
	return candidates
}

// Refer adds instances that another instance has named. Those without a known address
// are ignored.
func (s *State) Refer(names []string) {
	for _, name := range names {
		address := s.addressOf(name)
		if address == "" || slices.ContainsFunc(s.Candidates(), func(c Instance) bool { return c.Address == address }) {
			continue
		}
		s.Referred = append(s.Referred, Instance{Name: name, Address: address})
		s.Referred = s.Referred[max(0, len(s.Referred)-maxReferred):]
	}
}

// Next selects another instance after a request to the one at an address has failed. It
// does nothing if that is not the presumed leader any more, because another request
// failed there before.
//
// A named leader is asked next. If it fails too, the turn goes on where it was: an
// instance that names a leader that is gone must not keep the others from being asked.
func (s *State) Next(failed string, outcome Outcome) {
	if s.Presumed != failed {
		return
	}
	switch o := outcome.(type) {
	case Refused:
		s.Refer(o.Members)
		s.Refer([]string{o.Leader})
		if leader := s.addressOf(o.Leader); leader != "" && leader != failed && s.hops < maxHops {
			s.hops++
			s.Presumed = leader
			return
		}
	case Unreachable:
	}
	s.hops = 0
	candidates := s.Candidates()
	for range candidates {
		index := slices.IndexFunc(candidates, func(c Instance) bool { return c.Address == s.rotation })
		s.rotation = candidates[(index+1)%len(candidates)].Address
		if s.rotation != failed {
			break
		}
	}
	s.Presumed = s.rotation
}

// Answered records that the presumed leader has answered.
func (s *State) Answered() { s.hops = 0 }

// Follow takes what this instance itself knows of the voter group: it asks the leader
// next if there is one.
func (s *State) Follow(o Refused) {
	s.Refer(o.Members)
	s.Refer([]string{o.Leader})
	if leader := s.addressOf(o.Leader); leader != "" {
		s.Presumed = leader
	}
}

// addressOf returns the address of an instance, or an empty string if it is not known.
func (s *State) addressOf(name string) string {
	if name == "" {
		return ""
	}
	for _, c := range s.Candidates() {
		if c.Name == name {
			return c.Address
		}
	}
	if s.Locate == nil {
		return ""
	}
	return s.Locate(name)
}
