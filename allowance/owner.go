package allowance

import (
	"math"
	"time"
)

const (
	// A holder may ask again at once, until the owner gets freeReports a second. Above that
	// it has to wait, so that a leader with a quarter of a core gets maxReports at most.
	freeReports = 1000.0
	maxReports  = 2000.0
	// unknownAskInterval is the pause before asking again for a key that has no limit.
	unknownAskInterval = time.Second
	// refusedAskInterval is the shortest time after which asking again may succeed when
	// nothing is left.
	refusedAskInterval = 250 * time.Millisecond
	// windowIntervalPerHolder is the pause between two reports on the same window, for each
	// holder that asks. With 1,000 entries that retry all the time, the leader gets 1,000
	// reports a second, each of which takes it 0.06 ms. Fewer than 20 notice no pause.
	windowIntervalPerHolder = time.Millisecond
	// askersPerShare and minShares determine the largest part of what is left that one
	// holder gets, so that the first ones to ask do not get everything. Equal shares would
	// leave much of the limit unused for several intervals.
	askersPerShare = 8
	minShares      = 4
	// expiryGrace is how long after their end the owner still keeps tokens as unspent, so
	// that the report in which a holder returns them is in time.
	expiryGrace = 100 * time.Millisecond
	// recentInterval is how long a holder counts as one that asks. It is longer than any
	// pause between its reports, with the time for an answer.
	recentInterval = 2500 * time.Millisecond
	// demandTime is the time over which the demand of a holder is averaged, and
	// minStanding the demand a second from which it gets a standing rate.
	demandTime  = 2 * time.Second
	minStanding = 1.0
)

// Owner grants tokens to the holders of all entries. It is owned by one task.
type Owner struct {
	// Name identifies this owner among its predecessors and successors.
	Name string
	// Limit returns the limit of a key, or false if there is none of that name.
	Limit func(key string) (Limit, bool)

	since time.Time
	// instanceStartedAt is the start of the instance of this owner. survivors is true once
	// a holder has reported that is older.
	instanceStartedAt time.Time
	survivors         bool
	pools             map[string]*pool
	holders           map[string]*holderState
	// recent is the number of holders that have reported lately, and reports the number of
	// reports a second as of reportsAt, a moving average.
	recent    int
	reports   float64
	reportsAt time.Time
}

// holderState is what the owner knows of one holder.
type holderState struct {
	sequence uint64
	seenAt   time.Time
}

// NewOwner returns an owner that has become the owner now, in an instance that started at
// a time.
func NewOwner(now, instanceStartedAt time.Time, name string, limit func(key string) (Limit, bool)) *Owner {
	return &Owner{
		Name: name, Limit: limit, since: now, instanceStartedAt: instanceStartedAt,
		pools: map[string]*pool{}, holders: map[string]*holderState{},
	}
}

// pool is what the owner knows of one key.
type pool struct {
	meter meter
	// shares holds the tokens of each holder, and outstanding the sum of those that may
	// still be spent. expiring has them in the order in which they expire.
	shares      map[string]*share
	outstanding int
	expiring    []expiry
	// lapsing has the standing rates in the order in which they end.
	lapsing []expiry
	// standing is the sum of the standing rates.
	standing float64
	// askers is an estimate of the number of holders with demand, as of askersAt: the
	// reports with demand, which decay over refusedAskInterval.
	askers   float64
	askersAt time.Time
}

// share is what one holder has of one pool.
type share struct {
	// countedThrough is the last part of the requests that were counted.
	countedThrough int64
	spent          uint64
	tokens         int
	expiresAt      time.Time
	// demand is a moving average of the tokens wanted a second, as of demandAt.
	demand   float64
	demandAt time.Time
	// standing is the rate at which the holder goes on if it loses the owner.
	standing      float64
	standingUntil time.Time
	// assumed is what was charged as spent when the tokens or the standing rate expired
	// without a report, at assumedAt.
	assumed   float64
	assumedAt time.Time
}

type expiry struct {
	holder string
	at     time.Time
}

// meter keeps the account of a limit.
//
//sumtype:decl
type meter interface {
	meter()
	// available returns how many tokens the limit leaves, besides outstanding ones of
	// which a reserve, a part of the limit, is to be kept.
	available(now time.Time, outstanding int, reserve float64) float64
	// charge records tokens as spent, and refund that some were not after all.
	charge(at time.Time, tokens float64)
	refund(chargedAt time.Time, tokens float64)
}

// Handle takes a report and returns the reply to it.
func (o *Owner) Handle(now time.Time, r Report) Reply {
	h := o.holders[r.Holder]
	if h == nil {
		h = &holderState{}
		o.holders[r.Holder] = h
		o.recent++
	}
	o.reports = o.reports*math.Exp(-now.Sub(o.reportsAt).Seconds()) + 1
	o.reportsAt = now
	reply := Reply{Owner: o.Name, AskAfterMS: o.askInterval().Milliseconds()}
	// A report that a newer one has overtaken is void: its holder has given it up.
	if r.Sequence <= h.sequence {
		return reply
	}
	h.sequence, h.seenAt = r.Sequence, now
	for _, item := range r.Items {
		reply.Items = append(reply.Items, o.handleItem(now, r, item))
	}
	return reply
}

