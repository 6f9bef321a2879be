//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// peerOffset is the first port of the machines' links where these go through proxies. Each
// machine then has other ports between the machines than the rest: it reaches the others at
// its own port, at which the proxies of its links listen.
const peerOffset = 32

// peerMessage is what a proxy reads of a message between machines, to know when to delay it.
type peerMessage struct {
	raw    json.RawMessage
	Method string `json:"method"`
	Params struct {
		Message struct {
			Kind string `json:"kind"`
			Body struct {
				Prev    uint64 `json:"prev_index"`
				Success bool   `json:"success"`
				Match   uint64 `json:"match"`
				Commit  uint64 `json:"commit"`
				Entries []struct {
					Index uint64 `json:"index"`
				} `json:"entries"`
			} `json:"body"`
		} `json:"message"`
	} `json:"params"`
}

func (m peerMessage) kind() string { return m.Params.Message.Kind }

// lastIndex returns the index of the last entry in a message, or 0.
func (m peerMessage) lastIndex() uint64 {
	if entries := m.Params.Message.Body.Entries; len(entries) > 0 {
		return entries[len(entries)-1].Index
	}
	return 0
}

// String describes a message of the replicated log.
func (m peerMessage) String() string {
	b := m.Params.Message.Body
	switch m.kind() {
	case "append_request":
		return fmt.Sprintf("entries after %d: %d, committed %d", b.Prev, len(b.Entries), b.Commit)
	case "append_reply":
		return fmt.Sprintf("reply: success %v, has entries up to %d", b.Success, b.Match)
	}
	return m.kind()
}

// direction is a link from one machine to another: a proxy that can delay what passes in
// that direction, in order, and reset its connections.
type direction struct {
	name string
	mu   sync.Mutex
	cond *sync.Cond
	// pass decides whether a message may pass now. It is asked again after each change.
	pass func(peerMessage) bool
	// seen holds the messages that passed.
	seen []peerMessage
	// resetAt resets the connection instead of passing a message for which it returns true,
	// once.
	resetAt func(peerMessage) bool
	conns   map[net.Conn]bool
	// trace records the messages of the replicated log that pass; nil for none.
	trace func(format string, args ...any)
}

// startDirection starts the proxy of a link.
func startDirection(name, listen, target string) (*direction, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	d := &direction{name: name, conns: map[net.Conn]bool{}}
	d.cond = sync.NewCond(&d.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.forward(conn, target)
		}
	}()
	return d, nil
}

func (d *direction) forward(from net.Conn, target string) {
	defer from.Close()
	to, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	d.mu.Lock()
	d.conns[from], d.conns[to] = true, true
	d.mu.Unlock()
	// The responses to requests of the other machine.
	go func() {
		defer from.Close()
		buffer := make([]byte, 64<<10)
		for {
			n, err := to.Read(buffer)
			if n > 0 {
				if _, err := from.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	decoder := json.NewDecoder(from)
	for {
		var m peerMessage
		if err := decoder.Decode(&m.raw); err != nil {
			return
		}
		_ = json.Unmarshal(m.raw, &m)
		if !d.admit(m) {
			return
		}
		if _, err := to.Write(m.raw); err != nil {
			return
		}
	}
}

// admit waits until a message may pass. It returns false if the connection is reset instead.
func (d *direction) admit(m peerMessage) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resetAt != nil && d.resetAt(m) {
		d.resetAt = nil
		for c := range d.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		clear(d.conns)
		d.cond.Broadcast()
		return false
	}
	for d.pass != nil && !d.pass(m) {
		d.cond.Wait()
	}
	if d.trace != nil && m.Method == "replica" {
		d.trace("%s: %s", d.name, m)
	}
	d.seen = append(d.seen, m)
	return true
}

// setTrace replaces what records the messages.
func (d *direction) setTrace(trace func(format string, args ...any)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trace = trace
}

// reset closes the connections.
func (d *direction) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		_ = c.Close()
	}
	clear(d.conns)
}

// set replaces what decides on delays; nil means that everything passes.
func (d *direction) set(pass func(peerMessage) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pass = pass
	d.cond.Broadcast()
}

// hold delays everything from now on.
func (d *direction) hold() { d.set(func(peerMessage) bool { return false }) }

// passUntil lets messages pass up to the first that matches, and delays those behind it.
func (d *direction) passUntil(matches func(peerMessage) bool) {
	done := false
	d.set(func(m peerMessage) bool {
		if done {
			return false
		}
		done = matches(m)
		return true
	})
}

// count returns how many of the messages that passed match.
func (d *direction) count(matches func(peerMessage) bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, m := range d.seen {
		if matches(m) {
			n++
		}
	}
	return n
}

// startPeerLinks starts the proxies of the links between control instances. It is called
// before the machines start.
func (s *system) startPeerLinks() (map[[2]int]*direction, error) {
	links := map[[2]int]*direction{}
	for i, m := range s.controls {
		m.internal = s.port + peerOffset + i*internalPorts
		if err := s.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	for i, from := range s.controls {
		for j, to := range s.controls {
			if i == j {
				continue
			}
			d, err := startDirection(from.name+" to "+to.name, net.JoinHostPort(to.ip, strconv.Itoa(from.internal)), net.JoinHostPort(to.ip, strconv.Itoa(to.internal)))
			if err != nil {
				return nil, err
			}
			links[[2]int{i, j}] = d
		}
	}
	return links, nil
}
