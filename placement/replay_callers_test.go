package placement_test

import (
	"time"

	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
)

// class is a kind of request. rate is in requests per second, and work is the
// mean service time on an idle machine. deadline is the time from the first try
// in which the caller wants a response, and retries the maximum number of
// further tries. value is the weight of a request in the result.
type class struct {
	name      string
	route     *route.Route
	rate      float64
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	value     float64
	retries   int
	tally     tally
}

// tally counts the requests of a class by their result.
type tally struct{ requests, onTime, pastObjective, refused, failed int }

// callerRequest is a request of a caller over all its tries. work is its
// service time on an idle machine.
type callerRequest struct {
	class        *class
	firstTriedAt time.Time
	work         time.Duration
	tries        int
}

func (r *replay) addClass(c script.Case) string {
	added := &class{
		name: c.Args["name"], rate: number(c.Args["rate"]), work: time.Duration(c.Int("work", 0)) * time.Millisecond,
		objective: time.Duration(c.Int("objective", 0)) * time.Millisecond,
		deadline:  time.Duration(c.Int("deadline", 0)) * time.Millisecond,
		value:     number(c.Args["value"]), retries: c.Int("retries", 1),
	}
	added.route = &route.Route{
		Name: added.name, Idempotent: c.Bool("idempotent"), Priority: c.Int("priority", 0), MaxAttempts: 2,
		Objective: added.objective, Timeout: time.Duration(c.Int("timeout", 0)) * time.Millisecond,
		Services: []route.WeightedService{{Service: c.Args["service"], Weight: 1}},
	}
	r.classes = append(r.classes, added)
	return ""
}

// sendTry sends one try of a request to a random entry, which receives it 8 ms
// later.
func (r *replay) sendTry(request *callerRequest) {
	request.tries++
	r.schedule(8*time.Millisecond, func() {
		r.nextID++
		id := r.nextID
		i := r.entryRandom.IntN(len(r.entries))
		r.callerRequests[id] = request
		r.entryOf[id] = i
		deadline := request.firstTriedAt.Add(request.class.deadline - 8*time.Millisecond)
		if t := request.class.route.Timeout; t > 0 && r.now.Add(t).Before(deadline) {
			deadline = r.now.Add(t)
		}
		r.perform(i, r.entries[i].Step(r.now, placement.Arrived{Request: placement.Request{
			ID: id, Route: request.class.route, Service: request.class.route.Services[0].Service, ArrivedAt: r.now, FirstTriedAt: request.firstTriedAt.Add(8 * time.Millisecond), Deadline: deadline,
		}}))
	})
}

// finish handles the end of a try at the entry. The caller receives the result
// 8 ms later and may retry.
func (r *replay) finish(e placement.Finish) {
	request := r.callerRequests[e.Request]
	delete(r.callerRequests, e.Request)
	r.schedule(8*time.Millisecond, func() {
		took := r.now.Sub(request.firstTriedAt)
		remaining := request.class.deadline - took
		switch o := e.Outcome.(type) {
		case placement.Answered:
			if took <= request.class.objective {
				request.class.tally.onTime++
			} else {
				request.class.tally.pastObjective++
			}
		case placement.NotRun:
			if request.tries <= request.class.retries && o.RetryAfter > 0 && remaining > 3*o.RetryAfter {
				r.schedule(o.RetryAfter, func() { r.sendTry(request) })
				return
			}
			request.class.tally.refused++
		case placement.Unknown:
			if request.tries <= request.class.retries && request.class.route.Idempotent && remaining > 50*time.Millisecond {
				r.sendTry(request)
				return
			}
			request.class.tally.failed++
		}
	})
}
