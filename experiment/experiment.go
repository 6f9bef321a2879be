// Package experiment measures the system: the latency that it adds, its
// choice of servers against baselines, and the slopes of its cost.
//
// Every experiment runs in one process on loopback, so its figures include the
// load tool and the stand-ins on the same cores. Points are written as CSV.
//
// # Usage
//
//	points, err := experiment.Run(ctx, experiment.Added, report)
package experiment

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"runtime/metrics"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/standin"
)

// Point is one measured point: names of inputs and outputs with their values.
type Point struct {
	Experiment string             `json:"experiment"`
	Label      string             `json:"label,omitempty"`
	Values     map[string]float64 `json:"values"`
}

// Report takes a point as soon as it is measured.
type Report func(p Point)

// setup describes the system of one point.
type setup struct {
	entries  int
	voters   int
	services int
	// servers counts the servers of each service.
	servers   int
	serviceMS float64
	spread    float64
	adjust    func(d *service.Document)
}

const startLimit = 60 * time.Second

// start starts a system and brings all its servers to their full limits.
func start(ctx context.Context, s setup) (c *cluster.Cluster, stop func() error, err error) {
	folder, err := os.MkdirTemp("", "oriolepost-experiment-")
	if err != nil {
		return nil, nil, err
	}
	c, err = cluster.Start(cluster.Config{Entries: s.entries, Voters: s.voters, Folder: folder})
	if err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(folder))
	}
	stop = func() error {
		c.Stop()
		return os.RemoveAll(folder)
	}
	if err := s.fill(ctx, c); err != nil {
		return nil, nil, errors.Join(err, stop())
	}
	return c, stop, nil
}

func (s setup) fill(ctx context.Context, c *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for i := range s.services {
		d := service.Defaults(fmt.Sprintf("service-%d", i+1))
		d.Cold.HoldMS = 200
		d.Cold.StepMS = 20
		if s.adjust != nil {
			s.adjust(&d)
		}
		if _, err := c.Apply(ctx, d); err != nil {
			return err
		}
		if err := s.startServers(c, d.Name); err != nil {
			return err
		}
	}
	if _, err := c.WaitStatus(ctx, func(st peer.StatusResponse) bool {
		return len(st.Servers) == s.services*s.servers && len(st.Entries) == s.entries
	}); err != nil {
		return err
	}
	return c.WarmUp(ctx, float64(200*s.services), startLimit)
}

func (s setup) startServers(c *cluster.Cluster, name string) error {
	domains := cluster.DefaultDomains()
	for i := range s.servers {
		cfg := standin.Defaults()
		cfg.Name = fmt.Sprintf("%s-%d", name, i+1)
		cfg.Service = name
		cfg.Domain = domains[i%len(domains)]
		cfg.ServiceMS = s.serviceMS
		cfg.Spread = s.spread
		cfg.ColdMS = 0
		cfg.Seed = uint64(i)
		if _, err := c.StartServer(cfg); err != nil {
			return err
		}
	}
	return nil
}

// usage is what the process has used.
type usage struct {
	at        time.Time
	processor time.Duration
	sent      float64
	received  float64
	reports   float64
	syncs     float64
}

// measureUsage reads the processor time and the counters of all instances.
func measureUsage(c *cluster.Cluster) usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := usage{at: time.Now(), processor: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	for _, n := range c.Nodes {
		u.sent += float64(n.Metrics.GetOrCreateCounter("oriolepost_peer_sent_bytes_total").Get())
		u.received += float64(n.Metrics.GetOrCreateCounter("oriolepost_peer_received_bytes_total").Get())
		u.reports += float64(n.Metrics.GetOrCreateCounter("oriolepost_reports_total").Get())
		u.syncs += float64(n.Metrics.GetOrCreateCounter("oriolepost_disk_syncs_total").Get())
	}
	return u
}

// heapBytes is the live heap of the process.
func heapBytes() float64 {
	runtime.GC()
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(s)
	return float64(s[0].Value.Uint64())
}

// WriteCSV writes points, one row each, with a column for each value.
func WriteCSV(w io.Writer, points []Point) error {
	columns := map[string]bool{}
	for _, p := range points {
		for name := range p.Values {
			columns[name] = true
		}
	}
	names := slices.Sorted(maps.Keys(columns))
	out := csv.NewWriter(w)
	if err := out.Write(append([]string{"experiment", "label"}, names...)); err != nil {
		return err
	}
	for _, p := range points {
		row := []string{p.Experiment, p.Label}
		for _, name := range names {
			v, ok := p.Values[name]
			if !ok {
				row = append(row, "")
				continue
			}
			row = append(row, strconv.FormatFloat(v, 'f', 3, 64))
		}
		if err := out.Write(row); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
