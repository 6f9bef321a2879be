//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["acknowledged"] = lostAcknowledgement }

const (
	// snapshotIndex is the index in the log at which a control instance takes its first
	// snapshot: 128 entries after the first, without servers.
	snapshotIndex = 130
	// stepTimeout limits each step of the case.
	stepTimeout = 900 * time.Millisecond
	// downTime is how long the machine that lost its disk is down.
	downTime = 3 * time.Second
	// readBackTime is how long the configuration is read back.
	readBackTime = 20 * time.Second
)

func routesOf(version int) map[string]any {
	return configurationOf(version, []map[string]any{routeOf("r-1", "/lohu930/", "safe", "booking", 2000+version, 600, 2)}, "booking")
}

// order sends a configuration to one machine and reports the status.
func order(m *machine, version int) chan int {
	status := make(chan int, 1)
	go func() {
		got, _ := call(time.Second, "POST", "http://"+m.address()+"/api/Config.Replace", routesOf(version))
		status <- got
	}()
	return status
}

// readBack reads the configuration at a machine and returns its version, or an empty text.
func readBack(m *machine) string {
	status, data := get("http://" + m.address() + "/api/Config.Read")
	var read struct {
		Version string `json:"version"`
	}
	if status != 200 || json.Unmarshal(data, &read) != nil {
		return ""
	}
	return read.Version
}

func soon(what string, done func() bool) error {
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("did not come: %s", what)
}

func failing(m peerMessage) bool {
	return m.kind() == "append_reply" && !m.Params.Message.Body.Success
}

func acknowledges(index uint64) func(peerMessage) bool {
	return func(m peerMessage) bool {
		return m.kind() == "append_reply" && m.Params.Message.Body.Success && m.Params.Message.Body.Match >= index
	}
}

func carries(index uint64) func(peerMessage) bool {
	return func(m peerMessage) bool { return m.kind() == "append_request" && m.lastIndex() >= index }
}

