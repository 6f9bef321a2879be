package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/search"
	"github.com/oriolepost/oriolepost/timer"
)

// watchTask follows the leader's view by watches (long polls).
type watchTask struct {
	gateway *Gateway
	ctx     context.Context
	leader  *peer.LeaderClient
	seeds   []search.Instance
	// controlInstances are the IP addresses of the control instances, from the
	// newest view.
	controlInstances []string
	// seedUpdates receives the seeds of changed settings.
	seedUpdates chan []search.Instance
	// following is what the entry has of the view, and its next watch.
	following *peer.Following
	pool      *peer.Pool
	// copied is true once the entry has taken a copy of the view from a control
	// instance.
	copied bool
	// copyAt is the earliest time of the next search for a copy.
	copyAt time.Time
	// copyDelay is the mean delay before the search after that.
	copyDelay time.Duration
	// connected is false until the first answer, and after contact with the
	// control instances was lost.
	connected bool
	// rolloutsRun is true if the newest view has a running roll-out, and counts is what was
	// counted in them and not reported by a watch that was answered.
	rolloutsRun bool
	counts      *peer.Counts
	// usages is what was counted for workspaces with a quota and not reported by a watch that
	// was answered.
	usages *peer.Usages
	// searchLogAt is the earliest time of the next log line about the search for the
	// leader.
	searchLogAt time.Time
}

// watchRetryBackoff is the pause after a failed watch.
const watchRetryBackoff = 50 * time.Millisecond

func (w *watchTask) run() {
	for w.ctx.Err() == nil {
		select {
		case w.seeds = <-w.seedUpdates:
			w.updateLeaderSearch()
		default:
		}
		if now := time.Now(); w.following.Request.Epoch == 0 && !w.copied && !now.Before(w.copyAt) {
			w.copyAt = now.Add(w.copyDelay/2 + rand.N(w.copyDelay))
			w.copyDelay = min(2*w.copyDelay, maxCopyRetryDelay)
			w.takeCopy()
		}
		sent := timer.Now()
		response, err := w.watch()
		if err != nil {
			w.watchFailed(err)
			timer.Pause(w.ctx, watchRetryBackoff)
			continue
		}
		w.handle(response, sent)
	}
}

// watch sends one watch and searches for the leader if necessary. The leader answers a
// watch without changes before it times out, so a watch that times out shows that the
// leader is lost.
func (w *watchTask) watch() (peer.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.watchDuration())
	defer cancel()
	w.takeCounts()
	w.takeUsages()
	request := w.following.Request
	request.Counts, request.Usages = w.counts, w.usages
	response, err := w.leader.Call(ctx, request)
	if err != nil {
		return peer.WatchResponse{}, err
	}
	w.counts, w.usages = nil, nil
	update, ok := response.(peer.WatchResponse)
	if !ok || update.Epoch < w.following.Request.Epoch {
		return peer.WatchResponse{}, &peer.RefusedError{Code: peer.CodeNotLeader, Reason: "an older leader answered"}
	}
	return update, nil
}

// takeCounts takes the counts of the entry task for the next watch, unless former ones are
// not reported yet.
func (w *watchTask) takeCounts() {
	if !w.rolloutsRun || w.counts != nil {
		return
	}
	reply := make(chan []rollout.Report, 1)
	select {
	case w.gateway.task.mailbox <- countsMessage{reply}:
	case <-w.ctx.Done():
		return
	}
	select {
	case reports := <-reply:
		if len(reports) > 0 {
			w.counts = &peer.Counts{Reports: reports}
		}
	case <-w.ctx.Done():
	}
}

// watchDuration returns the limit for a watch. Before the first view it is short, so
// that the search for a copy soon follows.
func (w *watchTask) watchDuration() time.Duration {
	if w.following.Request.Epoch == 0 && !w.copied {
		return firstWatchDuration
	}
	return peer.WatchDuration(w.following.Request.Followers)
}

// searchLogInterval limits the log lines about a search for the leader that goes on.
const searchLogInterval = 5 * time.Second

// watchFailed counts a failed watch. It logs the loss of contact with the
// control instances once it has lasted for controlContactTimeout, and then from time
// to time which instances are asked for the leader.
func (w *watchTask) watchFailed(err error) {
	w.gateway.options.Metrics.GetOrCreateCounter("oriolepost_watch_errors_total").Inc()
	age := w.gateway.controlContactAge()
	if age < controlContactTimeout {
		return
	}
	now := time.Now()
	if w.connected {
		w.connected = false
		w.searchLogAt = now
		w.gateway.options.Log.WithError(err).WithFields(log.Fields{
			"change": "control", "from": "connected", "to": "disconnected", "epoch": w.following.Request.Epoch, "revision": w.following.Request.Revision,
		}).Warn("lost contact with the control instances")
	}
	if now.Before(w.searchLogAt) {
		return
	}
	w.searchLogAt = now.Add(searchLogInterval)
	w.gateway.options.Log.WithError(err).WithFields(log.Fields{
		"change": "control", "asked": w.leader.Address(), "instances": w.leader.Instances(), "control_contact_age_ms": age.Milliseconds(),
		"version": w.gateway.configurationVersion(), "epoch": w.following.Request.Epoch,
	}).Warn("searching for the leader")
}

// handle passes the answer to a watch that was sent at a time on to the entry task.
func (w *watchTask) handle(response peer.WatchResponse, sent timer.Stamp) {
	gateway := w.gateway
	view, err := w.following.Take(response)
	if err != nil {
		gateway.options.Log.WithError(err).WithField("epoch", response.Epoch).Error("could not decode the view from the leader")
		return
	}
	if response.DigestWanted {
		return
	}
	message := viewMessage{position: placement.PositionReported{Index: response.Index, Count: response.Count}, leaderEpoch: response.Epoch}
	if view != nil {
		message.view, message.epoch, message.revision = view, response.Epoch, response.Revision
		w.learnControlInstances(*view)
		w.rolloutsRun = slices.ContainsFunc(view.Splits, func(s rollout.Split) bool { return s.ID != 0 })
	}
	received := timer.Now()
	age := time.Duration(response.AgeMS) * time.Millisecond
	message.contact = &controlContact{at: received.Before(age), confirms: peer.ConfirmsRelayed(sent, received, response.Followers, age), proven: peer.ProvenAt(sent, response)}
	if !w.connected {
		w.connected = true
		gateway.options.Log.WithFields(log.Fields{
			"change": "control", "from": "disconnected", "to": "connected", "epoch": response.Epoch, "revision": response.Revision,
		}).Info("connected to the control instances")
	}
	select {
	case gateway.task.mailbox <- message:
	case <-w.ctx.Done():
	}
}

// learnControlInstances takes the control instances of a view into the search for the
// leader.
func (w *watchTask) learnControlInstances(view peer.View) {
	if len(view.Control) > 0 && !slices.Equal(view.Control, w.controlInstances) {
		w.controlInstances = view.Control
		w.updateLeaderSearch()
	}
}

// updateLeaderSearch sets the instances among which the leader is searched: the
// seeds, and the control instances from the view. With the latter, the leader
// is found even if none of the seeds exists any more.
func (w *watchTask) updateLeaderSearch() {
	list := append([]search.Instance(nil), w.seeds...)
	for _, ip := range w.controlInstances {
		list = append(list, search.Instance{Name: ip, Address: control.PeerAddress(ip, w.gateway.settings.PeerPort)})
	}
	w.leader.SetInstances(list)
}
