// Package settings defines and checks the settings that one instance reads when
// it starts.
//
// [Settings] are read from a JSON file of our own form. [Deployment] holds the
// settings of an instance that a platform starts. All fields are checked before
// anything starts, and every error names the file, the field, its value and what
// is allowed. What changes while the system runs, such as the limits of a
// service, is not a setting but part of the service's document.
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

// Settings is the content of an instance's settings file.
type Settings struct {
	// Instance is the instance's name, unique in the system.
	Instance string `json:"instance"`
	// Domain is the failure domain that the instance runs in.
	Domain string `json:"failure_domain"`
	Listen Listen `json:"listen"`
	// DataFolder is the path of the folder with the durable state. It is empty
	// for an instance without a disk.
	DataFolder string `json:"data_folder,omitempty"`
	// Control lists the instances with a disk. The list must be the same on
	// all instances.
	Control []ControlInstance `json:"control"`
	// ReplaceVoterAfterMS is the time since the last contact with a voter, in
	// milliseconds, after which another instance with a disk replaces it.
	ReplaceVoterAfterMS int64   `json:"replace_voter_after_ms,omitempty"`
	PeerTLS             *TLS    `json:"peer_tls,omitempty"`
	PeerPlainText       bool    `json:"peer_plain_text,omitempty"`
	OperatorTokens      []Token `json:"operator_tokens,omitempty"`
	Stop                Stop    `json:"stop"`
	Trace               Trace   `json:"trace"`
	LogLevel            string  `json:"log_level,omitempty"`
	HTTP                HTTP    `json:"http"`
	Limits              Limits  `json:"limits"`
}

// Limits holds what the process may use of its machine. A limit of 0 is not enforced.
type Limits struct {
	// MemoryMB is the memory limit of the process in MiB.
	MemoryMB int `json:"memory_mb,omitempty"`
	// MaxFDs is the limit on the open descriptors of the process.
	MaxFDs int `json:"max_fds,omitempty"`
}

// Listen holds the addresses that the instance listens on, as IP:port.
type Listen struct {
	// Caller accepts the calls of callers.
	Caller string `json:"caller"`
	// Platform accepts readiness checks, announcements and requests for
	// metrics.
	Platform string `json:"platform"`
	// Operator serves the administration API.
	Operator string `json:"operator"`
	// Peer accepts messages from other instances.
	Peer string `json:"peer"`
}

// ControlInstance is an instance with a disk.
type ControlInstance struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure_domain"`
	// Address is its peer address.
	Address string `json:"address"`
	// Voter is true for the voters that bootstrap a new system.
	Voter bool `json:"voter,omitempty"`
}

// TLS holds the paths of the PEM files for mutual TLS between the instances.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	// AuthorityFile holds the CA certificates that peers' certificates must be
	// signed by. Each system has its own certificate authority.
	AuthorityFile string `json:"authority_file"`
}

// Token is a bearer token that allows an operator to change documents.
type Token struct {
	// Team is the team whose services the token may change. With "*" it may
	// change the services of all teams, failure domains and servers.
	Team string `json:"team"`
	// SHA256 is the SHA-256 hash of the token, as 64 hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Stop holds the time limits of the graceful shutdown.
type Stop struct {
	// BalancerMS is the time in milliseconds for which the instance still
	// accepts calls after it has reported that it is not ready. The platform's
	// balancer may send calls until it notices.
	BalancerMS int64 `json:"balancer_ms,omitempty"`
	// DeadlineMS is the time in milliseconds that the rest of the shutdown may
	// take, which includes the calls in progress.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// Trace configures the tracing of calls.
type Trace struct {
	// Share is the ratio, 0 to 1, of calls to sample among those that arrive
	// without a trace context.
	Share float64 `json:"share,omitempty"`
	// File is the path of the file to which spans are appended as JSON. An
	// empty path disables tracing.
	File string `json:"file,omitempty"`
}

// HTTP holds the size limit and the timeouts for the requests of callers.
type HTTP struct {
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// HeaderMS is the timeout for reading a request's header, in milliseconds.
	HeaderMS int64 `json:"header_timeout_ms,omitempty"`
	// IdleMS is the timeout for an idle connection, in milliseconds.
	IdleMS int64 `json:"idle_timeout_ms,omitempty"`
	// BodyIdleMS is the timeout for each read from a request's body and for
	// each write of a response, in milliseconds.
	BodyIdleMS int64 `json:"body_idle_timeout_ms,omitempty"`
}

// Defaults returns the values of the fields that a file may omit.
func Defaults() Settings {
	return Settings{
		ReplaceVoterAfterMS: 30000,
		Stop:                Stop{BalancerMS: 1500, DeadlineMS: 10000},
		LogLevel:            "info",
		HTTP:                HTTP{MaxHeaderBytes: 64 << 10, HeaderMS: 5000, IdleMS: 60000, BodyIdleMS: 10000},
	}
}

// Load reads and checks a settings file. An invalid field gives a
// [service.FieldError].
func Load(file string) (s Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("load settings: %w", err)
	}
	return Parse(file, data)
}

// Parse decodes and checks the content of a settings file. Errors name the file.
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

// check returns a [service.FieldError] for the first invalid field.
func (s Settings) check(file string) error {
	fieldError := func(field string, value any, allowed string) error {
		return &service.FieldError{Document: file, Field: field, Value: value, Allowed: allowed}
	}
	checks := []func(func(string, any, string) error) error{
		s.checkNames, s.checkListen, s.checkControl, s.checkPeer, s.checkTokens, s.checkNumbers,
	}
	for _, c := range checks {
		if err := c(fieldError); err != nil {
			return err
		}
	}
	return nil
}

// fieldErrorFunc makes a [service.FieldError] for the file that is checked.
type fieldErrorFunc = func(field string, value any, allowed string) error

func (s Settings) checkNames(fieldError fieldErrorFunc) error {
	if !service.ValidName(s.Instance) {
		return fieldError("instance", fmt.Sprintf("%q", s.Instance), service.NameRule)
	}
	if !service.ValidName(s.Domain) {
		return fieldError("failure_domain", fmt.Sprintf("%q", s.Domain), service.NameRule)
	}
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, s.LogLevel) {
		return fieldError("log_level", fmt.Sprintf("%q", s.LogLevel), "debug, info, warn or error")
	}
	return nil
}

