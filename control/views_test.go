package control_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/settings"
)

// watch follows the leader's view as an entry does, and returns its text. It
// repeats the watch until the text has the prefix given by expect and contains
// the text given by contains: the leader gets an upstream's announcement with a
// delay.
func (b *fixture) watch(testCase script.Case, name string) string {
	request := b.watches[testCase.Args["entry"]]
	request.Entry, request.Compares = testCase.Args["entry"], testCase.Bool("compares")
	mirror := b.mirrors[request.Entry]
	if mirror == nil {
		mirror = fleet.NewMirror()
		b.mirrors[request.Entry] = mirror
	}
	deadline := time.Now().Add(callTimeout)
	full, compared := false, ""
	for {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		response, err := b.instances[name].control.Call(ctx, request)
		cancel()
		update, ok := response.(peer.WatchResponse)
		if err != nil || !ok {
			return "refused"
		}
		if update.DigestWanted {
			compared = " compared"
			request.Digest = peer.EncodeDigest(mirror.Digest)
			continue
		}
		var view peer.View
		if len(update.View) > 0 {
			view, err = peer.DecodeView(update.View)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			mirror.Remove(view.Removed)
			mirror.Put(view.Upstreams)
			request.Digest = ""
			request.FleetRevision, request.FleetComplete = view.FleetRevision, view.FleetComplete
			if view.Quarantine != nil {
				request.Quarantine = view.Quarantine.ID
			}
		}
		request.Epoch, request.Revision, request.Index, request.Count, request.Followers = update.Epoch, update.Revision, update.Index, update.Count, update.Followers
		b.watches[testCase.Args["entry"]] = request
		view.Full = view.Full || full
		text := viewText(update, view, compared)
		if testCase.Bool("quarantine") {
			text = quarantineText(view)
		}
		if strings.HasPrefix(text, testCase.Args["expect"]) && strings.Contains(text, testCase.Args["contains"]) || time.Now().After(deadline) {
			return text
		}
		full = view.Full
	}
}

// copyWait is less than the time for which a request for a copy waits for a leader.
const copyWait = 250 * time.Millisecond

// copiesOfView asks several instances for their copies of the view at the same time. The
// order of the texts is that of the names.
func (b *fixture) copiesOfView(names []string, untilGiven bool) string {
	texts := make([]chan string, len(names))
	for i, name := range names {
		texts[i] = make(chan string, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			text := b.copyOfView(name)
			for deadline := time.Now().Add(callTimeout); untilGiven && strings.HasPrefix(text, "refused") && time.Now().Before(deadline); {
				text = b.copyOfView(name)
			}
			texts[i] <- text
		}()
	}
	var lines []string
	for _, text := range texts {
		lines = append(lines, <-text)
	}
	return strings.Join(lines, "\n")
}

// copyOfView asks one instance for its copy of the view. Of a refusal it reports whether
// it came immediately.
func (b *fixture) copyOfView(name string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := time.Now()
	response, err := peer.NewPool(ctx, peer.Options{}).Call(ctx, control.PeerAddress(addresses[name], b.port), peer.CopyRequest{})
	copied, ok := response.(peer.CopyResponse)
	if err != nil || !ok {
		return fmt.Sprintf("refused, immediately: %v", time.Since(start) < copyWait)
	}
	view, err := peer.DecodeView(copied.View)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return fmt.Sprintf("full=%v version=%d upstreams=%d", view.Full, view.Configuration.Version, len(view.Upstreams))
}

// findLeader searches for the leader as an entry does that has just started and knows
// only the seeds.
func (b *fixture) findLeader() string {
	list, err := control.Seeds(settings.Deployment{PeerPort: b.port, Seeds: seeds()})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := control.NewLeaderClient(peer.NewPool(ctx, peer.Options{}), list, b.port)
	response, err := client.Call(ctx, peer.WatchRequest{Entry: "e9"})
	if _, ok := response.(peer.WatchResponse); err != nil || !ok {
		return "not found"
	}
	return "found"
}

// refusedWatch sends one watch to an instance without a leader, and reports
// whether it was refused, and whether immediately. An entry would retry
// immediately after an immediate refusal.
func (b *fixture) refusedWatch(name string) string {
	pool := peer.NewPool(context.Background(), peer.Options{})
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := pool.Call(ctx, control.PeerAddress(addresses[name], b.port), peer.WatchRequest{Entry: "e1"})
	return fmt.Sprintf("refused: %v, immediately: %v", err != nil, time.Since(start) < 50*time.Millisecond)
}

// connectEntries sends the first watches of many entries, one after another,
// and reports whether full views were encoded more often than allowed.
func (b *fixture) connectEntries(testCase script.Case, name string) string {
	for i := range testCase.Int("entries", 1) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		response, err := b.instances[name].control.Call(ctx, peer.WatchRequest{Entry: fmt.Sprintf("entry-%d", i)})
		cancel()
		v, ok := response.(peer.WatchResponse)
		if err != nil || !ok || len(v.View) == 0 {
			return "refused"
		}
	}
	encoded := uint64(0)
	for _, i := range b.instances {
		encoded += i.metrics.GetOrCreateCounter("oriolepost_whole_views_total").Get()
	}
	return fmt.Sprintf("too many encodings: %v", encoded > uint64(testCase.Int("max_encodings", 1)))
}

// answeredInTime sends the watch of an entry that has the newest view, and reports whether
// it is answered before the entry gives up.
func (b *fixture) answeredInTime(testCase script.Case, name string) string {
	request := b.watches[testCase.Args["entry"]]
	request.Entry = testCase.Args["entry"]
	ctx, cancel := context.WithTimeout(context.Background(), peer.WatchDuration(request.Followers))
	defer cancel()
	_, err := b.instances[name].control.Call(ctx, request)
	return fmt.Sprint(err == nil)
}

func viewText(r peer.WatchResponse, v peer.View, compared string) string {
	lines := []string{fmt.Sprintf("entry %d of %d full=%v%s", r.Index, r.Count, v.Full, compared)}
	for _, u := range v.Upstreams {
		lines = append(lines, fmt.Sprintf("%s born=%d draining=%v", u.ID, u.StartMS, u.Draining))
	}
	for _, split := range v.Splits {
		lines = append(lines, splitText(split))
	}
	if len(v.Removed) > 0 {
		lines = append(lines, "removed "+strings.Join(v.Removed, " "))
	}
	if len(v.OutDomains) > 0 {
		lines = append(lines, "out "+strings.Join(v.OutDomains, " "))
	}
	return strings.Join(lines, "\n")
}

// quarantineText returns the list of contents in a view.
func quarantineText(v peer.View) string {
	if v.Quarantine == nil {
		return ""
	}
	var lines []string
	for _, l := range v.Quarantine.Listings {
		lines = append(lines, fmt.Sprintf("%s: crashes=%d quarantined=%v answered=%v", l.Fingerprint, len(l.Crashes), l.Quarantined, l.Answered))
	}
	return strings.Join(lines, "\n")
}
