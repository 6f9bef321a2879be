package allowance

// ringParts is the number of parts that a ring keeps. It is more than the history, since
// reports come late.
const ringParts = 3 * partsPerWindow

// ring holds a number for each of the newest parts of time.
type ring struct {
	numbers [ringParts]int64
	counts  [ringParts]int
}

// add adds to a part. A part that is too old is ignored.
func (r *ring) add(part int64, n int) {
	if part < 0 {
		return
	}
	i := part % ringParts
	switch {
	case r.numbers[i] > part:
		return
	case r.numbers[i] < part:
		r.numbers[i], r.counts[i] = part, 0
	}
	r.counts[i] = max(0, r.counts[i]+n)
}

func (r *ring) at(part int64) int {
	if part < 0 || r.numbers[part%ringParts] != part {
		return 0
	}
	return r.counts[part%ringParts]
}

// sum returns the sum of the parts from first to last.
func (r *ring) sum(first, last int64) int {
	total := 0
	for p := max(first, last-ringParts+1); p <= last; p++ {
		total += r.at(p)
	}
	return total
}
