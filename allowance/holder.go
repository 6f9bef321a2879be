package allowance

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// minFailedAskDelay is the pause after a report that was not answered. It doubles with
	// each further one up to maxFailedAskDelay: while there is no leader, the reports of
	// hundreds of entries would keep the voters from electing one.
	minFailedAskDelay = 250 * time.Millisecond
	maxFailedAskDelay = 2 * time.Second
	// prefetchFrom is how many tokens a holder must have spent since its last report to
	// ask for more before they run out. A single one is no sign of further demand.
	prefetchFrom = 2
	// standingReturn is the time after which a holder without demand returns its standing
	// rates. It is shorter than their lifetime by the time for an answer.
	standingReturn = time.Second
	// firstBatch is how many tokens a holder asks for that has spent none yet.
	firstBatch = 4
)

// Holder spends the tokens that were granted to one entry. It is owned by one task.
type Holder struct {
	name   string
	length time.Duration
	// startedAt is the time of the first call.
	startedAt time.Time
	keys      map[string]*held
	// active holds the keys that may have something to report.
	active   map[string]*held
	owner    string
	sequence uint64
	// asked is true while a report is under way, which was sent at sentAt. No other is
	// sent before askAt.
	asked  bool
	sentAt time.Time
	askAt  time.Time
	// answeredAt is when the owner last answered, and lostAt when it first failed to since
	// then; zero if it did not.
	answeredAt, lostAt time.Time
	// failedDelay is the pause after the next report that is not answered.
	failedDelay time.Duration
}

// held is the state of one key.
type held struct {
	counts ring
	// reportedThrough is the last part of the counts that the owner has, and sentThrough
	// that in the report under way.
	reportedThrough, sentThrough int64
	// any is for all requests, and low only for those of low priority.
	any, low  class
	expiresAt time.Time
	spent     uint64
	spentAt   time.Time
	// reserve is what requests of low priority leave to others.
	reserve float64
	// askAt is when asking for more may succeed.
	askAt time.Time
	// standing is the rate at which the holder goes on until standingUntil while it has lost
	// the owner, and standingSpent how many it has spent so. draw rounds the fraction of
	// that number, as in package retry.
	standing      float64
	standingUntil time.Time
	standingSpent float64
	draw          float64
	// lostAt is when the holder began to rely on the standing rate; zero if it does not.
	lostAt time.Time
}

// class is the part of a key for requests of one priority.
type class struct {
	// tokens are left. taken and missed count those that were spent, and those that were
	// wanted in vain, since the last report.
	tokens, taken, missed int
}

// NewHolder returns a holder without tokens. The name must be unique to one run of an
// entry, and length is that of the windows of the limits.
func NewHolder(name string, length time.Duration) *Holder {
	return &Holder{name: name, length: length, keys: map[string]*held{}, active: map[string]*held{}, failedDelay: minFailedAskDelay}
}

// KeptRequests returns the number of requests that give this entry a ratio which it may use
// without asking. They are those that the window half a length before counts at any time
// within the next window, so that the sum over all entries holds although each has its own
// peaks, and load moves from one to another. What this entry spent before its start is not
// known. Its requests therefore give no ratio until that is out of the window.
func (h *Holder) KeptRequests(now time.Time, key string) int {
	if h.Age(now) < h.length {
		return 0
	}
	past := historyOf(&h.key(key).counts, h.part(now))
	return lowestAhead(func(ahead int) int { return past.within(partsPerWindow/2 - ahead + 1) })
}

// Demand is what a token is wanted for.
//
//sumtype:decl
type Demand interface{ demand() }

// Urgent is demand that may use up the limit.
type Urgent struct{}

// LowPriority is demand that leaves a part of the limit, from 0 to 1, to others.
type LowPriority struct{ Reserve float64 }

func (Urgent) demand()      {}
func (LowPriority) demand() {}

// Age returns the time since the first call.
func (h *Holder) Age(now time.Time) time.Duration {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	return now.Sub(h.startedAt)
}

// Asked reports whether a report is under way.
func (h *Holder) Asked() bool { return h.asked }

