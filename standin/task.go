package standin

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
	// mailboxRoom bounds the messages that wait for the task.
	mailboxRoom = 1024
	recordPerm  = 0o600
	// probeCost is the slot time of a probe.
	probeCost = 6 * time.Millisecond
)

// message is what the handlers tell the task.
//
//sumtype:decl
type message interface{ message() }

// beginRun asks for a slot.
type beginRun struct {
	run    Run
	remote bool
	answer chan<- permit
}

// endRun gives a slot back.
type endRun struct {
	boot int
	busy time.Duration
}

type beginProbe struct{ answer chan<- int }

type setFault struct {
	fault Fault
	done  chan<- struct{}
}

type askReport struct{ answer chan<- Report }

type connChanged struct {
	conn  net.Conn
	state http.ConnState
}

type announceDue struct {
	answer chan<- membership.Announcement
}

func (beginRun) message()    {}
func (endRun) message()      {}
func (beginProbe) message()  {}
func (setFault) message()    {}
func (askReport) message()   {}
func (connChanged) message() {}
func (announceDue) message() {}

// permit says what a handler has to do with a call.
type permit struct {
	// refuse is true when the connection is to be closed at once.
	refuse bool
	shed   bool
	fault  Fault
	work   time.Duration
	boot   int
}

// task owns the state of a stand-in.
type task struct {
	server    *Server
	ctx       context.Context
	config    Config
	random    *rand.Rand
	fault     Fault
	bootID    string
	boot      int
	sequence  uint64
	coldUntil time.Time
	awayUntil time.Time
	draining  bool
	running   int
	report    Report
	conns     map[net.Conn]bool
	// loads holds past counts of running calls, for stale reports.
	loads []loadSample
	file  *os.File
}

type loadSample struct {
	at      time.Time
	running int
}

func newTask(ctx context.Context, s *Server) (*task, error) {
	c := s.Config
	t := &task{
		server: s, ctx: ctx, config: c, random: rand.New(rand.NewPCG(c.Seed, 1)),
		fault: Healthy{}, bootID: newBootID(), conns: map[net.Conn]bool{},
		coldUntil: time.Now().Add(time.Duration(c.ColdMS) * time.Millisecond),
		report:    Report{Server: c.Name},
	}
	if c.RecordFile == "" {
		return t, nil
	}
	var err error
	t.file, err = os.OpenFile(c.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordPerm)
	return t, err
}

func (t *task) connState(c net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateClosed || state == http.StateHijacked {
		t.server.post(connChanged{conn: c, state: state})
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
		m.answer <- t.begin(now, m)
	case endRun:
		t.report.BusyMS += float64(m.busy) / float64(time.Millisecond)
		if m.boot == t.boot {
			t.running--
			t.sample(now)
		}
	case beginProbe:
		t.report.Probes++
		t.report.ProbeMS += float64(probeCost) / float64(time.Millisecond)
		m.answer <- t.staleLoad(now)
	case setFault:
		t.setFault(now, m.fault)
		close(m.done)
	case askReport:
		r := t.report
		r.Records = append([]Run(nil), t.report.Records...)
		m.answer <- r
	case connChanged:
		t.connChanged(m)
	case announceDue:
		m.answer <- t.announcement(now)
	}
}

func (t *task) connChanged(m connChanged) {
	if m.state != http.StateNew {
		delete(t.conns, m.conn)
		return
	}
	t.conns[m.conn] = true
	if len(t.conns) > t.config.Connections {
		_ = m.conn.Close()
	}
}

// bears is how many calls the server can run now.
func (t *task) bears(now time.Time) int {
	if now.Before(t.coldUntil) {
		return t.config.ColdSlots
	}
	return t.config.Slots
}

// begin gives a call a slot, sheds it, or falls over under it.
func (t *task) begin(now time.Time, m beginRun) permit {
	if now.Before(t.awayUntil) {
		return permit{refuse: true}
	}
	t.report.Offered++
	bears := t.bears(now)
	cold := bears < t.config.Slots
	if t.running+1 > bears {
		t.report.OverLimit++
		if cold {
			t.report.ColdOverLimit++
			t.fall(now)
			return permit{refuse: true}
		}
	}
	_, shedAll := t.fault.(ShedAll)
	if t.running+1 > bears || shedAll {
		t.report.Shed++
		return permit{shed: true}
	}
	t.running++
	t.sample(now)
	t.record(now, m.run, bears)
	return permit{fault: t.fault, work: t.work(m.remote), boot: t.boot}
}

// work is how long a call takes.
func (t *task) work(remote bool) time.Duration {
	w := t.config.serviceTime(t.random)
	if s, ok := t.fault.(Straggle); ok {
		w = time.Duration(float64(w) * s.Factor)
	}
	if remote {
		w += 2 * time.Duration(t.config.DistanceUS) * time.Microsecond
	}
	return w
}

func (t *task) record(now time.Time, r Run, bears int) {
	r.Server = t.config.Name
	r.At = now
	r.Running = t.running
	r.Bears = bears
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
	case Chill:
		t.coldUntil = now.Add(time.Duration(t.config.ColdMS) * time.Millisecond)
	case Reboot:
		t.reboot(now, now)
	case Drain:
		t.draining = true
	case Healthy, Straggle, FailFast, Reset, Cut, Late, Lie, ShedAll:
		t.fault = f
		t.draining = false
	}
}

// fall is what happens to a cold server under more than it bears.
func (t *task) fall(now time.Time) {
	t.report.Falls++
	t.reboot(now, now.Add(time.Duration(t.config.FallMS)*time.Millisecond))
}

// reboot closes all connections and starts cold when the server is back.
func (t *task) reboot(now, back time.Time) {
	for c := range t.conns {
		_ = c.Close()
	}
	t.conns = map[net.Conn]bool{}
	t.boot++
	t.bootID = newBootID()
	t.sequence = 0
	t.running = 0
	t.draining = false
	t.awayUntil = back
	t.coldUntil = back.Add(time.Duration(t.config.ColdMS) * time.Millisecond)
	t.sample(now)
}

// maxSamples bounds the memory of past loads.
const maxSamples = 4096

func (t *task) sample(now time.Time) {
	t.loads = append(t.loads, loadSample{now, t.running})
	if len(t.loads) > maxSamples {
		t.loads = append([]loadSample(nil), t.loads[maxSamples/2:]...)
	}
}

// staleLoad is the load as it was some time ago.
func (t *task) staleLoad(now time.Time) int {
	if _, lies := t.fault.(Lie); lies {
		return 0
	}
	then := now.Add(-time.Duration(t.config.StaleMS) * time.Millisecond)
	load := 0
	for _, s := range t.loads {
		if s.at.After(then) {
			break
		}
		load = s.running
	}
	return load
}

func (t *task) announcement(now time.Time) membership.Announcement {
	if now.Before(t.awayUntil) {
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

var errNoPlatform = errors.New("no platform address")
