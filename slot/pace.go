package slot

import (
	"maps"
	"slices"
	"time"
)

// slowAnswers is how many answers a report needs for its mean to count.
const slowAnswers = 3

// paces holds, for the servers of one report, the mean service time as a
// multiple of the server's usual one.
type paces map[string]float64

func (o *Owner) paces(observations []Observation) paces {
	p := paces{}
	for _, ob := range observations {
		s := o.Servers[ob.Server]
		if s == nil || s.Usual == 0 || ob.Answers < slowAnswers {
			continue
		}
		mean := time.Duration(ob.MeanUS) * time.Microsecond
		p[ob.Server] = float64(mean) / float64(s.Usual)
	}
	return p
}

// others is the median pace of the other servers of the report. When all of
// them are slow at once, the entry or its network is, not the server.
func (p paces) others(server string) float64 {
	rest := maps.Clone(p)
	delete(rest, server)
	if len(rest) == 0 {
		return 1
	}
	sorted := slices.Sorted(maps.Values(rest))
	return sorted[len(sorted)/2]
}
