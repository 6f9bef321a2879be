package testserver

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/membership"
)

const (
	// mailboxCapacity is the maximum number of messages queued for the task.
	mailboxCapacity = 1024
	recordFileMode  = 0o600
	// probeServiceTime is the service time of a probe. It is counted as slot time
	// in the report, although a probe takes no slot.
	probeServiceTime = 6 * time.Millisecond
)

// message is a message from a handler to the task.
//
//sumtype:decl
type message interface{ message() }

// beginRun requests a slot for a call. The task replies with its admission.
type beginRun struct {
	run         Run
	otherDomain bool
	reply       chan<- admission
}

// endRun releases the slot of a call. bootCount is that of its admission: after
// a reboot the slot is already free.
type endRun struct {
	bootCount int
	busy      time.Duration
}

type beginProbe struct{ reply chan<- int }

type setFault struct {
	fault Fault
	done  chan<- struct{}
}

type getReport struct{ reply chan<- Report }

type connChanged struct {
	conn  net.Conn
	state http.ConnState
}

type getAnnouncement struct {
	reply chan<- membership.Announcement
}

func (beginRun) message()        {}
func (endRun) message()          {}
func (beginProbe) message()      {}
func (setFault) message()        {}
func (getReport) message()       {}
func (connChanged) message()     {}
func (getAnnouncement) message() {}

// admission tells a handler what to do with a call.
type admission struct {
	// closeConn is true if the connection is to be closed without a response.
	closeConn bool
	shed      bool
	fault     Fault
	duration  time.Duration
	bootCount int
}

// task owns the state of a test server.
type task struct {
	server    *Server
	ctx       context.Context
	config    Config
	random    *rand.Rand
	fault     Fault
	bootID    string
	bootCount int
	sequence  uint64
	coldUntil time.Time
	downUntil time.Time
	draining  bool
	running   int
	report    Report
	openConns map[net.Conn]bool
	// loadHistory holds past numbers of running calls, for stale load reports.
	loadHistory []loadSample
	file        *os.File
}

type loadSample struct {
	at      time.Time
	running int
}

func newTask(ctx context.Context, s *Server) (*task, error) {
	config := s.Config
	t := &task{
		server: s, ctx: ctx, config: config, random: rand.New(rand.NewPCG(config.Seed, 1)),
		fault: Healthy{}, bootID: newBootID(), openConns: map[net.Conn]bool{},
		coldUntil: time.Now().Add(time.Duration(config.ColdMS) * time.Millisecond),
		report:    Report{Server: config.Name},
	}
	if config.RecordFile == "" {
		return t, nil
	}
	var err error
	t.file, err = os.OpenFile(config.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordFileMode)
	return t, err
}

func (t *task) connState(c net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateClosed || state == http.StateHijacked {
		t.server.send(connChanged{conn: c, state: state})
	}
}

func (t *task) run() {
	defer close(t.server.done)
	for {
		select {
		case <-t.ctx.Done():
			if t.file != nil {
				_ = t.file.Close()
			}
			return
		case m := <-t.server.mailbox:
			t.handle(time.Now(), m)
		}
	}
}

func (t *task) handle(now time.Time, m message) {
	switch m := m.(type) {
	case beginRun:
		m.reply <- t.admit(now, m)
	case endRun:
		t.report.BusyMS += float64(m.busy) / float64(time.Millisecond)
		if m.bootCount == t.bootCount {
			t.running--
			t.recordLoad(now)
		}
	case beginProbe:
		t.report.Probes++
		t.report.ProbeMS += float64(probeServiceTime) / float64(time.Millisecond)
		m.reply <- t.staleLoad(now)
	case setFault:
		t.setFault(now, m.fault)
		close(m.done)
	case getReport:
		r := t.report
		r.Records = append([]Run(nil), t.report.Records...)
		m.reply <- r
	case connChanged:
		t.connChanged(m)
	case getAnnouncement:
		m.reply <- t.announcement(now)
	}
}

func (t *task) connChanged(m connChanged) {
	if m.state != http.StateNew {
		delete(t.openConns, m.conn)
		return
	}
	t.openConns[m.conn] = true
	if len(t.openConns) > t.config.Connections {
		_ = m.conn.Close()
	}
}

// capacity returns the number of calls that the server can run concurrently at
// now.
func (t *task) capacity(now time.Time) int {
	if now.Before(t.coldUntil) {
		return t.config.ColdSlots
	}
	return t.config.Slots
}

