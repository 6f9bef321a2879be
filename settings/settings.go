// Package settings holds what one instance is told when it starts.
//
// Settings are a JSON file. It is checked whole before anything starts, and
// every error names the file, the field, its value and what is allowed. What
// changes while the system runs, such as a service's limits, is no setting but
// part of the service's document.
//
// # Usage
//
//	s, err := settings.Load("palermo-1.json")
package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/service"
)

// Settings of one instance.
type Settings struct {
	// Instance is the instance's name, unique in the system.
	Instance string `json:"instance"`
	// Domain is the failure domain that the instance runs in.
	Domain string `json:"failure_domain"`
	Listen Listen `json:"listen"`
	// DataFolder keeps the durable state; empty for an instance without disk.
	DataFolder string `json:"data_folder,omitempty"`
	// Control lists the instances with a disk. All instances have the same
	// list.
	Control []ControlInstance `json:"control"`
	// ReplaceVoterAfterMS is how long a voter may be silent before another
	// instance with a disk takes its place.
	ReplaceVoterAfterMS int64   `json:"replace_voter_after_ms,omitempty"`
	PeerTLS             *TLS    `json:"peer_tls,omitempty"`
	PeerPlainText       bool    `json:"peer_plain_text,omitempty"`
	OperatorTokens      []Token `json:"operator_tokens,omitempty"`
	Stop                Stop    `json:"stop"`
	Trace               Trace   `json:"trace"`
	LogLevel            string  `json:"log_level,omitempty"`
	HTTP                HTTP    `json:"http"`
}

// Listen holds the addresses that the instance listens on, as IP:port.
type Listen struct {
	// Caller takes the callers' calls.
	Caller string `json:"caller"`
	// Platform takes readiness checks, announcements and metrics requests.
	Platform string `json:"platform"`
	// Operator takes the administration API.
	Operator string `json:"operator"`
	// Peer takes the other instances' messages.
	Peer string `json:"peer"`
}

// ControlInstance is an instance with a disk.
type ControlInstance struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure_domain"`
	// Address is its peer address.
	Address string `json:"address"`
	// Voter is true for the voters that form a new system.
	Voter bool `json:"voter,omitempty"`
}

// TLS names the files for mutual TLS between the instances.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	// AuthorityFile holds the certificates that peers' certificates must
	// descend from. Each system has an authority of its own.
	AuthorityFile string `json:"authority_file"`
}

// Token allows an operator to change documents.
type Token struct {
	// Team is the team whose services the token may change; "*" is all teams
	// and also failure domains and servers.
	Team string `json:"team"`
	// SHA256 is the hash of the token in hexadecimal.
	SHA256 string `json:"sha256"`
}

