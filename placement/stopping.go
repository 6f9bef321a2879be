package placement

import "time"

// An entry that stops ends at a fixed time, and what it has not answered by then is
// cut. Load pattern: requests arrive although the stop has begun, on connections that
// the balancer opened a moment before, behind other requests of a connection, or with
// a slow body; queued requests, retries and hedges are late as well. A request is
// passed on only while its response is expected before the end. Later it is refused as
// not run, and its caller goes to another entry.

const (
	// stopResponseMargin is how long before the end of the entry a response has to
	// arrive so that the caller still gets it.
	stopResponseMargin = 100 * time.Millisecond
	// responseTimeWeight is the weight of one response in the moving averages of a
	// route's response times.
	responseTimeWeight = 0.1
	// initialDeviationRatio is the deviation of a route's response times before its
	// first response, as a ratio of the mean.
	initialDeviationRatio = 0.5
	// earlyDeviations, lateDeviations and lateOnceDeviations are how many deviations
	// beyond the mean a response may take. While connections are accepted, refusing
	// many costs more than cutting a few. A request that must not run twice is lost
	// when it is cut, so it gets more time.
	earlyDeviations    = 1
	lateDeviations     = 4
	lateOnceDeviations = 8
)

// StopPlan says when an entry stops. The zero value means that it does not.
type StopPlan struct {
	// AcceptsUntil is when the entry stops accepting connections.
	AcceptsUntil time.Time
	// EndsAt is when the entry ends and cuts what is not answered.
	EndsAt time.Time
}

// ResponseTime describes the response times of a route's attempts: moving averages of
// the time and of its distance from the mean.
type ResponseTime struct{ Mean, Deviation time.Duration }

// Add returns the averages with one more response.
func (r ResponseTime) Add(took time.Duration) ResponseTime {
	distance := took - r.Mean
	return ResponseTime{
		Mean:      r.Mean + time.Duration(responseTimeWeight*float64(distance)),
		Deviation: r.Deviation + time.Duration(responseTimeWeight*float64(distance.Abs()-r.Deviation)),
	}
}

// beyond returns the time within which a response arrives if it takes no longer than
// so many deviations beyond the mean.
func (r ResponseTime) beyond(deviations int) time.Duration {
	return r.Mean + time.Duration(deviations)*r.Deviation
}

// LatestStart returns the time before which a request has to be passed on to an
// upstream. A request whose deadline is before the end always gets an answer.
// repeatable says that the caller may send it again after it was cut.
func (p StopPlan) LatestStart(deadline time.Time, r ResponseTime, repeatable bool) time.Time {
	latestAnswer := p.EndsAt.Add(-stopResponseMargin)
	if p.EndsAt.IsZero() || !deadline.After(latestAnswer) {
		return deadline
	}
	deviations := lateOnceDeviations
	if repeatable {
		deviations = lateDeviations
	}
	late := latestAnswer.Add(-r.beyond(deviations))
	if !late.Before(p.AcceptsUntil) {
		return late
	}
	if early := latestAnswer.Add(-r.beyond(earlyDeviations)); early.Before(p.AcceptsUntil) {
		return early
	}
	return p.AcceptsUntil
}

// handleStop ends the waits that have become too long. Requests whose latest start has
// passed are refused by the next TimerExpired event, which is due immediately.
func (s *State) handleStop(e StopBegan) {
	s.Stop = e.Plan
	for _, pending := range s.requests {
		pending.queueDeadline = s.limitByStop(pending, pending.queueDeadline)
	}
}

// mayStart reports whether the request may be passed on to an upstream now.
func (s *State) mayStart(now time.Time, pending *pendingRequest) bool {
	return s.Stop.EndsAt.IsZero() || now.Before(s.latestStart(pending))
}

// limitByStop returns the end of a wait for an upstream, shortened to the latest start
// of the request.
func (s *State) limitByStop(pending *pendingRequest, end time.Time) time.Time {
	if latest := s.latestStart(pending); latest.Before(end) {
		return latest
	}
	return end
}

func (s *State) latestStart(pending *pendingRequest) time.Time {
	r := pending.request
	return s.Stop.LatestStart(r.Deadline, s.responseTime(r), r.Route.Idempotent && !r.BodyNotReplayable)
}

// responseTime returns the response times of the request's route, or an assumption
// before the first response.
func (s *State) responseTime(r Request) ResponseTime {
	if t, known := s.responseTimes[r.Route.Name]; known {
		return t
	}
	mean := s.expectedTime(r)
	return ResponseTime{Mean: mean, Deviation: time.Duration(initialDeviationRatio * float64(mean))}
}

func (s *State) recordResponseTime(r Request, took time.Duration) {
	s.responseTimes[r.Route.Name] = s.responseTime(r).Add(took)
}
