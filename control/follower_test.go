package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/timer"
)

// follower is an entry that follows the leader or a relay, as package gateway does.
type follower struct {
	last atomic.Pointer[followed]
	load syntheticLoad
}

// followed is what a follower had after its last answer.
type followed struct {
	version   route.OptionalVersion
	upstreams int
	// relayed is true if a relay answered.
	relayed      bool
	index, count int
	// quarantined is the number of contents that were last listed as quarantined.
	quarantined int
}

// follow starts followers, which run until the end of the test file. They reach all
// instances, also those that are cut off from the others.
func (b *fixture) follow(entries int, load syntheticLoad) {
	list, err := control.Seeds(settings.Deployment{PeerPort: b.port, Seeds: seeds()})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	for i := range entries {
		f := &follower{load: load}
		f.last.Store(&followed{})
		b.followers = append(b.followers, f)
		client := control.NewLeaderClient(peer.NewPool(ctx, peer.Options{}), list, b.port)
		go f.run(ctx, client, fmt.Sprintf("entry-%03d", i))
	}
}

func (f *follower) run(ctx context.Context, client *peer.LeaderClient, name string) {
	following := peer.NewFollowing(name)
	upstreams := map[string]bool{}
	quarantined := 0
	requests := newSyntheticRequests(f.load, name)
	for ctx.Err() == nil {
		following.Request.Counts = requests.next(time.Now())
		attempt, cancel := context.WithTimeout(ctx, peer.WatchDuration(following.Request.Followers))
		response, err := client.Call(attempt, following.Request)
		cancel()
		answer, ok := response.(peer.WatchResponse)
		if err != nil || !ok || answer.Epoch < following.Request.Epoch {
			timer.Pause(ctx, 50*time.Millisecond)
			continue
		}
		requests.reported()
		view, err := following.Take(answer)
		if err != nil || answer.DigestWanted {
			continue
		}
		if view != nil {
			requests.follow(view.Splits)
			for _, u := range view.Upstreams {
				upstreams[u.ID] = true
			}
			for _, id := range view.Removed {
				delete(upstreams, id)
			}
			if view.Quarantine != nil {
				quarantined = 0
				for _, l := range view.Quarantine.Listings {
					if l.Quarantined {
						quarantined++
					}
				}
			}
		}
		f.last.Store(&followed{
			version: following.Request.Version, upstreams: len(upstreams), relayed: answer.Source != "", index: answer.Index, count: answer.Count, quarantined: quarantined,
		})
	}
}

// versionOf returns the version that a test file names, or none.
func versionOf(testCase script.Case) route.OptionalVersion {
	if testCase.Args["version"] == "" {
		return route.OptionalVersion{}
	}
	return route.KnownVersion(uint64(testCase.Int("version", 0)))
}

// awaitFollowers waits until all followers have a version and a number of upstreams, and
// have positions of their own, and until the leader has at most as many of them as direct
// says. It reports what is missing after the time limit.
func (b *fixture) awaitFollowers(testCase script.Case) string {
	limit := time.Duration(testCase.Int("within_ms", int(callTimeout.Milliseconds()))) * time.Millisecond
	deadline := time.Now().Add(limit)
	for {
		outdated, direct := 0, 0
		positions := map[int]bool{}
		for _, f := range b.followers {
			last := f.last.Load()
			if last.version != versionOf(testCase) || last.upstreams != testCase.Int("upstreams", 0) || last.quarantined != testCase.Int("quarantined", 0) {
				outdated++
			}
			if !last.relayed {
				direct++
			}
			if last.count == len(b.followers) {
				positions[last.index] = true
			}
		}
		missing := outdated > 0 || direct > testCase.Int("direct", len(b.followers)) || testCase.Bool("positions") && len(positions) < len(b.followers)
		if !missing {
			return "reached"
		}
		if time.Now().After(deadline) {
			return fmt.Sprintf("%d outdated, %d at the leader, %d with a position", outdated, direct, len(positions))
		}
		timer.Pause(context.Background(), 10*time.Millisecond)
	}
}
