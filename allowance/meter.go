package allowance

import (
	"math"
	"time"
)

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

func (m *windowMeter) charge(at time.Time, tokens float64) {
	m.spent.add(m.part(at), int(math.Ceil(tokens)))
}

func (m *windowMeter) refund(chargedAt time.Time, tokens float64) {
	if part := m.part(chargedAt); tokens > 0 && m.spent.at(part) > 0 {
		m.spent.add(part, -int(math.Ceil(tokens)))
	}
}

func (m *windowMeter) available(now time.Time, outstanding int, reserve float64) float64 {
	slack := m.limit.Slack
	if now.Before(m.slackFrom) {
		slack = 0
	}
	part := m.part(now)
	limit := PooledShare * pooledSafetyFactor * (m.limit.Ratio*float64(m.lasting(part)) + slack)
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
			h.within(partsPerWindow/2-ahead+1),
			h.within(partsPerWindow-ahead+1))
	})
}

// bucketMeter is the account of a [Bucket]. Outstanding tokens are still in the level, and
// the bucket fills as if they were not.
type bucketMeter struct {
	limit Bucket
	// opens is the beginning of the account. What holders spend before, at the standing
	// rates that they had, belongs to that of the former owner.
	opens time.Time
	level float64
	at    time.Time
}

func (*bucketMeter) meter() {}

// setLimit fills the bucket up to now at the former rate, and sets the limit. At its time
// at the beginning, a bucket is empty: what a former owner has granted is not known.
func (m *bucketMeter) setLimit(now time.Time, l Bucket, outstanding int) {
	if now.After(m.at) {
		m.level = min(m.level+m.limit.Rate*now.Sub(m.at).Seconds(), m.limit.Burst+float64(outstanding))
		m.at = now
	}
	m.limit = l
	m.level = min(m.level, l.Burst+float64(outstanding))
}

func (m *bucketMeter) charge(at time.Time, tokens float64) {
	if !at.Before(m.opens) {
		m.level -= tokens
	}
}

func (m *bucketMeter) refund(chargedAt time.Time, tokens float64) {
	if !chargedAt.Before(m.opens) {
		m.level += tokens
	}
}

func (m *bucketMeter) available(_ time.Time, outstanding int, reserve float64) float64 {
	return m.level - float64(outstanding) - reserve*m.limit.Burst
}
