// Package service holds the document that describes one service, and the
// checks that a document passes before the system accepts it.
//
// The document is owned and changed by the team that runs the service. It is
// the only place where the team's limits are stated: how many calls wait, how
// long they may take, how much measuring may cost, how cold servers warm up.
// The package is part of the core: decoding is the work of package jsonform.
//
// # Usage
//
//	d := service.Defaults("booking")
//	d.Limits.QueueLength = 64
//	if err := d.Check(); err != nil {
//		return err
//	}
package service

import (
	"fmt"
	"regexp"
	"time"
)

// Document describes one service. Durations are in milliseconds, sizes in
// bytes, shares between 0 and 1.
type Document struct {
	// Name is the service's name: lower-case letters, digits and hyphens.
	Name string `json:"name"`
	// Team owns the document. An operator's token is scoped to teams.
	Team string `json:"team"`
	// Version grows by one with each accepted change. A change states the
	// version that it replaces; zero creates the document.
	Version uint64 `json:"version"`
	// Hosts are the host names whose calls belong to the service.
	Hosts       []string    `json:"hosts"`
	Limits      Limits      `json:"limits"`
	Cold        Cold        `json:"cold"`
	Retry       Retry       `json:"retry"`
	Measure     Measure     `json:"measure"`
	Idempotency Idempotency `json:"idempotency"`
}

