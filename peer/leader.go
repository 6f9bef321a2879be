package peer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/timer"
)

const (
	// tryTimeout bounds one try to reach the leader.
	tryTimeout = 700 * time.Millisecond
	// tryPause is the pause before the next try.
	tryPause = 20 * time.Millisecond
)

// Address is where an instance with a disk takes its peers' messages.
type Address struct {
	Instance string
	Address  string
}

// Leader finds the leader among the instances with a disk, and talks to it.
type Leader struct {
	pool *Pool
	// search holds the state of the search. Whoever uses it takes it out and
	// puts it back.
	search chan search
}

// search is where the leader is looked for.
type search struct {
	instances []Address
	// guess is the address that led last.
	guess string
	// locate gives the address of an instance that is not listed, if the
	// instance's name tells it; nil otherwise.
	locate func(instance string) string
}

// NewLeader returns a Leader that begins its search at the first instance.
func NewLeader(pool *Pool, instances []Address) *Leader {
	l := &Leader{pool: pool, search: make(chan search, 1)}
	l.search <- search{instances: instances, guess: instances[0].Address}
	return l
}

// Locate gives the search a way to find instances that are not listed: the
// leader may have joined after the list was written.
func (l *Leader) Locate(locate func(instance string) string) {
	s := <-l.search
	s.locate = locate
	l.search <- s
}

// Learn replaces the instances among which the leader is looked for.
func (l *Leader) Learn(instances []Address) {
	s := <-l.search
	s.instances = instances
	l.search <- s
}

func (l *Leader) current() string {
	s := <-l.search
	l.search <- s
	return s.guess
}

// correct replaces a guess that turned out wrong, unless another call already
// did so.
func (l *Leader) correct(wrong, leader string) {
	s := <-l.search
	if s.guess == wrong {
		s.guess = s.next(wrong, leader)
	}
	l.search <- s
}

func (s search) next(wrong, leader string) string {
	for _, a := range s.instances {
		if a.Instance == leader && a.Address != wrong {
			return a.Address
		}
	}
	if leader != "" && s.locate != nil {
		if a := s.locate(leader); a != wrong {
			return a
		}
	}
	i := slices.IndexFunc(s.instances, func(a Address) bool { return a.Address == wrong })
	return s.instances[(i+1)%len(s.instances)].Address
}

// Call sends a request to the leader. It tries until the leader answered or
// the context ends, so the request must be safe to repeat.
func (l *Leader) Call(ctx context.Context, r Request) (Response, error) {
	for {
		address := l.current()
		response, err := l.try(ctx, address, r)
		if err == nil {
			return response, nil
		}
		if !l.learn(address, err) {
			return nil, err
		}
		if !timer.Pause(ctx, tryPause) {
			return nil, err
		}
	}
}

func (l *Leader) try(ctx context.Context, address string, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return l.pool.Call(ctx, address, r)
}

// learn takes an error as a hint, and reports whether another try makes sense.
func (l *Leader) learn(address string, err error) bool {
	var refused *RefusedError
	var overload *OverloadError
	switch {
	case errors.As(err, &overload):
		return true
	case !errors.As(err, &refused):
		l.correct(address, "")
		return true
	}
	switch refused.Code {
	case CodeNotLeader, CodeLost:
		l.correct(address, refused.Leader)
		return true
	case CodeBusy:
		return true
	}
	return false
}
