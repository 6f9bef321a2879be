package peer_test

import (
	"context"
	"testing"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/peer"
)

// BenchmarkAllowance sends reports to a server in the same process, one after another. The
// time is that of both sides, with the encoding and two system calls each.
func BenchmarkAllowance(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const address = "127.0.9.31:17931"
	_, err := peer.Listen(ctx, address, peer.Options{}, func(_ context.Context, r peer.Request) (peer.Response, error) {
		report := r.(peer.AllowanceRequest).Report
		return peer.AllowanceResponse{Reply: allowance.Reply{Owner: "1", Items: []allowance.Grant{{Key: report.Items[0].Key, Tokens: 2, LifetimeMS: 1200}}}}, nil
	})
	if err != nil {
		b.Fatal(err)
	}
	pool := peer.NewPool(ctx, peer.Options{})
	request := peer.AllowanceRequest{Report: allowance.Report{
		Holder: "palermo-1/5f", Sequence: 7, AgeMS: 100000, Owner: "1",
		Items: []allowance.ReportItem{{Key: "retries/booking", FirstPart: 700, Counts: []int{3, 2}, Spent: 40, Wanted: 3}},
	}}
	for b.Loop() {
		if _, err := pool.Call(ctx, address, request); err != nil {
			b.Fatal(err)
		}
	}
}
