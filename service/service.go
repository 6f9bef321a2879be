// Package service holds the document that describes one service, and the
// checks that a document must pass before the system accepts it.
//
// The team that runs the service owns the document and changes it. It is the
// only place where the team's limits are set: how many calls may wait, how long
// calls may take, how much load measurement may cost, and how cold servers warm
// up. The package is part of the core; package jsonform decodes documents.
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
	// Name is the service's name: lower-case letters, digits and hyphens; see
	// [NameRule].
	Name string `json:"name"`
	// Team is the team that owns the document. An operator's token allows
	// changes to the documents of one team, or of all teams.
	Team string `json:"team"`
	// Version grows by one with each accepted change. A change names the
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

// Limits holds the limits of the service's calls.
type Limits struct {
	// DeadlineMS is the deadline of a call that sets none.
	DeadlineMS int64 `json:"deadline_ms"`
	// MaxDeadlineMS is the longest deadline that a caller may set; a longer one
	// is shortened to it. When the holder of a slot disappears, the slot is
	// granted again only this time after the end of the holder's lease.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
	// QueueLength is the maximum number of waiting calls in one instance.
	QueueLength int `json:"queue_length"`
	// SlotsPerServer is the maximum number of slots used of one server,
	// whatever it announces.
	SlotsPerServer int `json:"slots_per_server"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Cold limits the load of a server during its cold start.
type Cold struct {
	// Slots is the number of concurrent calls of a server that has just
	// started.
	Slots int `json:"slots"`
	// HoldMS is the duration of a cold start, for which a server stays at
	// that limit.
	HoldMS int64 `json:"hold_ms"`
	// StepMS is the minimum interval between increases of the limit, one slot
	// each.
	StepMS int64 `json:"step_ms"`
	// SlowFactor is the slowdown, relative to the expected service time,
	// above which a server is marked cold again.
	SlowFactor float64 `json:"slow_factor"`
	// Sheds is the number of consecutive shed calls after which a server is
	// marked cold again.
	Sheds int `json:"sheds"`
}

// Retry limits repeated attempts.
type Retry struct {
	// Ratio is the number of retries and hedges that each answered call adds
	// to the retry budget.
	Ratio float64 `json:"ratio"`
	// Burst is the maximum retry budget of one instance, in attempts.
	Burst float64 `json:"burst"`
	// MaxAttempts is the maximum number of attempts of one call.
	MaxAttempts int `json:"max_attempts"`
	// HedgeFactor sets the delay before a second attempt of an idempotent
	// call, as a multiple of the expected service time. Zero turns hedging
	// off.
	HedgeFactor float64 `json:"hedge_factor"`
}

// Measure limits the cost of measuring load.
type Measure struct {
	// ProbeCostMS is the slot time that one probe takes from a server.
	ProbeCostMS int64 `json:"probe_cost_ms"`
	// BudgetShare is the share of all slot time that probes may take.
	BudgetShare float64 `json:"budget_share"`
}

// Idempotency limits the ledger of idempotency keys.
type Idempotency struct {
	// MaxKeys is the maximum number of stored keys.
	MaxKeys int `json:"max_keys"`
	// MaxBytes is the maximum total size of the bodies of stored results.
	MaxBytes int64 `json:"max_bytes"`
	// MaxResultBytes is the maximum size of the body of one stored result. A
	// result with a longer body is stored without it.
	MaxResultBytes int64 `json:"max_result_bytes"`
	// KeepMS is the time for which a key is stored, counted from its claim.
	KeepMS int64 `json:"keep_ms"`
}

// Defaults returns the document that a team starts from.
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

// Deadline returns the deadline of a call that sets none.
func (d Document) Deadline() time.Duration { return milliseconds(d.Limits.DeadlineMS) }

// MaxDeadline returns the longest deadline that a caller may set.
func (d Document) MaxDeadline() time.Duration { return milliseconds(d.Limits.MaxDeadlineMS) }

// ColdHold returns how long a cold server stays at the cold limit.
func (d Document) ColdHold() time.Duration { return milliseconds(d.Cold.HoldMS) }

// ColdStep returns the interval between increases of a warming server's limit.
func (d Document) ColdStep() time.Duration { return milliseconds(d.Cold.StepMS) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// FieldError names the invalid field of a document, its value and what is
// allowed.
type FieldError struct {
	// Document names the document, for example a service.
	Document string
	// Field is the JSON path of the field.
	Field string
	// Value is the rejected value.
	Value any
	// Allowed describes the valid values.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s is %v, allowed: %s", e.Document, e.Field, e.Value, e.Allowed)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether the name of a service, an instance, a failure
// domain or a server is well formed.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// NameRule describes the names that [ValidName] accepts, for error messages. It
// leaves out that a hyphen may be neither first nor last.
const NameRule = "1 to 63 lower-case letters, digits and hyphens"

// rule is one condition on one field.
type rule struct {
	ok      bool
	field   string
	value   any
	allowed string
}

// Check returns a [FieldError] for the first invalid field.
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
	limits, cold := d.Limits, d.Cold
	return []rule{
		{limits.DeadlineMS >= 1 && limits.DeadlineMS <= limits.MaxDeadlineMS, "limits.deadline_ms", limits.DeadlineMS, "1 to limits.max_deadline_ms"},
		{limits.MaxDeadlineMS >= 1 && limits.MaxDeadlineMS <= 60000, "limits.max_deadline_ms", limits.MaxDeadlineMS, "1 to 60000"},
		{limits.QueueLength >= 0 && limits.QueueLength <= 10000, "limits.queue_length", limits.QueueLength, "0 to 10000"},
		{limits.SlotsPerServer >= 1 && limits.SlotsPerServer <= 1000, "limits.slots_per_server", limits.SlotsPerServer, "1 to 1000"},
		{limits.MaxBodyBytes >= 0 && limits.MaxBodyBytes <= 1<<30, "limits.max_body_bytes", limits.MaxBodyBytes, "0 to 1073741824"},
		{cold.Slots >= 1 && cold.Slots <= limits.SlotsPerServer, "cold.slots", cold.Slots, "1 to limits.slots_per_server"},
		{cold.HoldMS >= 10 && cold.HoldMS <= 600000, "cold.hold_ms", cold.HoldMS, "10 to 600000"},
		{cold.StepMS >= 10 && cold.StepMS <= 600000, "cold.step_ms", cold.StepMS, "10 to 600000"},
		{cold.SlowFactor >= 1.5 && cold.SlowFactor <= 100, "cold.slow_factor", cold.SlowFactor, "1.5 to 100"},
		{cold.Sheds >= 1 && cold.Sheds <= 100, "cold.sheds", cold.Sheds, "1 to 100"},
	}
}

func (d Document) budgetRules() []rule {
	retry, measure, idempotency := d.Retry, d.Measure, d.Idempotency
	return []rule{
		{retry.Ratio >= 0 && retry.Ratio <= 1, "retry.ratio", retry.Ratio, "0 to 1"},
		{retry.Burst >= 0 && retry.Burst <= 1000, "retry.burst", retry.Burst, "0 to 1000"},
		{retry.MaxAttempts >= 1 && retry.MaxAttempts <= 10, "retry.max_attempts", retry.MaxAttempts, "1 to 10"},
		{retry.HedgeFactor == 0 || retry.HedgeFactor >= 1, "retry.hedge_factor", retry.HedgeFactor, "0, or 1 and more"},
		{measure.ProbeCostMS >= 0 && measure.ProbeCostMS <= 1000, "measure.probe_cost_ms", measure.ProbeCostMS, "0 to 1000"},
		{measure.BudgetShare >= 0 && measure.BudgetShare <= 0.2, "measure.budget_share", measure.BudgetShare, "0 to 0.2"},
		{idempotency.MaxKeys >= 0 && idempotency.MaxKeys <= 1000000, "idempotency.max_keys", idempotency.MaxKeys, "0 to 1000000"},
		{idempotency.MaxBytes >= 0 && idempotency.MaxBytes <= 1<<30, "idempotency.max_bytes", idempotency.MaxBytes, "0 to 1073741824"},
		{idempotency.MaxResultBytes >= 0 && idempotency.MaxResultBytes <= idempotency.MaxBytes, "idempotency.max_result_bytes", idempotency.MaxResultBytes, "0 to idempotency.max_bytes"},
		{idempotency.KeepMS >= 1000 && idempotency.KeepMS <= 86400000, "idempotency.keep_ms", idempotency.KeepMS, "1000 to 86400000"},
	}
}
