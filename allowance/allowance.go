// Package allowance keeps a limit on a sum over all entries, while each entry decides on
// its own.
//
// The leader has an [Owner]. For each key, such as a service's retries or a tenant's
// requests, it grants tokens to the entries so that what was spent and what may still be
// spent stays within the [Limit]. Each entry has a [Holder], which spends granted tokens,
// asks for more while they are needed, and returns those that it did not use. A token is
// valid for a short time only, so that neither side has to rely on the other one being
// reachable. An entry that spends nothing sends nothing. The package is part of the core.
//
// The proof that the sum holds is in docs/design/allowance.md.
//
// # Usage
//
//	h := allowance.NewHolder("palermo-1/5f", window)
//	if !h.Take(now, key, allowance.Urgent{}) {
//		if report, due := h.Report(now); due {
//			h.Answer(now, owner.Handle(now, report))
//		}
//	}
package allowance

import "time"

// Limit is what the sum over all entries must stay within.
//
//sumtype:decl
type Limit interface{ limit() }

// Window limits the tokens spent within any period of Length to Ratio times the requests,
// plus Slack. The requests are those of the same period, of the one half a length before,
// or of the one a length before, whichever are most.
type Window struct {
	Ratio  float64
	Length time.Duration
	Slack  float64
}

// Bucket limits the tokens to Rate a second, and Burst at once. In no period may more than
// Tolerance be spent beyond that. The longer granted tokens are valid, the fewer reports are
// needed, but what is granted within a lifetime may be spent on top of the limit.
type Bucket struct{ Rate, Burst, Tolerance float64 }

func (Window) limit() {}
func (Bucket) limit() {}

const (
	// PooledShare is the part of a [Window] limit that the owner grants. The entries keep
	// the rest, each its share, and spend that without asking. The two parts are never
	// combined, so that their sum holds whoever is reachable. A larger part kept would be
	// used less: of the requests of an entry, only the half that counts in any later window
	// gives it a ratio.
	PooledShare = 0.8
	// SafetyFactor keeps what a holder may spend without asking below its part of the limit:
	// each holder rounds its share, and the sum follows only on average.
	SafetyFactor = 0.92
	// pooledSafetyFactor does the same for what the owner grants, which is counted exactly,
	// and for a part longer than the window. The limit is checked on arrivals at the
	// upstreams, which may bunch up on a slow link.
	pooledSafetyFactor = 0.97
	// windowLifetime is how long the tokens of a [Window] are valid, and minBucketLifetime
	// and maxBucketLifetime limit the lifetime of those of a [Bucket]. An answer comes
	// within a few milliseconds, or from a busy leader up to 1.1 s later.
	windowLifetime    = 1200 * time.Millisecond
	minBucketLifetime = 100 * time.Millisecond
	maxBucketLifetime = 2 * time.Second
	// toleranceShare is the part of a bucket's tolerance that the lifetime uses up. The
	// rest is for the delay between a decision and the request's arrival.
	toleranceShare = 0.6
	// standingLifetime is how long a holder of a bucket's tokens goes on at its standing
	// rate after they have expired. An election takes about a second.
	standingLifetime = 2 * time.Second
	// handover covers the time for which a former leader may still grant: its lease is
	// shorter than an election timeout of 450 ms.
	handover = 500 * time.Millisecond
	// partsPerWindow is the number of parts into which a window is divided.
	partsPerWindow = 80
	// countedParts is how many parts of a window the requests are counted for. A request
	// counts as of the end of its part, and a report may arrive up to a part later. A window
	// begins and ends within a part.
	countedParts = partsPerWindow - 4
	// historyParts is how many parts of requests matter: two windows.
	historyParts = 2 * partsPerWindow
)

// Report is what a holder sends to the owner. A holder has one under way at a time.
type Report struct {
	// Holder is unique to one run of an entry.
	Holder string `json:"holder"`
	// Sequence orders the reports of a holder.
	Sequence uint64 `json:"sequence"`
	// AgeMS is the time since the holder was created.
	AgeMS int64 `json:"age_ms"`
	// Owner is the owner that answered last. The counts lack what that one has.
	Owner string       `json:"owner,omitempty"`
	Items []ReportItem `json:"items"`
}

// ReportItem is a report on one key.
type ReportItem struct {
	Key string `json:"key"`
	// Counts are the requests by parts of the window, beginning with the part FirstPart,
	// counted from the creation of the holder. They are those since the last report that
	// was answered.
	FirstPart int64 `json:"first_part,omitempty"`
	Counts    []int `json:"counts,omitempty"`
	// Spent is the number of granted tokens that this holder has ever spent. It has Held
	// more, and will not spend any other that it was granted before.
	Spent uint64 `json:"spent,omitempty"`
	Held  int    `json:"held,omitempty"`
	// SpentAgoMS is the time since the last of them was spent.
	SpentAgoMS int64 `json:"spent_ago_ms,omitempty"`
	// Wanted is the number of further tokens that the holder asks for. WantedLow is the
	// same for requests of low priority, which leave the part Reserve of the limit to
	// others.
	Wanted    int     `json:"wanted,omitempty"`
	WantedLow int     `json:"wanted_low,omitempty"`
	Reserve   float64 `json:"reserve,omitempty"`
	// StandingPerS is the standing rate that the holder has.
	StandingPerS float64 `json:"standing_per_s,omitempty"`
}

// Reply is the owner's answer to a report.
type Reply struct {
	// Owner identifies the owner. A holder reports its whole history to a new one.
	Owner string `json:"owner"`
	// AskAfterMS is the time after which the holder may send its next report.
	AskAfterMS int64   `json:"ask_after_ms"`
	Items      []Grant `json:"items,omitempty"`
}

// Grant is the reply on one key.
type Grant struct {
	Key string `json:"key"`
	// Tokens are for any request, TokensLow for those of low priority.
	Tokens    int `json:"tokens,omitempty"`
	TokensLow int `json:"tokens_low,omitempty"`
	// LifetimeMS is how long these and the tokens that the holder had are valid, counted
	// from when the report was sent.
	LifetimeMS int64 `json:"lifetime_ms"`
	// AskAfterMS is the time after which asking again may succeed, if not all was granted.
	AskAfterMS int64 `json:"ask_after_ms,omitempty"`
	// StandingPerS is the rate at which the holder may go on for StandingMS while it has
	// lost the owner, or if the owner is Closed: it can't grant yet because of what its
	// predecessor has granted.
	StandingPerS float64 `json:"standing_per_s,omitempty"`
	StandingMS   int64   `json:"standing_ms,omitempty"`
	Closed       bool    `json:"closed,omitempty"`
}

// lifetime returns how long the tokens of a bucket are valid.
func (b Bucket) lifetime() time.Duration {
	if b.Rate <= 0 {
		return minBucketLifetime
	}
	seconds := min(toleranceShare*b.Tolerance/b.Rate, maxBucketLifetime.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minBucketLifetime)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
