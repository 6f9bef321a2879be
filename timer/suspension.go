package timer

import "time"

// suspensionTolerance is the largest difference between the progress of the two clocks that
// does not count as a suspension.
const suspensionTolerance = 10 * time.Millisecond

// Suspensions notices that the machine was suspended. The steady clock stands still
// meanwhile, so what was received before a suspension looks recent after it. It is owned by
// one task.
type Suspensions struct {
	// EndedAt is when the end of a suspension was last noticed, on the steady clock. The
	// first check counts as one.
	EndedAt time.Time

	last Stamp
}

// Check compares the progress of the two clocks since the last call.
func (s *Suspensions) Check(now Stamp) {
	if s.last.Steady.IsZero() || now.Boot-s.last.Boot > now.Steady.Sub(s.last.Steady)+suspensionTolerance {
		s.EndedAt = now.Steady
	}
	s.last = now
}
