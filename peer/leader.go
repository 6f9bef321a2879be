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
	pool      *Pool
	instances []Address
	// guess holds the address that led last. Whoever uses it takes it out
	// and puts it back.
	guess chan string
}

// NewLeader returns a Leader that begins its search at the first instance.
func NewLeader(pool *Pool, instances []Address) *Leader {
	l := &Leader{pool: pool, instances: instances, guess: make(chan string, 1)}
	l.guess <- instances[0].Address
	return l
}

func (l *Leader) current() string {
	g := <-l.guess
	l.guess <- g
	return g
}

// correct replaces a guess that turned out wrong, unless another call already
// did so.
func (l *Leader) correct(wrong, leader string) {
	g := <-l.guess
	if g == wrong {
		g = l.next(wrong, leader)
	}
	l.guess <- g
}

func (l *Leader) next(wrong, leader string) string {
	for _, a := range l.instances {
		if a.Instance == leader && a.Address != wrong {
			return a.Address
		}
	}
	i := slices.IndexFunc(l.instances, func(a Address) bool { return a.Address == wrong })
	return l.instances[(i+1)%len(l.instances)].Address
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
