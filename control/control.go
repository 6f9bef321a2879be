// Package control runs a control instance, which holds the system's state. The
// state consists of the replicated log, with the configuration, operators'
// orders, recorded upstreams and deregistrations, and of the fleet of announced
// upstreams.
//
// Every control instance accepts all requests of operators and upstreams and
// forwards them to the leader. The leader commits what must not be lost. The log
// records which upstreams there are. The rest of an announcement is kept in
// memory only, since upstreams announce themselves repeatedly.
//
// Entries follow the leader's view by long polling. A watch is answered when
// something changed, or after a timeout, so that each side also learns that the
// other is alive. A new leader starts with the upstreams recorded in the log and
// the announcements that it received as a follower, so its fleet may be
// incomplete at first. Until it has led for the lifetime of an announcement,
// entries keep the upstreams that it does not list.
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

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/search"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/timer"
)

// Options are the dependencies of a control instance, besides its settings.
type Options struct {
	Log     log.Interface
	Metrics *metrics.Set
	// Budget and MaxConns limit what is received at the peer address.
	Budget   *budget.Budget
	MaxConns int
	// Dial replaces TCP between instances. Tests use it to cut connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// CreateFile replaces the opening of the files in the data folder, after that was read.
	// Tests use it for disks that fail.
	CreateFile func(path string) (disk.File, error)
	// OpenFolder replaces [disk.Open]. Tests use it for disks that are full.
	OpenFolder func(path, instance, id string) (*disk.Folder, error)
	// Stop ends the wait for space on a full disk at the start; nil means that only the
	// context of the instance does.
	Stop context.Context
}

// Control is a running control instance.
type Control struct {
	task         *task
	leaderClient *peer.LeaderClient
	peers        *peer.Server
	folder       *disk.Folder
	// Done receives one value when the task has ended: its error, or nil if the
	// context ended it.
	Done chan error
}

// PeerAddress returns the host:port on which the instance with this IP accepts
// its peers' messages.
func PeerAddress(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Seeds returns the peer addresses of the instances that the settings list as
// seeds. The port is the deployment's peer port.
func Seeds(deployment settings.Deployment) ([]search.Instance, error) {
	var addresses []search.Instance
	for _, seed := range deployment.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, fmt.Errorf("seed is %q, allowed: IP:port: %w", seed, err)
		}
		addresses = append(addresses, search.Instance{Name: host, Address: PeerAddress(host, deployment.PeerPort)})
	}
	return addresses, nil
}

// NewLeaderClient returns a client that searches for the leader, first among the
// seeds and then at the instances that their answers name.
func NewLeaderClient(pool *peer.Pool, seeds []search.Instance, port int) *peer.LeaderClient {
	l := peer.NewLeaderClient(pool, seeds)
	l.SetLocator(func(instance string) string { return PeerAddress(instance, port) })
	return l
}

// Start opens the data folder and starts the instance. The instance runs until
// the context ends or its disk fails.
func Start(ctx context.Context, deployment settings.Deployment, options Options) (c *Control, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start control instance %s: %w", deployment.Instance, err)
		}
	}()
	seeds, err := Seeds(deployment)
	if err != nil {
		return nil, err
	}
	folder, err := openFolder(ctx, deployment, options)
	if err != nil {
		return nil, err
	}
	if options.CreateFile != nil {
		folder.Create = options.CreateFile
	}
	pool := peer.NewPool(ctx, peer.Options{Metrics: options.Metrics, Dial: options.Dial})
	leader := NewLeaderClient(pool, seeds, deployment.PeerPort)
	c = &Control{folder: folder, leaderClient: leader, Done: make(chan error, 1)}
	if c.task, err = newTask(ctx, deployment, options, folder, pool, c.leaderClient, seeds); err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	listen := PeerAddress(deployment.IP, deployment.PeerPort)
	c.peers, err = peer.Listen(ctx, listen, peer.Options{Metrics: options.Metrics, Budget: options.Budget, MaxConns: options.MaxConns}, c.task.handle)
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	go func() {
		err := c.task.run()
		c.Done <- errors.Join(err, folder.Close())
	}()
	return c, nil
}

// openFolder opens the data folder. While the disk is full, it retries until the instance is
// to stop.
func openFolder(ctx context.Context, deployment settings.Deployment, options Options) (*disk.Folder, error) {
	open := options.OpenFolder
	if open == nil {
		open = disk.Open
	}
	if options.Stop != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(options.Stop, cancel)()
	}
	for {
		folder, err := open(deployment.DataFolder, deployment.IP, randomID())
		if !errors.Is(err, syscall.ENOSPC) {
			return folder, err
		}
		options.Log.WithError(err).WithField("change", "disk").Error("disk is full; retrying to open the data folder until there is space")
		if !timer.Pause(ctx, diskFullRetryInterval) {
			return nil, err
		}
	}
}

// Call handles a request in this instance. If this instance refuses it, for
// example because it is not the leader, Call sends the request to the leader. A
// malformed request is refused without asking another instance.
func (c *Control) Call(ctx context.Context, r peer.Request) (peer.Response, error) {
	response, err := c.task.handle(ctx, r)
	var refused *peer.RefusedError
	if err == nil || !errors.As(err, &refused) || refused.Code == peer.CodeMalformed {
		return response, err
	}
	c.leaderClient.Follow(refused)
	return c.leaderClient.Call(ctx, r)
}

// UpdateSeeds replaces the seeds in the search for the leader by those of changed
// settings.
func (c *Control) UpdateSeeds(d settings.Deployment) error {
	seeds, err := Seeds(d)
	if err != nil {
		return fmt.Errorf("replace seeds: %w", err)
	}
	return c.task.post(seedsMessage{seeds})
}

// randomID returns a new identity for a data folder.
func randomID() string {
	var b [8]byte
	// The standard library's reader never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