// lostAcknowledgement delays messages between the control instances, and has the leader lose
// its disk right after it has acknowledged a configuration.
func lostAcknowledgement(r *record, trouble bool) (int, error) {
	s, err := newSystem(3, 0)
	if err != nil {
		return impossible, err
	}
	defer s.stop()
	links, err := s.startPeerLinks()
	if err != nil {
		return impossible, err
	}
	if err := s.startAll(routesOf(7)); err != nil {
		return impossible, err
	}
	time.Sleep(time.Second)
	// The leader is the one that sends entries.
	l, index := 0, uint64(0)
	find := func() {
		for name, d := range links {
			d.mu.Lock()
			for _, m := range d.seen {
				if m.kind() == "append_request" && m.lastIndex() > index {
					l, index = name[0], m.lastIndex()
				}
			}
			d.mu.Unlock()
		}
	}
	find()
	f, g := (l+1)%3, (l+2)%3
	leader := s.controls[l]
	r.line("%s leads, the log has %d entries; %s and %s follow", leader.name, index, s.controls[f].name, s.controls[g].name)
	for index < snapshotIndex-2 {
		readBack(leader)
		find()
	}
	if index != snapshotIndex-2 {
		return impossible, errors.New("the log has other entries as well")
	}
	toF, toG, fromF, fromG := links[[2]int{l, f}], links[[2]int{l, g}], links[[2]int{f, l}], links[[2]int{g, l}]
	acknowledged := 0
	take := func(version int, status chan int) error {
		got := <-status
		r.line("configuration r%d at %s: %d", version, leader.name, got)
		if got != 200 {
			return fmt.Errorf("configuration r%d was not acknowledged", version)
		}
		acknowledged = version
		return nil
	}
	for _, d := range links {
		d.setTrace(r.line)
	}
	if trouble {
		fromF.hold()
		toF.mu.Lock()
		toF.resetAt = carries(snapshotIndex - 1)
		toF.mu.Unlock()
	}
	if err := take(11, order(leader, 11)); err != nil {
		return impossible, err
	}
	if !trouble {
		for _, version := range []int{12, 13} {
			if err := take(version, order(leader, version)); err != nil {
				return impossible, err
			}
		}
		return finish(r, s, links, leader, acknowledged, os.Getenv("WIPE") == "1")
	}
	r.line("the connection from the leader to %s was reset, and what comes from %s is delayed", s.controls[f].name, s.controls[f].name)
	// Two heartbeats go to the follower, whose replies say that it lacks an entry.
	heartbeats := toF.count(func(m peerMessage) bool { return m.kind() == "append_request" })
	if err := soon("two heartbeats", func() bool {
		return toF.count(func(m peerMessage) bool { return m.kind() == "append_request" }) >= heartbeats+3
	}); err != nil {
		return impossible, err
	}
	fromG.hold()
	second := order(leader, 12)
	if err := soon("the second order on its way", func() bool { return toG.count(carries(snapshotIndex)) > 0 }); err != nil {
		return impossible, err
	}
	time.Sleep(10 * time.Millisecond)
	toG.hold()
	third := order(leader, 13)
	if err := soon("the third order on its way", func() bool { return toF.count(carries(snapshotIndex+1)) > 0 }); err != nil {
		return impossible, err
	}
	fromF.passUntil(failing)
	if err := soon("the missing entries on their way", func() bool {
		return toF.count(func(m peerMessage) bool {
			return m.lastIndex() >= snapshotIndex+1 && len(m.Params.Message.Body.Entries) >= 3
		}) > 0
	}); err != nil {
		return impossible, err
	}
	fromG.passUntil(acknowledges(snapshotIndex))
	if err := take(12, second); err != nil {
		return impossible, err
	}
	// The next reply of the follower says once more that it lacks an entry. The leader has
	// taken a snapshot meanwhile, and sends it.
	fromF.passUntil(failing)
	if err := soon("the snapshot on its way", func() bool {
		return toF.count(func(m peerMessage) bool { return m.kind() == "snapshot_request" }) > 0
	}); err != nil {
		return impossible, err
	}
	time.Sleep(20 * time.Millisecond)
	fromF.set(nil)
	if err := take(13, third); err != nil {
		return impossible, err
	}
	return finish(r, s, links, leader, acknowledged, true)
}

// finish takes the disk of the leader away, if that is wanted, and reads the configuration
// back.
func finish(r *record, s *system, links map[[2]int]*direction, leader *machine, acknowledged int, wipe bool) (int, error) {
	if wipe {
		leader.signal(syscall.SIGKILL)
		<-leader.ended
		r.line("%s loses its disk right after that acknowledgement", leader.name)
		data := filepath.Join(leader.dir, "data")
		if err := errors.Join(os.RemoveAll(data), os.MkdirAll(data, 0o700), s.writeSettings(leader, false)); err != nil {
			return impossible, err
		}
	}
	for _, d := range links {
		d.setTrace(nil)
		if wipe {
			d.reset()
		}
		d.set(nil)
	}
	if wipe {
		time.Sleep(downTime)
		if err := s.start(leader); err != nil {
			return impossible, err
		}
	}
	return judgeReadBack(r, s, acknowledged)
}

// judgeReadBack reads the configuration back at all machines. The newest that comes must not
// be older than the newest that was acknowledged.
func judgeReadBack(r *record, s *system, acknowledged int) (int, error) {
	wanted := fmt.Sprintf("r%d", acknowledged)
	last := ""
	for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(2 * time.Second) {
		for _, m := range s.controls {
			if version := readBack(m); version != "" {
				last = version
				r.line("read back at %s: %s, acknowledged was %s", m.name, version, wanted)
			}
		}
	}
	switch last {
	case "":
		return impossible, errors.New("no configuration came back")
	case wanted:
		return held, nil
	}
	return broken, nil
}
