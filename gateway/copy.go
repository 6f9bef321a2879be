package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/route"
)

// copyTimeout limits the search for a copy of the view. Without one, the leader sends
// the full view.
const copyTimeout = 400 * time.Millisecond

// minCopyRetryDelay is the mean delay between the first two searches for a copy. The delay then doubles up to
// maxCopyRetryDelay.
const (
	minCopyRetryDelay = 200 * time.Millisecond
	maxCopyRetryDelay = 1600 * time.Millisecond
)

// firstWatchDuration limits a watch of an entry without a view. A voter that is not
// overloaded answers within it.
const firstWatchDuration = 350 * time.Millisecond

// takeCopy takes a copy of the view from a control instance that is drawn at random,
// and starts to serve with it. When hundreds of entries start together, the leader
// alone could not send each of them the full view at once. The entry does not count as
// connected, and uses no cold upstream, before the leader has answered.
func (w *watchTask) takeCopy() {
	ctx, cancel := context.WithTimeout(w.ctx, copyTimeout)
	defer cancel()
	known := w.leader.Instances()
	response, err := w.pool.Call(ctx, known[rand.IntN(len(known))], peer.IdentifyRequest{})
	identity, ok := response.(peer.IdentifyResponse)
	if err != nil || !ok {
		return
	}
	w.leader.Refer(identity.Known)
	sources := append([]string{identity.Instance}, identity.Known...)
	instance := sources[rand.IntN(len(sources))]
	response, err = w.pool.Call(ctx, control.PeerAddress(instance, w.gateway.settings.PeerPort), peer.CopyRequest{})
	copied, ok := response.(peer.CopyResponse)
	if err != nil || !ok {
		return
	}
	view, err := peer.DecodeView(copied.View)
	if err != nil || view.Configuration == nil {
		w.gateway.options.Log.WithFields(log.Fields{"instance": instance, "bytes": len(copied.View)}).WithError(err).Warn("could not use the copy of the view")
		return
	}
	w.copied = true
	w.following.Mirror.Put(view.Upstreams)
	w.following.Request.Version, w.following.Request.Digest = route.VersionOf(view.Configuration), peer.EncodeDigest(w.following.Mirror.Digest)
	if view.Quarantine != nil {
		w.following.Request.Quarantine = view.Quarantine.ID
	}
	view.FleetComplete = false
	select {
	case w.gateway.task.mailbox <- viewMessage{view: &view}:
	case <-w.ctx.Done():
	}
}
