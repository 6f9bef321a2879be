package slot

import (
	"maps"
	"slices"
	"time"
)

// minSlowdownAnswers is the minimum number of answers in an observation for its
// mean service time to count.
const minSlowdownAnswers = 3

// slowdowns holds, for each server of one report, the mean service time
// relative to the server's expected service time (1 = as expected).
type slowdowns map[string]float64

// measureSlowdowns returns the slowdown of each observed server. It leaves out
// servers without an expected service time and observations with fewer answers
// than minSlowdownAnswers.
func (o *Owner) measureSlowdowns(observations []Observation) slowdowns {
	result := slowdowns{}
	for _, ob := range observations {
		s := o.Servers[ob.Server]
		if s == nil || s.ExpectedTime == 0 || ob.Answers < minSlowdownAnswers {
			continue
		}
		mean := time.Duration(ob.MeanServiceTimeUS) * time.Microsecond
		result[ob.Server] = float64(mean) / float64(s.ExpectedTime)
	}
	return result
}

// medianOfOthers returns the median slowdown of the other servers of the
// report, 1 without others. When all servers are slow at the same time, the
// cause is the entry or its network, not the server.
func (s slowdowns) medianOfOthers(server string) float64 {
	rest := maps.Clone(s)
	delete(rest, server)
	if len(rest) == 0 {
		return 1
	}
	sorted := slices.Sorted(maps.Values(rest))
	return sorted[len(sorted)/2]
}