// Stop bounds the graceful shutdown.
type Stop struct {
	// BalancerMS is how long the platform's balancer may go on sending calls
	// after the instance said that it is not ready.
	BalancerMS int64 `json:"balancer_ms,omitempty"`
	// DeadlineMS is how long calls may take to end after that.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// Trace says how many calls are traced.
type Trace struct {
	// Share is the share of calls without a trace of their own that are
	// sampled.
	Share float64 `json:"share,omitempty"`
	// File gets the spans as JSON lines; empty turns traces off.
	File string `json:"file,omitempty"`
}

// HTTP bounds what callers may send.
type HTTP struct {
	MaxHeaderBytes int   `json:"max_header_bytes,omitempty"`
	HeaderMS       int64 `json:"header_timeout_ms,omitempty"`
	IdleMS         int64 `json:"idle_timeout_ms,omitempty"`
	BodyIdleMS     int64 `json:"body_idle_timeout_ms,omitempty"`
}

// Defaults gives the values of fields that may be left out.
func Defaults() Settings {
	return Settings{
		ReplaceVoterAfterMS: 30000,
		Stop:                Stop{BalancerMS: 1500, DeadlineMS: 10000},
		LogLevel:            "info",
		HTTP:                HTTP{MaxHeaderBytes: 64 << 10, HeaderMS: 5000, IdleMS: 60000, BodyIdleMS: 10000},
	}
}

// Load reads and checks a settings file.
func Load(file string) (s Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse checks settings that were read from a file.
func Parse(file string, data []byte) (Settings, error) {
	s := Defaults()
	if err := jsonform.DecodeStrict(file, data, &s); err != nil {
		return Settings{}, err
	}
	if err := s.check(file); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// check returns a [service.FieldError] for the first field that is wrong.
func (s Settings) check(file string) error {
	wrong := func(field string, value any, allowed string) error {
		return &service.FieldError{Document: file, Field: field, Value: value, Allowed: allowed}
	}
	checks := []func(func(string, any, string) error) error{
		s.checkNames, s.checkListen, s.checkControl, s.checkPeer, s.checkTokens, s.checkNumbers,
	}
	for _, c := range checks {
		if err := c(wrong); err != nil {
			return err
		}
	}
	return nil
}

type wrongFunc = func(field string, value any, allowed string) error

func (s Settings) checkNames(wrong wrongFunc) error {
	if !service.ValidName(s.Instance) {
		return wrong("instance", fmt.Sprintf("%q", s.Instance), service.NameRule)
	}
	if !service.ValidName(s.Domain) {
		return wrong("failure_domain", fmt.Sprintf("%q", s.Domain), service.NameRule)
	}
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, s.LogLevel) {
		return wrong("log_level", fmt.Sprintf("%q", s.LogLevel), "debug, info, warn or error")
	}
	return nil
}

func (s Settings) checkListen(wrong wrongFunc) error {
	fields := []struct{ name, value string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.platform", s.Listen.Platform},
		{"listen.operator", s.Listen.Operator},
		{"listen.peer", s.Listen.Peer},
	}
	seen := map[string]string{}
	for _, f := range fields {
		if !validAddress(f.value) {
			return wrong(f.name, fmt.Sprintf("%q", f.value), "IP:port")
		}
		if other, ok := seen[f.value]; ok {
			return wrong(f.name, fmt.Sprintf("%q", f.value), "an address of its own, not that of "+other)
		}
		seen[f.value] = f.name
	}
	return nil
}

func validAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}

func (s Settings) checkControl(wrong wrongFunc) error {
	voters := 0
	seen := map[string]bool{}
	for i, c := range s.Control {
		field := fmt.Sprintf("control[%d]", i)
		switch {
		case !service.ValidName(c.Instance):
			return wrong(field+".instance", fmt.Sprintf("%q", c.Instance), service.NameRule)
		case seen[c.Instance]:
			return wrong(field+".instance", fmt.Sprintf("%q", c.Instance), "each instance once")
		case !service.ValidName(c.Domain):
			return wrong(field+".failure_domain", fmt.Sprintf("%q", c.Domain), service.NameRule)
		case !validAddress(c.Address):
			return wrong(field+".address", fmt.Sprintf("%q", c.Address), "IP:port")
		}
		seen[c.Instance] = true
		if c.Voter {
			voters++
		}
	}
	if voters%2 == 0 || voters > 7 {
		return wrong("control", fmt.Sprintf("%d voters", voters), "1, 3, 5 or 7 voters")
	}
	if seen[s.Instance] != (s.DataFolder != "") {
		return wrong("data_folder", fmt.Sprintf("%q", s.DataFolder), "set exactly on the instances that control lists")
	}
	return nil
}

func (s Settings) checkPeer(wrong wrongFunc) error {
	if (s.PeerTLS != nil) == s.PeerPlainText {
		return wrong("peer_tls", s.PeerTLS != nil, "either peer_tls or peer_plain_text")
	}
	if t := s.PeerTLS; t != nil && (t.CertificateFile == "" || t.KeyFile == "" || t.AuthorityFile == "") {
		return wrong("peer_tls", "incomplete", "certificate_file, key_file and authority_file")
	}
	return nil
}

func (s Settings) checkTokens(wrong wrongFunc) error {
	for i, t := range s.OperatorTokens {
		field := fmt.Sprintf("operator_tokens[%d]", i)
		if t.Team != "*" && !service.ValidName(t.Team) {
			return wrong(field+".team", fmt.Sprintf("%q", t.Team), `"*" or `+service.NameRule)
		}
		if sum, err := hex.DecodeString(t.SHA256); err != nil || len(sum) != 32 {
			return wrong(field+".sha256", fmt.Sprintf("%d characters", len(t.SHA256)), "64 hexadecimal digits")
		}
	}
	return nil
}

func (s Settings) checkNumbers(wrong wrongFunc) error {
	fields := []struct {
		name     string
		value    int64
		min, max int64
	}{
		{"replace_voter_after_ms", s.ReplaceVoterAfterMS, 1000, 86400000},
		{"stop.balancer_ms", s.Stop.BalancerMS, 0, 60000},
		{"stop.deadline_ms", s.Stop.DeadlineMS, 0, 600000},
		{"http.max_header_bytes", int64(s.HTTP.MaxHeaderBytes), 1024, 1 << 20},
		{"http.header_timeout_ms", s.HTTP.HeaderMS, 10, 600000},
		{"http.idle_timeout_ms", s.HTTP.IdleMS, 10, 600000},
		{"http.body_idle_timeout_ms", s.HTTP.BodyIdleMS, 10, 600000},
	}
	for _, f := range fields {
		if f.value < f.min || f.value > f.max {
			return wrong(f.name, f.value, fmt.Sprintf("%d to %d", f.min, f.max))
		}
	}
	if s.Trace.Share < 0 || s.Trace.Share > 1 {
		return wrong("trace.share", s.Trace.Share, "0 to 1")
	}
	return nil
}

// Milliseconds turns a number of a settings file into a duration.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Voters lists the instances that form a new system.
func (s Settings) Voters() []ControlInstance {
	return slices.DeleteFunc(slices.Clone(s.Control), func(c ControlInstance) bool { return !c.Voter })
}