func (s Settings) checkListen(fieldError fieldErrorFunc) error {
	fields := []struct{ name, value string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.platform", s.Listen.Platform},
		{"listen.operator", s.Listen.Operator},
		{"listen.peer", s.Listen.Peer},
	}
	fieldByAddress := map[string]string{}
	for _, f := range fields {
		if !validAddress(f.value) {
			return fieldError(f.name, fmt.Sprintf("%q", f.value), "IP:port")
		}
		if other, ok := fieldByAddress[f.value]; ok {
			return fieldError(f.name, fmt.Sprintf("%q", f.value), "an address of its own, not that of "+other)
		}
		fieldByAddress[f.value] = f.name
	}
	return nil
}

func validAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}

func (s Settings) checkControl(fieldError fieldErrorFunc) error {
	voters := 0
	listed := map[string]bool{}
	for i, c := range s.Control {
		field := fmt.Sprintf("control[%d]", i)
		switch {
		case !service.ValidName(c.Instance):
			return fieldError(field+".instance", fmt.Sprintf("%q", c.Instance), service.NameRule)
		case listed[c.Instance]:
			return fieldError(field+".instance", fmt.Sprintf("%q", c.Instance), "each instance listed only once")
		case !service.ValidName(c.Domain):
			return fieldError(field+".failure_domain", fmt.Sprintf("%q", c.Domain), service.NameRule)
		case !validAddress(c.Address):
			return fieldError(field+".address", fmt.Sprintf("%q", c.Address), "IP:port")
		}
		listed[c.Instance] = true
		if c.Voter {
			voters++
		}
	}
	if voters%2 == 0 || voters > 7 {
		return fieldError("control", fmt.Sprintf("%d voters", voters), "1, 3, 5 or 7 voters")
	}
	if listed[s.Instance] != (s.DataFolder != "") {
		return fieldError("data_folder", fmt.Sprintf("%q", s.DataFolder), `a folder if control lists this instance, else ""`)
	}
	return nil
}

func (s Settings) checkPeer(fieldError fieldErrorFunc) error {
	if (s.PeerTLS != nil) == s.PeerPlainText {
		return fieldError("peer_tls", s.PeerTLS != nil, "exactly one of peer_tls and peer_plain_text")
	}
	if t := s.PeerTLS; t != nil && (t.CertificateFile == "" || t.KeyFile == "" || t.AuthorityFile == "") {
		return fieldError("peer_tls", "incomplete", "certificate_file, key_file and authority_file")
	}
	return nil
}

func (s Settings) checkTokens(fieldError fieldErrorFunc) error {
	for i, t := range s.OperatorTokens {
		field := fmt.Sprintf("operator_tokens[%d]", i)
		if t.Team != "*" && !service.ValidName(t.Team) {
			return fieldError(field+".team", fmt.Sprintf("%q", t.Team), `"*" or `+service.NameRule)
		}
		if sum, err := hex.DecodeString(t.SHA256); err != nil || len(sum) != 32 {
			return fieldError(field+".sha256", fmt.Sprintf("%d characters", len(t.SHA256)), "64 hexadecimal digits")
		}
	}
	return nil
}

func (s Settings) checkNumbers(fieldError fieldErrorFunc) error {
	fields := []struct {
		name     string
		value    int64
		min, max int64
	}{
		{"replace_voter_after_ms", s.ReplaceVoterAfterMS, 1000, 86400000},
		{"stop.balancer_ms", s.Stop.BalancerMS, 0, 60000},
		{"stop.deadline_ms", s.Stop.DeadlineMS, 0, 600000},
		{"limits.memory_mb", int64(s.Limits.MemoryMB), 0, 1 << 20},
		{"limits.max_fds", int64(s.Limits.MaxFDs), 0, 1 << 24},
		{"http.max_header_bytes", int64(s.HTTP.MaxHeaderBytes), 1024, 1 << 20},
		{"http.header_timeout_ms", s.HTTP.HeaderMS, 10, 600000},
		{"http.idle_timeout_ms", s.HTTP.IdleMS, 10, 600000},
		{"http.body_idle_timeout_ms", s.HTTP.BodyIdleMS, 10, 600000},
	}
	for _, f := range fields {
		if f.value < f.min || f.value > f.max {
			return fieldError(f.name, f.value, fmt.Sprintf("%d to %d", f.min, f.max))
		}
	}
	if s.Trace.Share < 0 || s.Trace.Share > 1 {
		return fieldError("trace.share", s.Trace.Share, "0 to 1")
	}
	return nil
}

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Voters returns the instances that bootstrap a new system as voters.
func (s Settings) Voters() []ControlInstance {
	return slices.DeleteFunc(slices.Clone(s.Control), func(c ControlInstance) bool { return !c.Voter })
}
