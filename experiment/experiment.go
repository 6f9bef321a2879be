// Package experiment measures the load balancer: the latency that it adds, its
// selection of servers against baselines, and how its cost grows with each input.
//
// Every experiment runs in one process on loopback, so its results include the
// load generator and the test servers, which share the same cores. Points are
// written as CSV.
//
// # Usage
//
//	err := experiment.Added(ctx, func(p experiment.Point) { points = append(points, p) })
//	err = experiment.WriteCSV(file, points)
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
	"github.com/oriolepost/oriolepost/testserver"
)

// Point is one measured point: the inputs and results by name.
type Point struct {
	Experiment string             `json:"experiment"`
	Label      string             `json:"label,omitempty"`
	Values     map[string]float64 `json:"values"`
}

// Report receives a point as soon as it is measured.
type Report func(p Point)

// setup describes the system that is measured.
type setup struct {
	entries  int
	voters   int
	services int
	// servers is the number of servers of each service.
	servers int
	// serviceMS and spread are the mean service time of the servers in
	// milliseconds and the standard deviation of its logarithm.
	serviceMS float64
	spread    float64
	// adjust changes the document of each service before it is applied, unless it
	// is nil.
	adjust func(d *service.Document)
}

const startTimeout = 60 * time.Second

// start starts a system and warms up all its servers.
func start(ctx context.Context, config setup) (system *cluster.Cluster, stop func() error, err error) {
	folder, err := os.MkdirTemp("", "oriolepost-experiment-")
	if err != nil {
		return nil, nil, err
	}
	system, err = cluster.Start(cluster.Config{Instances: config.entries, Voters: config.voters, Folder: folder})
	if err != nil {
		return nil, nil, errors.Join(err, os.RemoveAll(folder))
	}
	stop = func() error {
		system.Stop()
		return os.RemoveAll(folder)
	}
	if err := config.startServices(ctx, system); err != nil {
		return nil, nil, errors.Join(err, stop())
	}
	return system, stop, nil
}

func (s setup) startServices(ctx context.Context, system *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range s.services {
		document := service.Defaults(fmt.Sprintf("service-%d", i+1))
		document.Cold.HoldMS = 200
		document.Cold.StepMS = 20
		if s.adjust != nil {
			s.adjust(&document)
		}
		if _, err := system.Apply(ctx, document); err != nil {
			return err
		}
		if err := s.startServers(system, document.Name); err != nil {
			return err
		}
	}
	if _, err := system.WaitStatus(ctx, func(status peer.StatusResponse) bool {
		return len(status.Servers) == s.services*s.servers && len(status.Entries) == s.entries
	}); err != nil {
		return err
	}
	return system.WarmUp(ctx, float64(200*s.services), startTimeout)
}

func (s setup) startServers(system *cluster.Cluster, name string) error {
	domains := cluster.DefaultDomains()
	for i := range s.servers {
		config := testserver.Defaults()
		config.Name = fmt.Sprintf("%s-%d", name, i+1)
		config.Service = name
		config.Domain = domains[i%len(domains)]
		config.ServiceMS = s.serviceMS
		config.Spread = s.spread
		config.ColdMS = 0
		config.Seed = uint64(i)
		if _, err := system.StartServer(config); err != nil {
			return err
		}
	}
	return nil
}

// usage is the resource usage of the process so far.
type usage struct {
	at       time.Time
	cpuTime  time.Duration
	sent     float64
	received float64
	reports  float64
	syncs    float64
}

// measureUsage returns the CPU time of the process and the sums of the counters
// of all instances.
func measureUsage(system *cluster.Cluster) usage {
	var resources syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &resources)
	total := usage{at: time.Now(), cpuTime: time.Duration(resources.Utime.Nano() + resources.Stime.Nano())}
	for _, n := range system.Nodes {
		total.sent += float64(n.Metrics.GetOrCreateCounter("oriolepost_peer_sent_bytes_total").Get())
		total.received += float64(n.Metrics.GetOrCreateCounter("oriolepost_peer_received_bytes_total").Get())
		total.reports += float64(n.Metrics.GetOrCreateCounter("oriolepost_reports_total").Get())
		total.syncs += float64(n.Metrics.GetOrCreateCounter("oriolepost_disk_syncs_total").Get())
	}
	return total
}

// heapBytes runs a garbage collection and returns the live heap of the process.
func heapBytes() float64 {
	runtime.GC()
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(samples)
	return float64(samples[0].Value.Uint64())
}

// WriteCSV writes one row for each point, with a column for each name in
// Values.
func WriteCSV(w io.Writer, points []Point) error {
	columns := map[string]bool{}
	for _, p := range points {
		for name := range p.Values {
			columns[name] = true
		}
	}
	names := slices.Sorted(maps.Keys(columns))
	writer := csv.NewWriter(w)
	if err := writer.Write(append([]string{"experiment", "label"}, names...)); err != nil {
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
		if err := writer.Write(row); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}
