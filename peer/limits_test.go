package peer

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/route"
)

// largestConfiguration returns a configuration whose order has nearly 8 MiB, of many
// short routes: their decoded form is largest relative to the order.
func largestConfiguration() record.PutConfiguration {
	const order = `{"ffff":"r0000000","ffff":"h","fffffffffff":"/0000000","ffffffffff":"safe","ffffffffff":1,"fffffffffffffffff":1,"ffffffff":0,"ffffffffffff":1,"fffffff":"s"},`
	var c record.PutConfiguration
	for i := range (8 << 20) / len(order) {
		c.Configuration.Routes = append(c.Configuration.Routes, route.Route{
			Name: fmt.Sprintf("r%07d", i), Host: "h", Prefix: fmt.Sprintf("/%07d", i), Idempotent: true, Timeout: time.Millisecond,
			Objective: time.Millisecond, MaxAttempts: 1, Services: []route.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	c.Original = []byte(strings.Repeat(order, len(c.Configuration.Routes)))
	return c
}

var _ = ginkgo.Describe("size of a message", func() {
	// A limit that the largest configuration does not keep would leave the voters
	// without it, and the instances that start without a view.
	ginkgo.It("admits the largest configuration and a snapshot with it, with headroom", func() {
		largest := largestConfiguration()
		_, params, _, err := encodeRequest(ProposeRequest{Command: largest})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		proposed, err := json.Marshal(params)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		state := catalog.Catalog{Configuration: &largest.Configuration, Original: largest.Original}
		snapshot, err := json.Marshal(state)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		inMessage, err := json.Marshal(snapshot)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.GinkgoWriter.Println("proposal", len(proposed)>>20, "MiB, snapshot", len(inMessage)>>20, "MiB")
		gomega.Expect(len(proposed)).To(gomega.BeNumerically("<", maxMessageBytes*3/4))
		gomega.Expect(len(inMessage)).To(gomega.BeNumerically("<", maxMessageBytes*3/4))
	})

	// A message without an end grew in memory until the process had none left.
	ginkgo.It("closes the connection of a message that is too long", func() {
		client, server := net.Pipe()
		stream := newMessageStream(server, nil)
		go func() {
			_, _ = io.WriteString(client, `{"method":"`)
			part := []byte(strings.Repeat("m", 1<<20))
			for err := error(nil); err == nil; {
				_, err = client.Write(part)
			}
		}()
		var v any
		gomega.Expect(stream.ReadObject(&v)).To(gomega.MatchError(errMessageTooLong))
		gomega.Expect(stream.Close()).To(gomega.Succeed())
	})
})
