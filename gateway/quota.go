package gateway

import (
	"fmt"
	"time"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/quota"
)

const (
	// quotaRetryPart is the part of the caller's remaining time that is the least Retry-After
	// of a request beyond its workspace's quota, and maxQuotaRetryAfter limits it. It is
	// spread up to twice as long, so that callers do not all come back at once.
	quotaRetryPart     = 1.0 / 7
	maxQuotaRetryAfter = 750 * time.Millisecond
	// quotaContactTimeout is how long after the leader's last answer an entry relies on the
	// shares that it has. It is three watches.
	quotaContactTimeout = 600 * time.Millisecond
)

// usagesMessage asks for what was counted for workspaces with a quota.
type usagesMessage struct{ reply chan<- []quota.Usage }

func (usagesMessage) message() {}

// takeUsages takes what the entry task counted for the next watch, unless former counts are
// not reported yet.
func (w *watchTask) takeUsages() {
	if w.gateway.settings.Bounds.QuotaWindow <= 0 || w.usages != nil {
		return
	}
	reply := make(chan []quota.Usage, 1)
	select {
	case w.gateway.task.mailbox <- usagesMessage{reply}:
	case <-w.ctx.Done():
		return
	}
	select {
	case usages := <-reply:
		if len(usages) > 0 {
			w.usages = &peer.Usages{List: usages}
		}
	case <-w.ctx.Done():
	}
}

// refuseBeyondQuota counts a request of a workspace with a quota. It refuses the request and
// returns true if that would exceed the quota.
func (t *task) refuseBeyondQuota(request placement.Request) bool {
	w := request.Workspace
	if w == nil || w.Rate <= 0 || t.gateway.settings.Bounds.QuotaWindow <= 0 {
		return false
	}
	admitted := t.gate.Admit(time.Now(), quota.Request{
		Workspace: w.Name, Limit: quota.Limit{Rate: w.Rate, Burst: w.Burst}, Entries: t.entries, Draw: t.random.Float64(),
		Connected: t.gateway.controlContactAge() < quotaContactTimeout,
	})
	outcome := "admitted"
	if !admitted {
		outcome = "refused"
		least := min(maxQuotaRetryAfter.Seconds(), quotaRetryPart*time.Until(request.Deadline).Seconds())
		retryAfter := time.Duration(least * (1 + t.random.Float64()) * float64(time.Second))
		t.perform(placement.Finish{Request: request.ID, Outcome: placement.NotRun{Reason: placement.ReasonQuota, RetryAfter: retryAfter}})
	}
	t.gateway.options.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriolepost_quota_requests_total{outcome=%q}`, outcome)).Inc()
	return !admitted
}
