package allowance

// history holds the sums of the parts of two windows: at index i, that of the oldest i.
type history [historyParts + 1]int

// historyOf returns the history that ends with a part.
func historyOf(r *ring, part int64) *history {
	var h history
	for i := range historyParts {
		h[i+1] = h[i] + r.at(part-historyParts+1+int64(i))
	}
	return &h
}

// within returns the sum of the newest countedParts parts of a window that ended some parts
// ago, or ends in the future if ago is negative.
func (h *history) within(ago int) int {
	index := func(i int) int { return min(max(0, i), historyParts) }
	return h[index(historyParts-ago)] - h[index(historyParts-ago-countedParts)]
}

// lowestAhead returns the lowest value at any time within the next window, which is given
// in parts.
func lowestAhead(value func(ahead int) int) int {
	lowest := value(0)
	for ahead := 1; ahead <= partsPerWindow; ahead++ {
		lowest = min(lowest, value(ahead))
	}
	return lowest
}
