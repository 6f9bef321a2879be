// Package control runs an instance that holds the system's state: the
// replicated log with configuration, orders and departures, and the fleet of
// upstreams as they announce themselves.
//
// Every control instance takes every call of operators and upstreams and
// brings it to the leader. The leader commits what must not be lost, and keeps
// the fleet in memory, since upstreams announce themselves again and again.
// Entries follow the leader's view by long polling: a watch is answered when
// there is news, or after a pause, so it also tells both sides that the other
// is there. A new leader begins with what it heard as a follower; entries keep
// what a new leader does not know yet until it has led for a while.
//
// # Usage
//
//	c, err := control.Start(ctx, deployment, control.Options{Log: logger, Metrics: set})
//	response, err := c.Call(ctx, peer.AnnounceRequest{Upstream: u})
package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/timer"
)

// Options are what a control instance is given besides its settings.
type Options struct {
	Log     log.Interface
	Metrics *metrics.Set
	// Dial replaces TCP between instances; tests cut it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Control is a running control instance.
type Control struct {
	task   *task
	leader *peer.Leader
	peers  *peer.Server
	folder *disk.Folder
	// Done gets the error that ended the task, or nil after the context ended.
	Done chan error
}

// PeerAddress is where the instance with an IP takes its peers' messages.
func PeerAddress(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Seeds gives the peer addresses of the instances that the settings name.
func Seeds(d settings.Deployment) ([]peer.Address, error) {
	var out []peer.Address
	for _, s := range d.Seeds {
		host, _, err := net.SplitHostPort(s)
		if err != nil {
			return nil, fmt.Errorf("seed %q: %w", s, err)
		}
		out = append(out, peer.Address{Instance: host, Address: PeerAddress(host, d.PeerPort)})
	}
	return out, nil
}

// NewLeader looks for the leader among the seeds, and wherever these point to.
func NewLeader(pool *peer.Pool, seeds []peer.Address, port int) *peer.Leader {
	l := peer.NewLeader(pool, seeds)
	l.Locate(func(instance string) string { return PeerAddress(instance, port) })
	return l
}

// Start opens the data folder and starts the instance.
func Start(ctx context.Context, d settings.Deployment, o Options) (c *Control, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start control instance %s: %w", d.Instance, err)
		}
	}()
	seeds, err := Seeds(d)
	if err != nil {
		return nil, err
	}
	folder, err := openFolder(ctx, d, o.Log)
	if err != nil {
		return nil, err
	}
	pool := peer.NewPool(ctx, peer.Options{Metrics: o.Metrics, Dial: o.Dial})
	leader := NewLeader(pool, seeds, d.PeerPort)
	c = &Control{folder: folder, leader: leader, Done: make(chan error, 1)}
	if c.task, err = newTask(ctx, d, o, folder, pool, c.leader, seeds); err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	listen := PeerAddress(d.IP, d.PeerPort)
	c.peers, err = peer.Listen(ctx, listen, peer.Options{Metrics: o.Metrics}, c.task.handle)
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	go func() {
		err := c.task.run()
		c.Done <- errors.Join(err, folder.Close())
	}()
	return c, nil
}

// openFolder opens the data folder, and waits for room on a full disk.
func openFolder(ctx context.Context, d settings.Deployment, l log.Interface) (*disk.Folder, error) {
	for {
		folder, err := disk.Open(d.DataFolder, d.IP, randomID())
		if !errors.Is(err, syscall.ENOSPC) {
			return folder, err
		}
		l.WithError(err).WithField("change", "disk").Error("disk is full")
		if !timer.Pause(ctx, fullPause) {
			return nil, err
		}
	}
}

// Call brings a request to the leader, which may be this instance.
func (c *Control) Call(ctx context.Context, r peer.Request) (peer.Response, error) {
	response, err := c.task.handle(ctx, r)
	var refused *peer.RefusedError
	if err == nil || !errors.As(err, &refused) || refused.Code == peer.CodeMalformed {
		return response, err
	}
	return c.leader.Call(ctx, r)
}

// Reseed takes the seeds of changed settings, for finding the leader.
func (c *Control) Reseed(d settings.Deployment) error {
	seeds, err := Seeds(d)
	if err != nil {
		return fmt.Errorf("take new seeds: %w", err)
	}
	c.leader.Learn(seeds)
	return nil
}

// HandOver lets another instance lead before this one stops.
func (c *Control) HandOver(ctx context.Context) {
	for {
		done := make(chan bool, 1)
		if c.task.post(handOverMail{done}) != nil {
			return
		}
		select {
		case over := <-done:
			if over {
				return
			}
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(handOverPause):
		case <-ctx.Done():
			return
		}
	}
}

// handOverPause is the pause between two looks at whether another leads.
const handOverPause = 50 * time.Millisecond

// randomID returns the identity of a data folder.
func randomID() string {
	var b [8]byte
	// The reader of the standard library never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