func (o *Owner) handleItem(now time.Time, r Report, item ReportItem) Grant {
	limit, known := o.Limit(item.Key)
	if !known {
		return Grant{Key: item.Key, AskAfterMS: unknownAskInterval.Milliseconds()}
	}
	p := o.pool(now, item.Key, limit)
	p.expire(now, o.holders)
	s := p.settle(now, r.Holder, item)
	p.countAsker(now, item)
	switch l := limit.(type) {
	case Window:
		age := milliseconds(r.AgeMS)
		if age > now.Sub(o.instanceStartedAt)+l.Length/2 {
			o.survivors = true
		}
		if r.Owner == "" || r.Owner == o.Name {
			p.count(now.Add(-age), item, s)
		}
		g := p.grant(now, r.Holder, item, windowLifetime, o.opensForWindow(l))
		g.AskAfterMS = max(g.AskAfterMS, o.windowInterval().Milliseconds())
		return g
	case Bucket:
		p.setStanding(now, r.Holder, item, l.Rate)
		g := p.grant(now, r.Holder, item, l.lifetime(), o.opensForBucket(l))
		g.StandingPerS, g.StandingMS, g.Closed = s.standing, standingLifetime.Milliseconds(), now.Before(o.opensForBucket(l))
		return g
	}
	return Grant{Key: item.Key}
}

// opensForWindow returns when the tokens that a predecessor may have granted are out of
// the window. If everything has restarted, it is not known what was spent before. The
// requests then count at once, and the slack after a window.
func (o *Owner) opensForWindow(l Window) time.Time {
	if o.survivors || o.since.Sub(o.instanceStartedAt) >= l.Length {
		return o.since.Add(handover + windowLifetime + l.Length)
	}
	return time.Time{}
}

// opensForBucket returns when the tokens of a predecessor can no longer be spent, nor what
// its holders go on with. The bucket fills from then on.
func (o *Owner) opensForBucket(l Bucket) time.Time {
	return o.since.Add(handover + l.lifetime() + standingLifetime)
}

func (o *Owner) pool(now time.Time, key string, limit Limit) *pool {
	p := o.pools[key]
	if p == nil {
		p = &pool{shares: map[string]*share{}}
		o.pools[key] = p
	}
	switch l := limit.(type) {
	case Window:
		m, ok := p.meter.(*windowMeter)
		if !ok {
			m = &windowMeter{origin: o.since.Add(-3 * l.Length), slackFrom: o.instanceStartedAt.Add(l.Length)}
			p.meter = m
		}
		m.limit = l
	case Bucket:
		m, ok := p.meter.(*bucketMeter)
		if !ok {
			m = &bucketMeter{opens: o.opensForBucket(l), at: o.opensForBucket(l), limit: l}
			p.meter = m
		}
		m.setLimit(now, l, p.outstanding)
	}
	return p
}

// expire charges the tokens that have expired without a report, and what the holders may
// have spent at their standing rates since they were last heard of.
func (p *pool) expire(now time.Time, holders map[string]*holderState) {
	for ; len(p.expiring) > 0 && !now.Before(p.expiring[0].at); p.expiring = p.expiring[1:] {
		e := p.expiring[0]
		if s := p.shares[e.holder]; s != nil && s.tokens > 0 && s.expiresAt.Equal(e.at) {
			p.outstanding -= s.tokens
			p.assume(s, e.at, float64(s.tokens))
			s.tokens = 0
		}
	}
	for ; len(p.lapsing) > 0 && !now.Before(p.lapsing[0].at); p.lapsing = p.lapsing[1:] {
		e := p.lapsing[0]
		if s := p.shares[e.holder]; s != nil && s.standing > 0 && s.standingUntil.Equal(e.at) {
			if h := holders[e.holder]; h != nil && h.seenAt.Before(e.at) {
				p.assume(s, e.at, s.standing*e.at.Sub(h.seenAt).Seconds())
			}
			p.standing -= s.standing
			s.standing = 0
		}
	}
}

// assume charges tokens that a holder may have spent.
func (p *pool) assume(s *share, at time.Time, tokens float64) {
	p.meter.refund(s.assumedAt, s.assumed)
	s.assumed, s.assumedAt = s.assumed+tokens, at
	p.meter.charge(at, s.assumed)
}

