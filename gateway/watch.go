package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/timer"
)

// watchTimeout bounds one watch: the leader's pause, and some time more. A
// leader that is gone shows itself by it.
const watchTimeout = 900 * time.Millisecond

// watchTask follows the view of the leader of the control instances.
type watchTask struct {
	gateway *Gateway
	ctx     context.Context
	leader  *peer.Leader
	seeds   []peer.Address
	// control are the instances that the newest whole view named, and reseed
	// brings the seeds of changed settings.
	control []string
	reseed  chan []peer.Address
	// view is what the task knows, as the next watch tells it.
	view    peer.WatchRequest
	inTouch bool
}

// watchRetryPause is the pause after a watch that failed.
const watchRetryPause = 50 * time.Millisecond

func (w *watchTask) run() {
	w.view.Entry = w.gateway.settings.Instance
	for w.ctx.Err() == nil {
		select {
		case w.seeds = <-w.reseed:
			w.learn()
		default:
		}
		v, err := w.watch()
		if err != nil {
			w.lost(err)
			timer.Pause(w.ctx, watchRetryPause)
			continue
		}
		w.take(v)
	}
}

func (w *watchTask) watch() (peer.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(w.ctx, watchTimeout)
	defer cancel()
	response, err := w.leader.Call(ctx, w.view)
	if err != nil {
		return peer.WatchResponse{}, err
	}
	v, ok := response.(peer.WatchResponse)
	if !ok || v.Epoch < w.view.Epoch {
		return peer.WatchResponse{}, &peer.RefusedError{Code: peer.CodeNotLeader, Reason: "an older leader answered"}
	}
	return v, nil
}

// lost logs that the control instances are out of reach, once they have been
// for as long as an entry counts as in touch.
func (w *watchTask) lost(err error) {
	w.gateway.options.Metrics.GetOrCreateCounter("oriolepost_watch_errors_total").Inc()
	if w.inTouch && w.gateway.touchAge() >= touchTimeout {
		w.inTouch = false
		w.gateway.options.Log.WithError(err).WithFields(log.Fields{
			"change": "control", "from": "in touch", "to": "out of touch", "epoch": w.view.Epoch, "revision": w.view.Revision,
		}).Warn("control instances are out of reach")
	}
}

func (w *watchTask) take(r peer.WatchResponse) {
	g := w.gateway
	m := viewMail{place: placement.Placed{Index: r.Index, Count: r.Count}}
	if len(r.View) > 0 {
		v, err := peer.DecodeView(r.View)
		if err != nil {
			g.options.Log.WithError(err).WithField("epoch", r.Epoch).Error("view from the leader is not readable")
			return
		}
		m.view, m.epoch, m.revision = &v, r.Epoch, r.Revision
		w.follow(r, v)
	}
	g.touched.Store(int64(time.Since(g.origin)))
	if !w.inTouch {
		w.inTouch = true
		g.options.Log.WithFields(log.Fields{
			"change": "control", "from": "out of touch", "to": "in touch", "epoch": r.Epoch, "revision": r.Revision,
		}).Info("control instances are reached")
	}
	w.view.Index, w.view.Count = r.Index, r.Count
	select {
	case g.task.mailbox <- m:
	case <-w.ctx.Done():
	}
}

// follow notes which view the entry has from now on.
func (w *watchTask) follow(r peer.WatchResponse, v peer.View) {
	if r.Epoch != w.view.Epoch {
		w.control = v.Control
		w.learn()
	}
	if v.Configuration != nil {
		w.view.Version = max(w.view.Version, v.Configuration.Version)
	}
	w.view.Epoch, w.view.Revision = r.Epoch, r.Revision
	w.view.FleetRevision, w.view.Settled = v.FleetRevision, v.Settled
}

// learn remembers the control instances, so that they are found when the
// seeds of the settings are gone.
func (w *watchTask) learn() {
	list := append([]peer.Address(nil), w.seeds...)
	for _, ip := range w.control {
		list = append(list, peer.Address{Instance: ip, Address: control.PeerAddress(ip, w.gateway.settings.PeerPort)})
	}
	w.leader.Learn(list)
}