// Limits bounds the calls of the service.
type Limits struct {
	// DeadlineMS is the deadline of a call that states none.
	DeadlineMS int64 `json:"deadline_ms"`
	// MaxDeadlineMS caps the deadline that a caller may state. A slot whose
	// holder disappears comes back only after this time.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
	// QueueLength is how many calls may wait in one instance.
	QueueLength int `json:"queue_length"`
	// SlotsPerServer caps the slots that a server may announce.
	SlotsPerServer int `json:"slots_per_server"`
	// MaxBodyBytes caps a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Cold bounds what a server in cold start receives.
type Cold struct {
	// Slots is the limit of a server that has just started.
	Slots int `json:"slots"`
	// HoldMS is how long a server stays at that limit: the length of a cold
	// start.
	HoldMS int64 `json:"hold_ms"`
	// StepMS is how long it stays at each higher limit, one more at a time.
	StepMS int64 `json:"step_ms"`
	// SlowFactor is how many times its usual service time a server may need
	// before it is taken for cold again.
	SlowFactor float64 `json:"slow_factor"`
	// Sheds is how many calls in a row a server sheds before it is taken for
	// cold again.
	Sheds int `json:"sheds"`
}

// Retry bounds repeated attempts.
type Retry struct {
	// Ratio is how many retries and hedges each answered call pays for.
	Ratio float64 `json:"ratio"`
	// Burst is how many retries and hedges may be saved up in one instance.
	Burst float64 `json:"burst"`
	// MaxAttempts caps the attempts of one call.
	MaxAttempts int `json:"max_attempts"`
	// HedgeFactor is how many times the usual service time an idempotent call
	// waits before a second attempt begins; zero turns hedging off.
	HedgeFactor float64 `json:"hedge_factor"`
}

// Measure bounds what measuring load may cost.
type Measure struct {
	// ProbeCostMS is the slot time that one probe takes from a server.
	ProbeCostMS int64 `json:"probe_cost_ms"`
	// BudgetShare is the share of all slot time that probes may take.
	BudgetShare float64 `json:"budget_share"`
}

// Idempotency bounds the ledger of idempotency keys.
type Idempotency struct {
	// MaxKeys caps the keys that are remembered.
	MaxKeys int `json:"max_keys"`
	// MaxBytes caps the stored results together.
	MaxBytes int64 `json:"max_bytes"`
	// MaxResultBytes caps one stored result.
	MaxResultBytes int64 `json:"max_result_bytes"`
	// KeepMS is how long a key is remembered.
	KeepMS int64 `json:"keep_ms"`
}

// Defaults gives the document that a team starts from.
func Defaults(name string) Document {
	return Document{
		Name: name, Team: "default", Hosts: []string{name},
		Limits: Limits{
			DeadlineMS: 2000, MaxDeadlineMS: 10000, QueueLength: 256,
			SlotsPerServer: 6, MaxBodyBytes: 1 << 20,
		},
		Cold:    Cold{Slots: 1, HoldMS: 5000, StepMS: 500, SlowFactor: 5, Sheds: 3},
		Retry:   Retry{Ratio: 0.1, Burst: 10, MaxAttempts: 3, HedgeFactor: 3},
		Measure: Measure{ProbeCostMS: 6, BudgetShare: 0.01},
		Idempotency: Idempotency{
			MaxKeys: 20000, MaxBytes: 16 << 20, MaxResultBytes: 64 << 10, KeepMS: 600000,
		},
	}
}

// Deadline is the deadline of a call that states none.
func (d Document) Deadline() time.Duration { return milliseconds(d.Limits.DeadlineMS) }

// MaxDeadline is the longest deadline that a caller may state.
func (d Document) MaxDeadline() time.Duration { return milliseconds(d.Limits.MaxDeadlineMS) }

// ColdHold is how long a cold server stays at the cold limit.
func (d Document) ColdHold() time.Duration { return milliseconds(d.Cold.HoldMS) }

// ColdStep is how long a warming server stays at one limit.
func (d Document) ColdStep() time.Duration { return milliseconds(d.Cold.StepMS) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// FieldError says which field of a document is wrong.
type FieldError struct {
	// Document names the document, for example a service.
	Document string
	// Field is the JSON path of the field.
	Field string
	// Value is the refused value.
	Value any
	// Allowed says what the field may hold.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s is %v, allowed: %s", e.Document, e.Field, e.Value, e.Allowed)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether a name of a service, an instance, a failure
// domain or a server is well formed.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// NameRule says in words what ValidName accepts.
const NameRule = "1 to 63 lower-case letters, digits and hyphens"

// rule is one condition on one field.
type rule struct {
	ok      bool
	field   string
	value   any
	allowed string
}

// Check returns a [FieldError] for the first field that is wrong.
func (d Document) Check() error {
	rules := d.nameRules()
	rules = append(rules, d.limitRules()...)
	rules = append(rules, d.budgetRules()...)
	for _, r := range rules {
		if !r.ok {
			return &FieldError{Document: "service " + d.Name, Field: r.field, Value: r.value, Allowed: r.allowed}
		}
	}
	return nil
}

func (d Document) nameRules() []rule {
	rules := []rule{
		{ValidName(d.Name), "name", fmt.Sprintf("%q", d.Name), NameRule},
		{ValidName(d.Team), "team", fmt.Sprintf("%q", d.Team), NameRule},
		{len(d.Hosts) > 0, "hosts", len(d.Hosts), "at least one host name"},
	}
	seen := map[string]bool{}
	for i, h := range d.Hosts {
		ok := h != "" && !seen[h]
		seen[h] = true
		rules = append(rules, rule{ok, fmt.Sprintf("hosts[%d]", i), fmt.Sprintf("%q", h), "a host name, each once"})
	}
	return rules
}

func (d Document) limitRules() []rule {
	l, c := d.Limits, d.Cold
	return []rule{
		{l.DeadlineMS >= 1 && l.DeadlineMS <= l.MaxDeadlineMS, "limits.deadline_ms", l.DeadlineMS, "1 to limits.max_deadline_ms"},
		{l.MaxDeadlineMS >= 1 && l.MaxDeadlineMS <= 60000, "limits.max_deadline_ms", l.MaxDeadlineMS, "1 to 60000"},
		{l.QueueLength >= 0 && l.QueueLength <= 10000, "limits.queue_length", l.QueueLength, "0 to 10000"},
		{l.SlotsPerServer >= 1 && l.SlotsPerServer <= 1000, "limits.slots_per_server", l.SlotsPerServer, "1 to 1000"},
		{l.MaxBodyBytes >= 0 && l.MaxBodyBytes <= 1<<30, "limits.max_body_bytes", l.MaxBodyBytes, "0 to 1073741824"},
		{c.Slots >= 1 && c.Slots <= l.SlotsPerServer, "cold.slots", c.Slots, "1 to limits.slots_per_server"},
		{c.HoldMS >= 10 && c.HoldMS <= 600000, "cold.hold_ms", c.HoldMS, "10 to 600000"},
		{c.StepMS >= 10 && c.StepMS <= 600000, "cold.step_ms", c.StepMS, "10 to 600000"},
		{c.SlowFactor >= 1.5 && c.SlowFactor <= 100, "cold.slow_factor", c.SlowFactor, "1.5 to 100"},
		{c.Sheds >= 1 && c.Sheds <= 100, "cold.sheds", c.Sheds, "1 to 100"},
	}
}

func (d Document) budgetRules() []rule {
	r, m, i := d.Retry, d.Measure, d.Idempotency
	return []rule{
		{r.Ratio >= 0 && r.Ratio <= 1, "retry.ratio", r.Ratio, "0 to 1"},
		{r.Burst >= 0 && r.Burst <= 1000, "retry.burst", r.Burst, "0 to 1000"},
		{r.MaxAttempts >= 1 && r.MaxAttempts <= 10, "retry.max_attempts", r.MaxAttempts, "1 to 10"},
		{r.HedgeFactor == 0 || r.HedgeFactor >= 1, "retry.hedge_factor", r.HedgeFactor, "0, or 1 and more"},
		{m.ProbeCostMS >= 0 && m.ProbeCostMS <= 1000, "measure.probe_cost_ms", m.ProbeCostMS, "0 to 1000"},
		{m.BudgetShare >= 0 && m.BudgetShare <= 0.2, "measure.budget_share", m.BudgetShare, "0 to 0.2"},
		{i.MaxKeys >= 0 && i.MaxKeys <= 1000000, "idempotency.max_keys", i.MaxKeys, "0 to 1000000"},
		{i.MaxBytes >= 0 && i.MaxBytes <= 1<<30, "idempotency.max_bytes", i.MaxBytes, "0 to 1073741824"},
		{i.MaxResultBytes >= 0 && i.MaxResultBytes <= i.MaxBytes, "idempotency.max_result_bytes", i.MaxResultBytes, "0 to idempotency.max_bytes"},
		{i.KeepMS >= 1000 && i.KeepMS <= 86400000, "idempotency.keep_ms", i.KeepMS, "1000 to 86400000"},
	}
}
