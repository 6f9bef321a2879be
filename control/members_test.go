package control_test

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/timer"
)

// leave stops instances at the same time as SIGTERM does.
func (b *fixture) leave(names []string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var left sync.WaitGroup
	for _, name := range names {
		left.Go(func() { b.instances[name].control.Leave(ctx) })
	}
	left.Wait()
	gomega.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
	for _, name := range names {
		b.stop(name)
	}
}

// voters returns the names of the voters that an instance has in its log. With expect, it
// repeats the question until these are the voters: lost ones are replaced with a delay.
func (b *fixture) voters(testCase script.Case, name string) string {
	deadline := time.Now().Add(2 * callTimeout)
	for {
		names := b.votersOnce(name)
		if slices.Equal(names, testCase.List("expect")) || testCase.Args["expect"] == "" || time.Now().After(deadline) {
			return cmp.Or(strings.Join(names, " "), "none")
		}
		timer.Pause(context.Background(), 50*time.Millisecond)
	}
}

// loggedErrors returns the errors that an instance has logged since the last call. With
// wait it waits for one.
func (b *fixture) loggedErrors(testCase script.Case, name string) string {
	logged := b.instances[name].errors
	if testCase.Bool("wait") {
		gomega.Eventually(func() int { return len(logged) }, callTimeout).Should(gomega.BeNumerically(">", 0))
	}
	var lines []string
	for len(logged) > 0 {
		entry := <-logged
		members, _ := entry.Fields["members"].(replica.Members)
		line := entry.Message + ":"
		for _, n := range slices.Sorted(maps.Keys(addresses)) {
			if slices.ContainsFunc(members.Voters, func(id string) bool { return replica.InstanceOf(id) == addresses[n] }) {
				line += " " + n
			}
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

func (b *fixture) votersOnce(name string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := peer.NewPool(ctx, peer.Options{}).Call(ctx, control.PeerAddress(addresses[name], b.port), peer.IdentifyRequest{})
	identity, ok := response.(peer.IdentifyResponse)
	if err != nil || !ok || identity.Members == nil {
		return nil
	}
	var names []string
	for _, n := range slices.Sorted(maps.Keys(addresses)) {
		for _, id := range identity.Members.Voters {
			switch {
			case id == replica.ID(addresses[n], ""):
				names = append(names, "no-"+n)
			case replica.InstanceOf(id) == addresses[n]:
				names = append(names, n)
			}
		}
	}
	return names
}