// settle replaces what was assumed of a holder by what it reports.
func (p *pool) settle(now time.Time, holder string, item ReportItem) *share {
	s := p.shares[holder]
	if s == nil {
		// What was spent before is the concern of former reports, or of a former owner.
		s = &share{countedThrough: -1, spent: item.Spent, tokens: item.Held}
		p.shares[holder] = s
		p.outstanding += item.Held
	}
	p.outstanding -= s.tokens
	p.meter.refund(s.assumedAt, s.assumed)
	p.meter.charge(now.Add(-milliseconds(max(0, item.SpentAgoMS))), float64(item.Spent-min(item.Spent, s.spent)))
	s.demand = s.demand*math.Exp(-now.Sub(s.demandAt).Seconds()/demandTime.Seconds()) + float64(item.wanted())/demandTime.Seconds()
	s.spent, s.tokens, s.assumed, s.demandAt = item.Spent, item.Held, 0, now
	p.outstanding += s.tokens
	return s
}

// setStanding sets the rate at which a holder may go on if it loses the owner. The sum of
// these rates is at most that of the bucket. A holder that has a rate and demand keeps it,
// as after a change of the owner. One with a request now and then gets none: it would have
// to send a report to return it.
func (p *pool) setStanding(now time.Time, holder string, item ReportItem, rate float64) {
	s := p.shares[holder]
	p.standing -= s.standing
	s.standing = 0
	if wanted := max(s.demand, item.StandingPerS); item.wanted() > 0 && wanted >= minStanding {
		s.standing = max(0, min(wanted, rate-p.standing))
		s.standingUntil = now.Add(standingLifetime + expiryGrace)
		p.lapsing = append(p.lapsing, expiry{holder: holder, at: s.standingUntil})
	}
	p.standing += s.standing
}

// count counts the requests of a holder that was created at a time.
func (p *pool) count(created time.Time, item ReportItem, s *share) {
	m, ok := p.meter.(*windowMeter)
	if !ok {
		return
	}
	for i, n := range item.Counts[:min(len(item.Counts), historyParts)] {
		part := item.FirstPart + int64(i)
		if part > s.countedThrough && n > 0 {
			m.count(created, part, n)
			s.countedThrough = part
		}
	}
}

// wanted returns the number of tokens that the holder asks for.
func (i ReportItem) wanted() int { return i.Wanted + i.WantedLow }

// countAsker updates the estimate of the number of holders with demand.
func (p *pool) countAsker(now time.Time, item ReportItem) {
	p.askers *= math.Exp(-float64(now.Sub(p.askersAt)) / float64(refusedAskInterval))
	p.askersAt = now
	if item.wanted() > 0 {
		p.askers++
	}
}

// grant grants what a holder wants, as far as it is left.
func (p *pool) grant(now time.Time, holder string, item ReportItem, lifetime time.Duration, opens time.Time) Grant {
	s := p.shares[holder]
	g := Grant{Key: item.Key, LifetimeMS: lifetime.Milliseconds()}
	open := !now.Before(opens)
	take := func(wanted int, reserve float64) int {
		left := p.meter.available(now, p.outstanding, reserve)
		if !open || left < 1 {
			return 0
		}
		tokens := min(max(0, wanted), max(1, int(left/max(minShares, p.askers/askersPerShare))))
		s.tokens += tokens
		p.outstanding += tokens
		return tokens
	}
	g.Tokens = take(item.Wanted, 0)
	g.TokensLow = take(item.WantedLow, item.Reserve)
	exhausted := g.Tokens < item.Wanted && p.meter.available(now, p.outstanding, 0) < 1 ||
		g.TokensLow < item.WantedLow && p.meter.available(now, p.outstanding, item.Reserve) < 1
	if !open || exhausted {
		g.AskAfterMS = max(refusedAskInterval, min(opens.Sub(now), time.Second)).Milliseconds()
	}
	s.expiresAt = now.Add(lifetime + expiryGrace)
	if s.tokens > 0 {
		p.expiring = append(p.expiring, expiry{holder: holder, at: s.expiresAt})
	}
	return g
}

// windowInterval returns the pause before a holder's next report on the same window.
func (o *Owner) windowInterval() time.Duration {
	return time.Duration(o.recent) * windowIntervalPerHolder
}

// askInterval returns the pause before a holder's next report.
func (o *Owner) askInterval() time.Duration {
	load := min(max(0, (o.reports-freeReports)/(maxReports-freeReports)), 1)
	return time.Duration(load * float64(o.recent) / maxReports * float64(time.Second))
}

// Prune forgets the holders that have not reported for a time, which is to be longer than
// their requests count. It is at least as long as tokens and standing rates last.
func (o *Owner) Prune(now time.Time, lifetime time.Duration) {
	lifetime = max(lifetime, 2*recentInterval)
	for _, p := range o.pools {
		p.expire(now, o.holders)
	}
	o.recent = 0
	for name, h := range o.holders {
		if now.Sub(h.seenAt) < recentInterval {
			o.recent++
		}
		if now.Sub(h.seenAt) < lifetime {
			continue
		}
		delete(o.holders, name)
		for _, p := range o.pools {
			delete(p.shares, name)
		}
	}
}
