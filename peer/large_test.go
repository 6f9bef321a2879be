package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/search"
	"github.com/oriolepost/oriolepost/timer"
)

// slowConn is a connection that carries bytesPerSecond.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

// Write implements net.Conn.
func (c slowConn) Write(p []byte) (int, error) {
	timer.Pause(context.Background(), time.Duration(len(p))*time.Second/time.Duration(c.bytesPerSecond))
	return c.Conn.Write(p)
}

var _ = ginkgo.Describe("large messages", func() {
	// A leader's heartbeats waited behind an order, and the leader was voted out.
	ginkgo.It("are overtaken by smaller ones that are sent later", func(ctx context.Context) {
		arrived := make(chan int, 2)
		address := listen(ctx, func(_ context.Context, r peer.Request) (peer.Response, error) {
			arrived <- len(r.(peer.ReplicaMessage).Message.(replica.AppendRequest).Entries)
			return peer.Nothing{}, nil
		})
		pool := peer.NewPool(ctx, peer.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp", address)
			return slowConn{c, 1 << 20}, err
		}})
		order := replica.AppendRequest{Entries: []replica.Entry{{Data: make([]byte, 600<<10)}}}
		pool.Notify(address, peer.ReplicaMessage{Message: order, Large: true})
		pool.Notify(address, peer.ReplicaMessage{Message: replica.AppendRequest{}})
		gomega.Eventually(arrived, 5*time.Second).Should(gomega.Receive(gomega.Equal(0)))
		gomega.Eventually(arrived, 5*time.Second).Should(gomega.Receive(gomega.Equal(1)))
	}, ginkgo.NodeTimeout(20*time.Second))

	// Each attempt was given up before the leader could answer it, and the order sent anew.
	ginkgo.It("are not repeated while the leader works on them", func(ctx context.Context) {
		var attempts atomic.Int32
		address := listen(ctx, func(ctx context.Context, _ peer.Request) (peer.Response, error) {
			attempts.Add(1)
			timer.Pause(ctx, time.Second)
			return peer.ProposeResponse{Result: record.Done{Index: 1}}, nil
		})
		client := peer.NewLeaderClient(peer.NewPool(ctx, peer.Options{}), []search.Instance{{Name: "127.0.7.1", Address: address}})
		_, err := client.Call(ctx, peer.ProposeRequest{Command: record.PutConfiguration{Original: make([]byte, 300<<10)}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(attempts.Load()).To(gomega.Equal(int32(1)))
	}, ginkgo.NodeTimeout(20*time.Second))
})

// listen starts a server and returns its address.
func listen(ctx context.Context, handler peer.Handler) string {
	l, err := net.Listen("tcp", "127.0.7.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	address := l.Addr().String()
	gomega.Expect(l.Close()).To(gomega.Succeed())
	_, err = peer.Listen(ctx, address, peer.Options{}, handler)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return address
}
