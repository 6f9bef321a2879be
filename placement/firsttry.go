package placement

import "time"

// callerTimeoutSpread is the ratio by which the caller timeout of a first try may be
// below the longest one on the same route. Callers vary their timeouts by 10%.
const callerTimeoutSpread = 0.15

// FirstTries holds, by the name of the route, the longest caller timeout seen.
type FirstTries map[string]time.Duration

// Estimate estimates when a caller first sent a request that was received at a time
// with a caller timeout. The shortest caller timeout of a first try is taken to be
// callerTimeoutSpread below the longest on the same route. If the request has less
// time left, the difference is the time since its first try. Nothing is known of a
// request without a caller timeout, which is zero: it counts as a first try.
func (f FirstTries) Estimate(routeName string, received time.Time, callerTimeout time.Duration) time.Time {
	if callerTimeout <= 0 {
		return received
	}
	f[routeName] = max(f[routeName], callerTimeout)
	shortest := time.Duration((1 - callerTimeoutSpread) * float64(f[routeName]))
	return received.Add(min(0, callerTimeout-shortest))
}