// admit gives a call a slot or sheds it. A cold server that is at capacity
// crashes.
func (t *task) admit(now time.Time, m beginRun) admission {
	if now.Before(t.downUntil) {
		return admission{closeConn: true}
	}
	t.report.Offered++
	capacity := t.capacity(now)
	cold := capacity < t.config.Slots
	if t.running+1 > capacity {
		t.report.OverLimit++
		if cold {
			t.report.ColdOverLimit++
			t.crash(now)
			return admission{closeConn: true}
		}
	}
	_, shedAll := t.fault.(ShedAll)
	if t.running+1 > capacity || shedAll {
		t.report.Shed++
		return admission{shed: true}
	}
	t.running++
	t.recordLoad(now)
	t.recordRun(now, m.run, capacity)
	return admission{fault: t.fault, duration: t.callDuration(m.otherDomain), bootCount: t.bootCount}
}

// callDuration returns the service time of a call, plus the network round trip
// if it comes from another failure domain.
func (t *task) callDuration(otherDomain bool) time.Duration {
	w := t.config.serviceTime(t.random)
	if s, ok := t.fault.(Straggle); ok {
		w = time.Duration(float64(w) * s.Factor)
	}
	if otherDomain {
		w += 2 * time.Duration(t.config.NetworkDelayUS) * time.Microsecond
	}
	return w
}

func (t *task) recordRun(now time.Time, r Run, capacity int) {
	r.Server = t.config.Name
	r.At = now
	r.Running = t.running
	r.Capacity = capacity
	r.Draining = t.draining
	t.report.Runs++
	t.report.LastRun = now
	t.report.Records = append(t.report.Records, r)
	if t.file != nil {
		_ = json.NewEncoder(t.file).Encode(r)
	}
}

func (t *task) setFault(now time.Time, f Fault) {
	switch f.(type) {
	case TurnCold:
		t.coldUntil = now.Add(time.Duration(t.config.ColdMS) * time.Millisecond)
	case Reboot:
		t.reboot(now, now)
	case Drain:
		t.draining = true
	case Healthy, Straggle, FailFast, Reset, TruncateResponse, DelayResponse, ReportZeroLoad, ShedAll:
		t.fault = f
		t.draining = false
	}
}

// crash takes the server down for DowntimeMS, after which it starts cold.
func (t *task) crash(now time.Time) {
	t.report.Crashes++
	t.reboot(now, now.Add(time.Duration(t.config.DowntimeMS)*time.Millisecond))
}

// reboot closes all connections. The server is up again, and cold, at upAt.
func (t *task) reboot(now, upAt time.Time) {
	for c := range t.openConns {
		_ = c.Close()
	}
	t.openConns = map[net.Conn]bool{}
	t.bootCount++
	t.bootID = newBootID()
	t.sequence = 0
	t.running = 0
	t.draining = false
	t.downUntil = upAt
	t.coldUntil = upAt.Add(time.Duration(t.config.ColdMS) * time.Millisecond)
	t.recordLoad(now)
}

// maxLoadSamples is the maximum number of samples in the load history. When it is
// exceeded, the older half is dropped.
const maxLoadSamples = 4096

func (t *task) recordLoad(now time.Time) {
	t.loadHistory = append(t.loadHistory, loadSample{now, t.running})
	if len(t.loadHistory) > maxLoadSamples {
		t.loadHistory = append([]loadSample(nil), t.loadHistory[maxLoadSamples/2:]...)
	}
}

// staleLoad returns the number of calls that were running StaleMS ago, or 0
// under the fault [ReportZeroLoad].
func (t *task) staleLoad(now time.Time) int {
	if _, reportsZero := t.fault.(ReportZeroLoad); reportsZero {
		return 0
	}
	sampleTime := now.Add(-time.Duration(t.config.StaleMS) * time.Millisecond)
	load := 0
	for _, sample := range t.loadHistory {
		if sample.at.After(sampleTime) {
			break
		}
		load = sample.running
	}
	return load
}

func (t *task) announcement(now time.Time) membership.Announcement {
	if now.Before(t.downUntil) {
		return membership.Announcement{}
	}
	t.sequence++
	a := membership.Announcement{
		Server: t.config.Name, Service: t.config.Service, Domain: t.config.Domain,
		Address: t.config.Address, BootID: t.bootID, Sequence: t.sequence,
		Slots: t.config.Slots, State: membership.StateReady, Load: t.staleLoad(now),
	}
	if t.draining {
		a.State = membership.StateDraining
	}
	return a
}

var errNoPlatform = errors.New("no platform address to announce to")
