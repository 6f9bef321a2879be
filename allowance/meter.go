package allowance

import "time"

// windowMeter is the account of a [Window].
type windowMeter struct {
	limit Window
	// origin is the time from which the parts are numbered. The slack counts from
	// slackFrom on.
	origin    time.Time
	slackFrom time.Time
	requests  ring
	spent     ring
}

func (*windowMeter) meter() {}

func (m *windowMeter) partLength() time.Duration {
	return max(time.Nanosecond, m.limit.Length/partsPerWindow)
}

func (m *windowMeter) part(at time.Time) int64 { return int64(at.Sub(m.origin) / m.partLength()) }

// count counts requests in a part of a holder's time, which began at a time. They count as
// of the end of the part.
func (m *windowMeter) count(created time.Time, part int64, n int) {
	m.requests.add(m.part(created.Add(time.Duration(part+1)*m.partLength())), n)
}

func (m *windowMeter) charge(at time.Time, tokens int) { m.spent.add(m.part(at), tokens) }

func (m *windowMeter) refund(chargedAt time.Time, tokens int) {
	if part := m.part(chargedAt); tokens > 0 && m.spent.at(part) > 0 {
		m.spent.add(part, -tokens)
	}
}

func (m *windowMeter) available(now time.Time, outstanding int, reserve float64) float64 {
	slack := m.limit.Slack
	if now.Before(m.slackFrom) {
		slack = 0
	}
	part := m.part(now)
	limit := PooledShare * SafetyFactor * (m.limit.Ratio*float64(m.lasting(part)) + slack)
	// The oldest part counts until the whole of it is out of the window.
	return (1-reserve)*limit - float64(m.spent.sum(part-partsPerWindow, part)+outstanding)
}

// lasting returns the number of requests that the limit will count at any time within the
// next window, even if no further ones come: a token that is granted now counts for so
// long.
func (m *windowMeter) lasting(part int64) int {
	h := historyOf(&m.requests, part)
	return lowestAhead(func(ahead int) int {
		return max(
			h.within(-ahead),
			h.within(partsPerWindow/2-ahead),
			h.within(partsPerWindow-ahead))
	})
}

// bucketMeter is the account of a [Bucket]. Tokens are taken out of the bucket when they
// are granted, and those that were not spent are put back.
type bucketMeter struct {
	limit Bucket
	level float64
	at    time.Time
}

func (*bucketMeter) meter() {}

// setLimit fills the bucket up to now at the former rate, and sets the limit. A new bucket
// is empty: what a former owner has granted is not known.
func (m *bucketMeter) setLimit(now time.Time, l Bucket) {
	m.level = min(m.level+m.limit.Rate*now.Sub(m.at).Seconds(), m.limit.Burst)
	m.at, m.limit = now, l
	m.level = min(m.level, l.Burst)
}

func (m *bucketMeter) charge(_ time.Time, tokens int) { m.level -= float64(tokens) }

func (m *bucketMeter) refund(_ time.Time, tokens int) { m.level += float64(tokens) }

func (m *bucketMeter) available(_ time.Time, outstanding int, reserve float64) float64 {
	return m.level - float64(outstanding) - reserve*m.limit.Burst
}
