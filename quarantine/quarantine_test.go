package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/script"
)

func TestQuarantine(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "quarantine")
}

// steps tests the decisions of one leader and of entries that the test file names. Nothing
// is delivered between them but what the file says.
type steps struct {
	now     time.Time
	holders map[string]*quarantine.Holder
	// reports holds, by entry, the sightings that were not delivered yet.
	reports map[string][]quarantine.Sighting
	owner   *quarantine.Owner
	epoch   uint64
}

var _ = script.Describe("steps", "testdata/steps/*.txt", func() script.Handler {
	s := &steps{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), holders: map[string]*quarantine.Holder{}, reports: map[string][]quarantine.Sighting{},
		owner: quarantine.NewOwner(), epoch: 1,
	}
	return s.run
})

func (s *steps) holder(name string) *quarantine.Holder {
	if s.holders[name] == nil {
		s.holders[name] = quarantine.NewHolder()
	}
	return s.holders[name]
}

func (s *steps) run(c script.Case) string {
	s.now = s.now.Add(time.Duration(c.Int("after", 0)) * time.Millisecond)
	at, f := c.Args["at"], quarantine.Fingerprint(c.Args["content"])
	sentAt := s.now.Add(-time.Duration(c.Int("sent_ago", 100)) * time.Millisecond)
	switch c.Command {
	case "crash":
		return s.step(at, quarantine.Crashed{Fingerprint: f, Upstream: quarantine.Incarnation{ID: c.Args["upstream"], StartMS: int64(c.Int("born", 1))}, SentAt: sentAt})
	case "crashes":
		for i := range c.Int("count", 1) {
			f := quarantine.Fingerprint(fmt.Sprintf("%s-%d", f, i))
			s.step(at, quarantine.Crashed{Fingerprint: f, Upstream: quarantine.Incarnation{ID: fmt.Sprintf("m%d", i)}, SentAt: sentAt})
		}
		return ""
	case "answer":
		return s.step(at, quarantine.Answered{Fingerprint: f, SentAt: sentAt})
	case "deliver":
		effects := s.owner.Step(s.now, quarantine.Reported{Sightings: s.reports[at]})
		delete(s.reports, at)
		return effectTexts(effects)
	case "list":
		return s.step(at, quarantine.Listed{Epoch: s.epoch, Listings: s.owner.Listings(s.now)})
	case "listings":
		return listingTexts(s.owner.Listings(s.now))
	case "new_leader":
		listings := s.owner.Listings(s.now)
		s.owner = quarantine.NewOwner()
		s.epoch++
		if c.Bool("follower") {
			return effectTexts(s.owner.Step(s.now, quarantine.Adopted{Listings: listings}))
		}
		return ""
	case "leader_changed":
		return s.step(at, quarantine.LeaderChanged{})
	case "probe":
		return s.probe(at, f)
	case "check":
		return s.step(at, quarantine.Checked{})
	case "prune":
		return effectTexts(s.owner.Step(s.now, quarantine.Pruned{}))
	case "may":
		h := s.holder(at)
		suspected, quarantined := h.Count()
		return fmt.Sprintf("send=%v first_retry=%v second_retry=%v suspected=%d quarantined=%d", !h.Quarantined(s.now, f), h.MayRepeat(s.now, f, 1), h.MayRepeat(s.now, f, 2), suspected, quarantined)
	}
	return "unknown command"
}

// probe asks the leader for a probe if the entry may ask.
func (s *steps) probe(at string, f quarantine.Fingerprint) string {
	if !s.holder(at).ProbeDue(s.now, f) {
		return "not asked"
	}
	allowed, askAgain := s.owner.AllowProbe(s.now, f)
	s.step(at, quarantine.ProbeAsked{Fingerprint: f, AskAgain: askAgain})
	return fmt.Sprintf("allowed=%v ask_again=%s", allowed, askAgain)
}

func (s *steps) step(at string, e quarantine.HolderEvent) string {
	effects := s.holder(at).Step(s.now, e)
	for _, effect := range effects {
		if r, ok := effect.(quarantine.Report); ok {
			s.reports[at] = append(s.reports[at], r.Sightings...)
		}
	}
	return effectTexts(effects)
}

func effectTexts(effects []quarantine.Effect) string {
	var lines []string
	for _, effect := range effects {
		switch e := effect.(type) {
		case quarantine.Report:
			for _, r := range e.Sightings {
				lines = append(lines, fmt.Sprintf("report %s upstream=%s born=%d answered=%v sent_ago=%d", r.Fingerprint, r.Upstream.ID, r.Upstream.StartMS, r.Answered, r.SentAgoMS))
			}
		case quarantine.LevelChanged:
			lines = append(lines, fmt.Sprintf("%s from %s to %s crashes=%d %s", e.Fingerprint, e.From, e.To, e.Crashes, e.Reason))
		}
	}
	return strings.Join(lines, "\n")
}

func listingTexts(listings []quarantine.Listing) string {
	var lines []string
	for _, l := range listings {
		lines = append(lines, fmt.Sprintf("%s crashes=%d quarantined=%v answered=%v", l.Fingerprint, len(l.Crashes), l.Quarantined, l.Answered))
	}
	return strings.Join(lines, "\n")
}
