package rollout

import (
	"maps"
	"math"
	"slices"
)

// The new version is compared with the other ones on the same routes: by the ratio of
// failures, and by the ratio of responses that take longer than twice the median of the
// others. Load pattern: on the same day the others fail and have slow machines too, so the
// counts of the new version must exceed theirs beyond a tolerance and beyond chance.

const (
	// certainTail is the probability of counts by chance below which the new version is
	// worse. Some 3,000 tests of a roll-out, most of them of nearly the same counts, then
	// give a false result in about one roll-out of a hundred at most.
	certainTail = 2e-5
	// doubtTail is the probability below which the new version is not completed either.
	doubtTail = 0.01
	// A ratio of the others is tolerated with a factor and an addition: it varies with
	// the load and the time.
	failureFactor     = 1.5
	failureTolerance  = 0.01
	slownessFactor    = 1.25
	slownessTolerance = 0.03
	// slowFactor is the multiple of the median response time from which a response is
	// slow. Service times vary by a third, and a bad version takes several times as long.
	slowFactor = 2.0
	// minSlowMS is the least excess over the median, in milliseconds, of a slow response. The
	// round trip to another failure domain takes 3 ms, which is several times the service
	// time of a fast service.
	minSlowMS = 10
	// minBaseline is the number of responses of a route by the others below which the
	// comparison is made over all routes only.
	minBaseline = 10
	// minUpstreams is the number of upstreams of the new version from which the one with
	// the most bad responses is discounted: a single bad machine is no bad version.
	minUpstreams = 3
)

// Evidence is what counts say about the new version.
type Evidence struct {
	// Tail is the lowest probability by chance of any test, and Reason names that test.
	Tail   float64
	Reason string
	// Route is the route of that test, and empty for all routes.
	Route string
	// Bad counts the failed and slow responses of the new version.
	Bad int64
}

// Worse reports whether the new version is worse than the others.
func (e Evidence) Worse() bool { return e.Tail < certainTail }

// Doubtful reports whether the new version may be worse than the others.
func (e Evidence) Doubtful() bool { return e.Tail < doubtTail }

// The reasons of an [Evidence].
const (
	ReasonFailures = "failures"
	ReasonSlowness = "slowness"
)

// Examine tests the counts of all routes together and of each route. The threshold of a
// slow response is that of its route.
func (c *Counter) Examine() Evidence {
	evidence := Evidence{Tail: 1}
	routes := c.baselines()
	worst := worstUpstreams{map[string]int64{}, map[string]int64{}}
	for k, t := range c.Tallies {
		if ofTarget(k) {
			c.addTarget(routes, worst, k, t)
		}
	}
	failed, slow := excess(worst.failures), excess(worst.slow)
	failures, slowness := newTests()
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		compared := routes[route]
		failures.add(compared.failures)
		slowness.add(compared.slowness)
		evidence.Bad += compared.failures.bad + compared.slowness.bad
		if compared.failures.baseline >= minBaseline {
			evidence.take(route, compared.failures.tail(failed), compared.slowness.tail(slow))
		}
	}
	evidence.take("", failures.tail(failed), slowness.tail(slow))
	return evidence
}

func (e *Evidence) take(route string, failures, slowness float64) {
	if failures < e.Tail {
		e.Tail, e.Reason, e.Route = failures, ReasonFailures, route
	}
	if slowness < e.Tail {
		e.Tail, e.Reason, e.Route = slowness, ReasonSlowness, route
	}
}

// test is the comparison of one ratio: the bad ones of a number of responses of the new
// version, and of the others, the baseline.
type test struct {
	bad, total, baselineBad, baseline int64
	factor, tolerance                 float64
}

func newTests() (failures, slowness test) {
	return test{factor: failureFactor, tolerance: failureTolerance}, test{factor: slownessFactor, tolerance: slownessTolerance}
}

func (t *test) add(o test) {
	t.bad, t.total, t.baselineBad, t.baseline = t.bad+o.bad, t.total+o.total, t.baselineBad+o.baselineBad, t.baseline+o.baseline
}

// tail returns the probability that the new version has as many bad responses by chance. A
// number of them is not counted, as they come from a single upstream.
func (t test) tail(discount int64) float64 {
	ratio := (float64(t.baselineBad) + 1) / (float64(t.baseline) + 2)
	if t.baseline == 0 {
		ratio = 0
	}
	return binomialTail(t.bad-discount, t.total-discount, min(1, t.factor*ratio+t.tolerance))
}

// comparison holds the tests of one route.
type comparison struct {
	failures, slowness test
	// slowMS is the response time in milliseconds above which a response is slow.
	slowMS int64
}

func newComparison() *comparison {
	compared := &comparison{slowMS: math.MaxInt64}
	compared.failures, compared.slowness = newTests()
	return compared
}

// worstUpstreams holds, by upstream of the new version, the bad responses.
type worstUpstreams struct{ failures, slow map[string]int64 }

// baselines returns, by route, the tests with the counts of the others.
func (c *Counter) baselines() map[string]*comparison {
	routes := map[string]*comparison{}
	for k, t := range c.Tallies {
		if !ofOthers(k) {
			continue
		}
		compared := newComparison()
		routes[k.Route] = compared
		compared.failures.baselineBad, compared.failures.baseline = t.Failures, t.Answers
		if len(t.Times) > 0 {
			median := t.median()
			compared.slowMS = max(int64(slowFactor*float64(median)), median+minSlowMS)
			compared.slowness.baseline, compared.slowness.baselineBad = t.timed(compared.slowMS)
		}
	}
	return routes
}

// addTarget adds the counts of a route at one upstream of the new version.
func (c *Counter) addTarget(routes map[string]*comparison, worst worstUpstreams, k ItemKey, t *Tally) {
	compared := routes[k.Route]
	if compared == nil {
		compared = newComparison()
		routes[k.Route] = compared
	}
	timed, slow := t.timed(compared.slowMS)
	compared.failures.bad, compared.failures.total = compared.failures.bad+t.Failures, compared.failures.total+t.Answers
	compared.slowness.bad, compared.slowness.total = compared.slowness.bad+slow, compared.slowness.total+timed
	worst.failures[k.Upstream] += t.Failures
	worst.slow[k.Upstream] += slow
}

// excess returns by how much the upstream with the most bad responses exceeds the one with
// the second most, beyond one response.
func excess(bad map[string]int64) int64 {
	if len(bad) < minUpstreams {
		return 0
	}
	var counts []int64
	for _, n := range bad {
		counts = append(counts, n)
	}
	slices.Sort(counts)
	return max(0, counts[len(counts)-1]-counts[len(counts)-2]-1)
}

// binomialTail returns the probability of k or more of n, each with probability p.
func binomialTail(k, n int64, p float64) float64 {
	if k <= 0 || p >= 1 {
		return 1
	}
	if n < k || p <= 0 {
		return 0
	}
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(logChoose(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		// Beyond the mean the terms fall, so that the rest adds nothing.
		if float64(i) > p*float64(n) && term < sum*1e-9 {
			break
		}
	}
	return min(1, sum)
}

func logChoose(n, k int64) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
