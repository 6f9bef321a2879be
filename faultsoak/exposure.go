package faultsoak

import (
	"strings"
	"time"
)

// The users' bound on a content that crashes each upstream that runs it.
const (
	// deadlyPrefix begins the paths of requests that crash their upstreams. Each path is one
	// content, which is sent with several IDs.
	deadlyPrefix = "/view/deadly-"
	// maxCrashDelay is the longest time from the execution of such a request to the crash.
	maxCrashDelay = 60 * time.Millisecond
	// exposureGrace is the time after a crash from which the entry must know of it.
	exposureGrace = 500 * time.Millisecond
	// exposureWindow is the time for which the bounds hold after a crash.
	exposureWindow = 20 * time.Second
	// ownExposures is the number of upstreams that may crash under a content at one entry,
	// whether it reaches the control instances or not.
	ownExposures = 2
	// allExposures is the number of upstreams over all entries after whose crash
	// laterExposures more executions are allowed, while the control instances have no
	// fault.
	allExposures   = 3
	laterExposures = 2
)

// exposure is the execution of a deadly content by an upstream.
type exposure struct {
	upstream, entry string
	at              time.Duration
}

// checkExposure checks an execution of a deadly content against the earlier ones.
func (j *judge) checkExposure(e RequestExecuted) {
	if !strings.HasPrefix(e.Path, deadlyPrefix) {
		return
	}
	sent := j.requests[e.ID]
	earlier := j.exposures[e.Path]
	j.exposures[e.Path] = append(earlier, exposure{e.Upstream, sent.Entry, e.At})
	v := &j.verdict
	own := map[string]bool{}
	for _, x := range earlier {
		if x.entry == sent.Entry && sent.At > x.at+maxCrashDelay+exposureGrace && e.At <= x.at+exposureWindow && !j.disturbedSince(x.entry, x.at) && !j.disturbedSince(x.upstream, x.at) {
			own[x.upstream] = true
		}
	}
	if len(own) >= ownExposures {
		v.add(&v.OverExposed, "request %s with content %s, sent at %v, reached %s from %s, where %d upstreams had crashed under it", e.ID, e.Path, sent.At, e.Upstream, sent.Entry, len(own))
		return
	}
	if later, calm := j.laterExposures(e.Path); calm && later > laterExposures {
		v.add(&v.OverExposed, "request %s with content %s reached %s from %s at %v, the %d. after %d upstreams had crashed under it", e.ID, e.Path, e.Upstream, sent.Entry, e.At, later, allExposures)
	}
}

// laterExposures returns how often a content was executed within the window after its
// third crash. calm is true if neither a control instance nor an entry or upstream that was
// exposed to it had a fault meanwhile.
func (j *judge) laterExposures(content string) (later int, calm bool) {
	all := j.exposures[content]
	first, thirdAt := all[0].at, time.Duration(0)
	crashed := map[string]bool{}
	for _, x := range all {
		if j.disturbedSince(x.entry, first) || j.disturbedSince(x.upstream, first) {
			return 0, false
		}
		if len(crashed) >= allExposures && x.at <= thirdAt+exposureWindow {
			later++
		}
		if crashed[x.upstream] = true; len(crashed) == allExposures && thirdAt == 0 {
			thirdAt = x.at
		}
	}
	for name := range j.notices.disturbedAt {
		if strings.HasPrefix(name, controlName) && j.disturbedSince(name, first) {
			return 0, false
		}
	}
	for name := range j.notices.interruptedAt {
		if strings.HasPrefix(name, controlName) && j.interruptedSince(name, first) {
			return 0, false
		}
	}
	return later, true
}