func (h *Holder) key(key string) *held {
	k := h.keys[key]
	if k == nil {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(h.name + "/" + key))
		// The multiplication spreads the last bytes over the high bits.
		k = &held{reportedThrough: -1, draw: float64(hash.Sum64()*0x9e3779b97f4a7c15>>11) / (1 << 53)}
		h.keys[key] = k
	}
	return k
}

func (h *Holder) part(now time.Time) int64 {
	return int64(h.Age(now)) / max(1, int64(h.length)/partsPerWindow)
}

// Count counts a request for which a [Window] limit grants a ratio.
func (h *Holder) Count(now time.Time, key string) { h.key(key).counts.add(h.part(now), 1) }

// Take spends a token and returns true. Otherwise it records the demand, and returns
// false.
func (h *Holder) Take(now time.Time, key string, demand Demand) bool {
	h.Age(now)
	k := h.key(key)
	h.active[key] = k
	if k.askAt.IsZero() {
		k.askAt = now
	}
	c := &k.any
	switch d := demand.(type) {
	case Urgent:
	case LowPriority:
		c, k.reserve = &k.low, d.Reserve
	}
	valid := now.Before(k.expiresAt)
	switch {
	case valid && c.tokens > 0:
		c.tokens--
	case valid && c == &k.any && k.low.tokens > 0:
		k.low.tokens--
	case k.takeStanding(now, h.lostAt):
	default:
		c.missed++
		return false
	}
	c.taken++
	k.spent++
	k.spentAt = now
	return true
}

// Left returns how many granted tokens are left.
func (h *Holder) Left(now time.Time, key string) int {
	if k := h.keys[key]; k != nil && now.Before(k.expiresAt) {
		return k.tokens()
	}
	return 0
}

// takeStanding spends a token of the standing rate.
func (k *held) takeStanding(now, lostAt time.Time) bool {
	if !k.lostAt.IsZero() {
		lostAt = k.lostAt
	}
	if lostAt.IsZero() || !now.Before(k.standingUntil) || k.standingSpent+k.draw >= k.standing*now.Sub(lostAt).Seconds() {
		return false
	}
	k.standingSpent++
	return true
}

// Report returns the next report, and whether one is to be sent now.
func (h *Holder) Report(now time.Time) (r Report, due bool) {
	if h.asked || now.Before(h.askAt) {
		return Report{}, false
	}
	for _, key := range slices.Sorted(maps.Keys(h.active)) {
		k := h.active[key]
		if !now.Before(k.standingUntil) {
			// The owner has charged what may have been spent.
			k.standing, k.standingSpent = 0, 0
		}
		if !k.due(now, h.answeredAt) {
			if k.idle(now) {
				delete(h.active, key)
			}
			continue
		}
		r.Items = append(r.Items, k.report(now, key, h.part(now)))
	}
	if len(r.Items) == 0 {
		return Report{}, false
	}
	h.sequence++
	r.Holder, r.Sequence, r.AgeMS, r.Owner = h.name, h.sequence, h.Age(now).Milliseconds(), h.owner
	h.asked, h.sentAt = true, now
	return r, true
}

// due reports whether a key has something to report: demand, or tokens to return.
func (k *held) due(now, answeredAt time.Time) bool {
	at, ok := k.dueAt(answeredAt)
	return ok && !now.Before(at)
}

// dueAt returns when a key next has something to report, or false if it has nothing.
func (k *held) dueAt(answeredAt time.Time) (at time.Time, ok bool) {
	switch {
	case k.missed() > 0 || k.standingSpent > 0 || k.taken() >= prefetchFrom && k.tokens() < k.taken():
		return k.askAt, true
	case k.tokens() > 0:
		return k.expiresAt, true
	case k.standing > 0:
		// The owner must hear of this holder again, or it assumes that the rate is used.
		return answeredAt.Add(standingReturn), true
	}
	return time.Time{}, false
}

