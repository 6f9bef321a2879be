package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stamp is a moment on two clocks. The steady clock stands still while the machine is
// suspended, whereas the time since boot goes on.
type Stamp struct {
	Steady time.Time
	Boot   time.Duration
}

// Now returns the present moment. Without a boot clock, Boot is zero in all stamps.
func Now() Stamp {
	stamp := Stamp{Steady: time.Now()}
	var boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) == nil {
		stamp.Boot = time.Duration(boot.Nano())
	}
	return stamp
}

// Since returns the time from an earlier stamp to this one, including that for which the
// machine was suspended.
func (s Stamp) Since(earlier Stamp) time.Duration {
	return max(s.Steady.Sub(earlier.Steady), s.Boot-earlier.Boot)
}

// Before returns the moment a duration before this one.
func (s Stamp) Before(d time.Duration) Stamp {
	return Stamp{Steady: s.Steady.Add(-d), Boot: s.Boot - d}
}
