package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oriolepost/oriolepost/search"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	// attemptTimeout limits one request to the presumed leader. An order with a
	// configuration gets the time that its bytes take at orderBytesPerSecond in addition:
	// it is sent to the leader, and from there to the followers.
	attemptTimeout      = 700 * time.Millisecond
	orderBytesPerSecond = 256 << 10
	// minRetryDelay is the mean delay before the next attempt if the leader is known,
	// and before the first repeated attempt otherwise. The delay then doubles up to
	// maxRetryDelay. All delays are drawn at random: after a power loss hundreds of
	// entries look for the leader at the same time, and their requests would keep the
	// voters from electing one.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 160 * time.Millisecond
)

// LeaderClient finds the leader among the control instances and sends requests
// to it. Its methods may be called concurrently.
type LeaderClient struct {
	pool *Pool
	// search has capacity one and holds the state of the search. Each method
	// receives the state and sends it back, so one at a time has it.
	search chan *search.State
}

// NewLeaderClient returns a LeaderClient that begins its search at the first
// instance. The list must not be empty.
func NewLeaderClient(pool *Pool, instances []search.Instance) *LeaderClient {
	l := &LeaderClient{pool: pool, search: make(chan *search.State, 1)}
	l.search <- search.New(instances)
	return l
}

// SetLocator sets the function that returns the address of an instance that is not
// listed: the leader may have joined after the list was written.
func (l *LeaderClient) SetLocator(locate func(instance string) string) {
	s := <-l.search
	s.Locate = locate
	l.search <- s
}

// SetInstances replaces the list of instances among which the leader is
// searched for. The instances that others have named stay known.
func (l *LeaderClient) SetInstances(instances []search.Instance) {
	s := <-l.search
	s.Configured = instances
	l.search <- s
}

// Refer adds instances to the search that another instance has named.
func (l *LeaderClient) Refer(instances []string) {
	s := <-l.search
	s.Refer(instances)
	l.search <- s
}

// Address returns the address of the presumed leader.
func (l *LeaderClient) Address() string {
	s := <-l.search
	address := s.Presumed
	l.search <- s
	return address
}

// Instances returns the addresses among which the leader is searched for.
func (l *LeaderClient) Instances() []string {
	s := <-l.search
	candidates := s.Candidates()
	l.search <- s
	var addresses []string
	for _, c := range candidates {
		addresses = append(addresses, c.Address)
	}
	return addresses
}

// Follow takes what this instance itself knows of the voter group.
func (l *LeaderClient) Follow(refused *RefusedError) {
	s := <-l.search
	s.Follow(search.Refused{Leader: refused.Leader, Members: refused.Members})
	l.search <- s
}

func (l *LeaderClient) answered() {
	s := <-l.search
	s.Answered()
	l.search <- s
}

// next selects another instance after a request to the one at an address has failed.
func (l *LeaderClient) next(failed string, outcome search.Outcome) {
	s := <-l.search
	s.Next(failed, outcome)
	l.search <- s
}

// Call sends a request to the leader. It retries until the leader responds, the
// context ends, or the request is refused for a reason that a retry does not
// change. The request must therefore be safe to repeat.
func (l *LeaderClient) Call(ctx context.Context, request Request) (Response, error) {
	delay := minRetryDelay
	for busy := 0; ; {
		address := l.Address()
		response, err := l.callOnce(ctx, address, request)
		if err == nil {
			l.answered()
			return response, nil
		}
		if !l.handleError(address, err) {
			return nil, err
		}
		// One that is busy for long may not be the leader.
		if busy = busyInRow(busy, err); busy >= maxBusyInRow {
			busy = 0
			l.next(address, search.Unreachable{})
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

// maxBusyInRow is how often in a row an instance may be busy before another one is asked.
const maxBusyInRow = 3

func busyInRow(busy int, err error) int {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Code == CodeBusy {
		return busy + 1
	}
	return 0
}

// leaderNamed reports whether an instance refused a request and named the leader.
func leaderNamed(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Leader != ""
}

func (l *LeaderClient) callOnce(ctx context.Context, address string, r Request) (Response, error) {
	timeout := attemptTimeout + time.Duration(orderBytes(r))*time.Second/orderBytesPerSecond
	if watch, ok := r.(WatchRequest); ok {
		timeout = max(timeout, WatchTimeout(watch.Followers)+watchAnswerMargin)
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
		l.next(address, search.Unreachable{})
		return true
	}
	switch refused.Code {
	case CodeNotLeader, CodeLost:
		l.next(address, search.Refused{Leader: refused.Leader, Members: refused.Members})
		return true
	case CodeBusy:
		return true
	}
	return false
}
