package allowance

import (
	"math"
	"time"
)

const (
	// askIntervalPerHolder, minAskInterval and maxAskInterval determine how often a holder
	// may ask, so that a leader with a quarter of a core gets at most 1,000 reports a second.
	askIntervalPerHolder = time.Millisecond
	minAskInterval       = 20 * time.Millisecond
	maxAskInterval       = time.Second
	// refusedAskInterval is the shortest time after which asking again may succeed when
	// nothing is left.
	refusedAskInterval = 250 * time.Millisecond
	// askersPerShare and minShares determine the largest part of what is left that one
	// holder gets, so that the first ones to ask do not get everything. Equal shares would
	// leave much of the limit unused for several intervals.
	askersPerShare = 8
	minShares      = 4
	// expiryGrace is how long after their end the owner still keeps tokens as unspent, so
	// that the report in which a holder returns them is in time.
	expiryGrace = 100 * time.Millisecond
	// recentInterval is how long a holder counts as one that asks. It is longer than
	// maxAskInterval, with the time for an answer.
	recentInterval = 2500 * time.Millisecond
	// sustainedInterval is the longest time between two reports of a holder with
	// sustained demand.
	sustainedInterval = time.Second
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
	// recent is the number of holders that have reported lately.
	recent int
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
	// standing is the sum of the standing rates.
	standing float64
	// askers is an estimate of the number of holders with demand, as of askersAt: the
	// reports with demand, which decay over the interval at which a holder asks.
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
	standing       float64
	// assumed is what was charged as spent when the tokens expired without a report, at
	// assumedAt.
	assumed   int
	assumedAt time.Time
	reportAt  time.Time
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
	charge(at time.Time, tokens int)
	refund(chargedAt time.Time, tokens int)
}

// Handle takes a report and returns the reply to it.
func (o *Owner) Handle(now time.Time, r Report) Reply {
	h := o.holders[r.Holder]
	if h == nil {
		h = &holderState{}
		o.holders[r.Holder] = h
		o.recent++
	}
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
		return Grant{Key: item.Key, AskAfterMS: maxAskInterval.Milliseconds()}
	}
	p := o.pool(now, item.Key, limit)
	p.expire(now)
	s, demand := p.settle(now, r.Holder, item)
	p.countAsker(now, item, o.askInterval())
	switch l := limit.(type) {
	case Window:
		age := milliseconds(r.AgeMS)
		if age > now.Sub(o.instanceStartedAt)+l.Length/2 {
			o.survivors = true
		}
		if r.Owner == "" || r.Owner == o.Name {
			p.count(now.Add(-age), item, s)
		}
		return p.grant(now, r.Holder, item, windowLifetime, o.opensForWindow(l))
	case Bucket:
		s.standing = p.standingRate(item, demand, l.Rate)
		p.standing += s.standing
		g := p.grant(now, r.Holder, item, bucketLifetime, o.since.Add(bucketLifetime+standingLifetime+handover))
		g.StandingPerS, g.StandingMS = s.standing, standingLifetime.Milliseconds()
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
			m = &bucketMeter{at: now}
			p.meter = m
		}
		m.setLimit(now, l)
	}
	return p
}

// expire charges the tokens that have expired without a report.
func (p *pool) expire(now time.Time) {
	for len(p.expiring) > 0 && !now.Before(p.expiring[0].at) {
		e := p.expiring[0]
		p.expiring = p.expiring[1:]
		s := p.shares[e.holder]
		if s == nil || s.tokens == 0 && s.standing == 0 || !s.expiresAt.Equal(e.at) {
			continue
		}
		p.outstanding -= s.tokens
		s.assumed, s.assumedAt = s.tokens+int(math.Ceil(s.standing*standingLifetime.Seconds())), e.at
		p.meter.charge(e.at, s.assumed)
		p.standing -= s.standing
		s.tokens, s.standing = 0, 0
	}
}

// settle replaces what was assumed of a holder by what it reports. It also returns how many
// tokens a second the holder wants; zero if it did not ask shortly before.
func (p *pool) settle(now time.Time, holder string, item ReportItem) (s *share, demand float64) {
	s = p.shares[holder]
	if s == nil {
		// What was spent before is the concern of former reports, or of a former owner.
		s = &share{countedThrough: -1, spent: item.Spent, tokens: item.Held}
		p.shares[holder] = s
		p.outstanding += item.Held
	}
	p.outstanding -= s.tokens
	p.standing -= s.standing
	p.meter.refund(s.assumedAt, s.assumed)
	p.meter.charge(now.Add(-milliseconds(max(0, item.SpentAgoMS))), int(item.Spent-min(item.Spent, s.spent)))
	if since := now.Sub(s.reportAt); since > 0 && since < sustainedInterval {
		demand = float64(item.Wanted) / since.Seconds()
	}
	s.spent, s.tokens, s.standing, s.assumed, s.reportAt = item.Spent, item.Held, 0, 0, now
	p.outstanding += s.tokens
	return s, demand
}

// standingRate returns the rate at which a holder may go on if it loses the owner. The sum
// of these rates is at most that of the bucket. A holder that has a rate and demand keeps
// it, as after a change of the owner. One with a single request now and then gets none,
// since it would have to return it.
func (p *pool) standingRate(item ReportItem, demand, rate float64) float64 {
	return max(0, min(max(item.StandingPerS, demand), rate-p.standing))
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

// countAsker updates the estimate of the number of holders with demand.
func (p *pool) countAsker(now time.Time, item ReportItem, interval time.Duration) {
	p.askers *= math.Exp(-float64(now.Sub(p.askersAt)) / float64(interval))
	p.askersAt = now
	if item.Wanted > 0 {
		p.askers++
	}
}

// grant grants what a holder wants, as far as it is left.
func (p *pool) grant(now time.Time, holder string, item ReportItem, lifetime time.Duration, opens time.Time) Grant {
	s := p.shares[holder]
	g := Grant{Key: item.Key, LifetimeMS: lifetime.Milliseconds()}
	if left := p.meter.available(now, p.outstanding, item.Reserve); !now.Before(opens) && left >= 1 {
		g.Tokens = min(max(0, item.Wanted), max(1, int(left/max(minShares, p.askers/askersPerShare))))
	}
	if g.Tokens < item.Wanted {
		g.AskAfterMS = max(refusedAskInterval, min(opens.Sub(now), maxAskInterval)).Milliseconds()
	}
	s.tokens += g.Tokens
	p.outstanding += g.Tokens
	s.expiresAt = now.Add(lifetime + expiryGrace)
	if s.tokens > 0 || s.standing > 0 {
		p.expiring = append(p.expiring, expiry{holder: holder, at: s.expiresAt})
	}
	return g
}

func (o *Owner) askInterval() time.Duration {
	return min(max(time.Duration(o.recent)*askIntervalPerHolder, minAskInterval), maxAskInterval)
}

// Prune forgets the holders that have not reported for a time longer than any of their
// tokens, and than their requests count.
func (o *Owner) Prune(now time.Time, lifetime time.Duration) {
	for _, p := range o.pools {
		p.expire(now)
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
