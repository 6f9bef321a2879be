package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/timer"
)

const (
	// attemptTimeout limits one request to the presumed leader.
	attemptTimeout = 700 * time.Millisecond
	// minRetryDelay is the mean delay before the next attempt if the leader is known,
	// and before the first repeated attempt otherwise. The delay then doubles up to
	// maxRetryDelay. All delays are drawn at random: after a power loss hundreds of
	// entries look for the leader at the same time, and their requests would keep the
	// voters from electing one.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 160 * time.Millisecond
)

// Address is the address (IP:port) at which a control instance accepts messages
// of other instances.
type Address struct {
	Instance string
	Address  string
}

// LeaderClient finds the leader among the control instances and sends requests
// to it. Its methods may be called concurrently.
type LeaderClient struct {
	pool *Pool
	// search has capacity one and holds the state of the search. Each method
	// receives the state and sends it back, so one at a time has it.
	search chan search
}

// search is the state of the search for the leader.
type search struct {
	instances []Address
	// presumedLeader is the address to which requests are sent: the last known
	// leader, or the next instance to try.
	presumedLeader string
	// locate returns the address of an instance that is not listed. It is nil
	// when an address can't be derived from the instance's name.
	locate func(instance string) string
}

// NewLeaderClient returns a LeaderClient that begins its search at the first
// instance. The list must not be empty.
func NewLeaderClient(pool *Pool, instances []Address) *LeaderClient {
	l := &LeaderClient{pool: pool, search: make(chan search, 1)}
	l.search <- search{instances: instances, presumedLeader: instances[0].Address}
	return l
}

// SetLocator sets the function that returns the address of an instance that is not
// listed: the leader may have joined after the list was written.
func (l *LeaderClient) SetLocator(locate func(instance string) string) {
	s := <-l.search
	s.locate = locate
	l.search <- s
}

// SetInstances replaces the list of instances among which the leader is
// searched for.
func (l *LeaderClient) SetInstances(instances []Address) {
	s := <-l.search
	s.instances = instances
	l.search <- s
}

// Address returns the address of the presumed leader.
func (l *LeaderClient) Address() string {
	s := <-l.search
	l.search <- s
	return s.presumedLeader
}

// Instances returns the addresses among which the leader is searched for.
func (l *LeaderClient) Instances() []string {
	s := <-l.search
	l.search <- s
	var addresses []string
	for _, a := range s.instances {
		addresses = append(addresses, a.Address)
	}
	return addresses
}

// selectNext replaces the presumed leader after a request to it has failed,
// unless another call already did so. leader is the instance that the refusal
// named, or empty.
func (l *LeaderClient) selectNext(failed, leader string) {
	s := <-l.search
	if s.presumedLeader == failed {
		s.presumedLeader = s.nextAddress(failed, leader)
	}
	l.search <- s
}

// nextAddress returns the address of the named leader if that is known and has
// not failed itself. Otherwise it returns the instance listed after the failed
// one, or the first if the failed one is not listed.
func (s search) nextAddress(failed, leader string) string {
	for _, a := range s.instances {
		if a.Instance == leader && a.Address != failed {
			return a.Address
		}
	}
	if leader != "" && s.locate != nil {
		if a := s.locate(leader); a != failed {
			return a
		}
	}
	i := slices.IndexFunc(s.instances, func(a Address) bool { return a.Address == failed })
	return s.instances[(i+1)%len(s.instances)].Address
}

// Call sends a request to the leader. It retries until the leader responds, the
// context ends, or the request is refused for a reason that a retry does not
// change. The request must therefore be safe to repeat.
func (l *LeaderClient) Call(ctx context.Context, request Request) (Response, error) {
	delay := minRetryDelay
	for {
		address := l.Address()
		response, err := l.callOnce(ctx, address, request)
		if err == nil {
			return response, nil
		}
		if !l.handleError(address, err) {
			return nil, err
		}
		if leaderNamed(err) {
			delay = minRetryDelay
		}
		if !timer.Pause(ctx, delay/2+rand.N(delay)) {
			return nil, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// leaderNamed reports whether an instance refused a request and named the leader.
func leaderNamed(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Leader != ""
}

func (l *LeaderClient) callOnce(ctx context.Context, address string, r Request) (Response, error) {
	timeout := attemptTimeout
	if watch, ok := r.(WatchRequest); ok {
		timeout = max(timeout, WatchTimeout(watch.Count)+watchAnswerMargin)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.pool.Call(ctx, address, r)
}

// handleError selects another instance if the error suggests that the request
// went to the wrong one. It reports whether a retry can succeed.
func (l *LeaderClient) handleError(address string, err error) bool {
	var refused *RefusedError
	var overload *OverloadError
	switch {
	case errors.As(err, &overload):
		return true
	case !errors.As(err, &refused):
		l.selectNext(address, "")
		return true
	}
	switch refused.Code {
	case CodeNotLeader, CodeLost:
		l.selectNext(address, refused.Leader)
		return true
	case CodeBusy:
		return true
	}
	return false
}