// idle reports whether a key needs no attention until the next demand.
func (k *held) idle(now time.Time) bool {
	return k.tokens() == 0 && k.standing == 0 && k.missed() == 0 && (k.taken() < prefetchFrom || !now.Before(k.expiresAt))
}

func (k *held) tokens() int { return k.any.tokens + k.low.tokens }
func (k *held) taken() int  { return k.any.taken + k.low.taken }
func (k *held) missed() int { return k.any.missed + k.low.missed }

// wanted returns how many further tokens the holder asks for: the demand since the last
// report, but not many more than it could spend of the last grant. What was wanted in vain
// may be gone by the time at which a token comes.
func (c class) wanted() int {
	return max(0, min(c.taken+c.missed, max(firstBatch, 2*c.taken))-c.tokens)
}

func (k *held) report(now time.Time, key string, part int64) ReportItem {
	if !now.Before(k.expiresAt) {
		k.any.tokens, k.low.tokens = 0, 0
	}
	first := max(k.reportedThrough+1, part-historyParts, 0)
	item := ReportItem{Key: key, Spent: k.spent, Held: k.tokens(), Wanted: k.any.wanted(), WantedLow: k.low.wanted(), Reserve: k.reserve}
	if k.spent > 0 {
		item.SpentAgoMS = now.Sub(k.spentAt).Milliseconds()
	}
	if now.Before(k.standingUntil) && item.wanted() > 0 {
		item.StandingPerS = k.standing
	}
	for p := first; p < part; p++ {
		if count := k.counts.at(p); count > 0 || len(item.Counts) > 0 {
			if len(item.Counts) == 0 {
				item.FirstPart = p
			}
			item.Counts = append(item.Counts, count)
		}
	}
	k.sentThrough = part - 1
	k.any, k.low = class{tokens: k.any.tokens}, class{tokens: k.low.tokens}
	return item
}

// NextWake returns when the next report may be due without another call; the zero time
// means never.
func (h *Holder) NextWake() time.Time {
	var next time.Time
	if h.asked {
		return next
	}
	for _, k := range h.active {
		if at, ok := k.dueAt(h.answeredAt); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if !next.IsZero() && next.Before(h.askAt) {
		return h.askAt
	}
	return next
}

// Answer takes the reply to the report under way.
func (h *Holder) Answer(now time.Time, r Reply) {
	if !h.asked {
		return
	}
	h.asked = false
	h.askAt = now.Add(milliseconds(r.AskAfterMS))
	h.answeredAt, h.lostAt, h.failedDelay = now, time.Time{}, minFailedAskDelay
	// The counts of the report are of use to a new owner only with what it followed.
	usable := h.owner == "" || r.Owner == h.owner
	if !usable {
		for _, k := range h.keys {
			k.reportedThrough = -1
		}
	}
	h.owner = r.Owner
	for _, g := range r.Items {
		k := h.key(g.Key)
		if usable {
			k.reportedThrough = k.sentThrough
		}
		k.any.tokens += g.Tokens
		k.low.tokens += g.TokensLow
		k.expiresAt = h.sentAt.Add(milliseconds(g.LifetimeMS))
		if k.lostAt = (time.Time{}); g.Closed {
			k.lostAt = now
		}
		k.standing, k.standingUntil, k.standingSpent = g.StandingPerS, h.sentAt.Add(milliseconds(g.StandingMS)), 0
		k.askAt = now.Add(milliseconds(g.AskAfterMS))
		h.active[g.Key] = k
	}
}

// Failed reports that the report under way was not answered.
func (h *Holder) Failed(now time.Time) {
	h.asked = false
	h.askAt = now.Add(h.failedDelay)
	h.failedDelay = min(2*h.failedDelay, maxFailedAskDelay)
	if h.lostAt.IsZero() {
		h.lostAt = now
	}
}

// Reached reports that the entry has reached a leader otherwise. After a failure the holder
// then asks at once.
func (h *Holder) Reached(now time.Time) {
	if !h.lostAt.IsZero() && h.failedDelay > minFailedAskDelay {
		h.failedDelay, h.askAt = minFailedAskDelay, now
	}
}
