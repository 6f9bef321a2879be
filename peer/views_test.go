package peer_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/script"
)

// formerView is the view of the version before the quarantine, as far as the test needs it.
type formerView struct {
	FleetRevision uint64   `json:"fleet_revision"`
	OutDomains    []string `json:"out_domains,omitempty"`
}

// Guards against instances of two versions that can't read each other's views and watches
// while they are exchanged one by one.
var _ = script.Describe("views", "testdata/views/*.txt", func() script.Handler {
	return func(c script.Case) string {
		switch c.Command {
		case "decode":
			data, err := jsonform.Compress([]byte(c.Input))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			view, err := peer.DecodeView(data)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			following := peer.NewFollowing("e1")
			following.Request.Quarantine = "1/2"
			_, err = following.Take(peer.WatchResponse{Epoch: 1, View: data})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return fmt.Sprintf("revision=%d quarantine=%v next=%s", view.FleetRevision, view.Quarantine != nil, following.Request.Quarantine)
		case "decode_by_former":
			data, err := peer.EncodeView(view(c))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			data, err = jsonform.Decompress(data)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			var former formerView
			gomega.Expect(json.Unmarshal(data, &former)).To(gomega.Succeed())
			return fmt.Sprintf("%s\nrevision=%d out=%s", bytes.TrimSpace(data), former.FleetRevision, strings.Join(former.OutDomains, ","))
		}
		return "unknown command"
	}
})

func view(c script.Case) peer.View {
	v := peer.View{FleetRevision: 7, OutDomains: []string{"palermo"}}
	if c.Bool("quarantine") {
		v.Quarantine = &peer.Quarantine{ID: "1/3", Listings: []quarantine.Listing{{
			Fingerprint: "f", Quarantined: true, Crashes: []quarantine.Crash{{Upstream: quarantine.Incarnation{ID: "u1", StartMS: 5}, SentAgoMS: 40}},
		}}}
	}
	return v
}
