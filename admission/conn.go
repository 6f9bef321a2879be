package admission

import (
	"slices"
	"time"
)

// Activity is what a connection is doing.
type Activity int

const (
	// Idle is a connection without a request in progress.
	Idle Activity = iota
	// Reading is a connection on which a request has arrived in part.
	Reading
	// Serving is a connection with a complete request that is not answered.
	Serving
)

// Conn is an open connection.
type Conn struct {
	// Index is its index in the list that the owner of the connections keeps.
	Index    int
	Activity Activity
	// Since is the beginning of the activity.
	Since time.Time
}

// minReadingTime is how long a request may arrive before its connection may be closed
// in favor of another. The header of an ordinary request comes in one packet.
const minReadingTime = 500 * time.Millisecond

// Victims returns the connections to close so that count fewer are open: those that are
// idle for longest, except for the newest of all, then those whose request has been
// arriving for longest, and last the newest one. Connections that are being served stay.
func Victims(now time.Time, conns []Conn, count int) []Conn {
	var idle, reading []Conn
	for _, c := range conns {
		switch {
		case c.Activity == Idle:
			idle = append(idle, c)
		case c.Activity == Reading && now.Sub(c.Since) >= minReadingTime:
			reading = append(reading, c)
		}
	}
	oldestFirst := func(a, b Conn) int { return a.Since.Compare(b.Since) }
	slices.SortStableFunc(idle, oldestFirst)
	slices.SortStableFunc(reading, oldestFirst)
	var newest []Conn
	if len(idle) > 0 {
		idle, newest = idle[:len(idle)-1], idle[len(idle)-1:]
	}
	victims := slices.Concat(idle, reading, newest)
	return victims[:min(count, len(victims))]
}
