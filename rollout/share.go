package rollout

import (
	"math"
	"time"
)

const (
	// firstShare is the share of a trial before the rate of the service is known.
	firstShare = 0.04
	// minShare and maxShare bound the share of a trial. The latter applies at a low rate,
	// at which a few percent would give too few responses.
	minShare = 0.01
	maxShare = 0.5
	// highRateShare is the share of a trial at a high rate, unless that gives fewer than
	// wantedAnswers.
	highRateShare = 0.08
	wantedAnswers = 300
	// stepShare is the share of the step before the switch.
	stepShare = 0.5
	// trialBudget and stepBudget are the ratios of the exposure bound that the new version
	// may use up in the trial and by the end of the step. Reports come late, by up to a
	// second, and the rate may fall.
	trialBudget = 0.55
	stepBudget  = 0.9
	// remainingRate is the ratio of the present rate that is expected until the deadline.
	remainingRate = 0.7
	// shareStep is the relative change of a share from which the split changes. Each change
	// is an answer to all entries.
	shareStep = 0.2
	// maxRouteShare limits the share of a route with few requests.
	maxRouteShare = 0.4
)

// bound returns the limit on the requests that a bad version may get.
func (j *Judge) bound(now time.Time) float64 {
	expected := float64(j.requests) + remainingRate*j.rate(now)*max(0, j.Order.Deadline.Sub(now).Seconds())
	return j.Terms.ExposureShare*expected + j.Terms.ExposureSlack
}

// rate returns the requests a second of the service.
func (j *Judge) rate(now time.Time) float64 {
	if j.firstReportAt.IsZero() {
		return 0
	}
	return float64(j.requests) / max(1, now.Sub(j.firstReportAt).Seconds())
}

// trialShare returns the share of a trial that goes on until a time.
func (j *Judge) trialShare(now, until time.Time) float64 {
	rate := j.rate(now)
	if rate == 0 {
		return firstShare
	}
	requests := rate * max(1, until.Sub(now).Seconds())
	limit := (trialBudget*j.bound(now) - float64(j.exposed)) / requests
	wanted := max(highRateShare, (wantedAnswers-float64(j.exposed))/requests)
	if limit < minShare {
		return 0
	}
	return min(limit, wanted, maxShare)
}

// stepShareNow returns the share of the step, which lasts for a time.
func (j *Judge) stepShareNow(now time.Time, length time.Duration) float64 {
	rate := j.rate(now)
	if rate == 0 {
		return stepShare
	}
	return min(stepShare, max(minShare, (stepBudget*j.bound(now)-float64(j.exposed))/(rate*(length+reportDelay).Seconds())))
}

// reportDelay is how long the leader waits for the counts of a request after its response.
const reportDelay = 500 * time.Millisecond

// setShare sets the share of the split, and during a trial the shares of the routes: half
// of the trial's requests are spread evenly over the routes, so that a version that is bad
// on a route with few requests gets some there.
func (j *Judge) setShare(share float64, byRoute bool) {
	routes := j.counts.Routes()
	byRoute = byRoute && share > 0 && len(routes) > 1
	final := share == 0 || share == 1
	similar := share == j.Split.Share || !final && math.Abs(share-j.Split.Share) < shareStep*j.Split.Share
	known := !byRoute && j.Split.RouteShares == nil || byRoute && len(routes) == len(j.Split.RouteShares)
	if similar && known {
		return
	}
	j.Split.Share, j.Split.RouteShares = share, nil
	if !byRoute {
		return
	}
	j.Split.RouteShares = map[string]float64{}
	for _, route := range routes {
		sum := j.counts.Sum(func(k ItemKey) bool { return k.Route == route })
		even := share / 2 * float64(j.requests) / (float64(len(routes)) * float64(max(1, sum.Sent)))
		j.Split.RouteShares[route] = share/2 + min(maxRouteShare, even)
	}
}
