package jsonform

import (
	"encoding/json"
	"fmt"

	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
)

// Envelope is a variant of a sealed interface in its JSON form.
type Envelope struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body,omitempty"`
}

// KindError says that a kind is not known.
type KindError struct {
	Family string
	Kind   string
}

// Error implements error.
func (e *KindError) Error() string {
	return fmt.Sprintf("%s of kind %q is not known", e.Family, e.Kind)
}

func seal(kind string, body any) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	return Envelope{Kind: kind, Body: data}, nil
}

// open decodes a body into a variant of the sealed interface S.
func open[T any, S any](e Envelope, as func(T) S) (S, error) {
	var body T
	if len(e.Body) > 0 {
		if err := json.Unmarshal(e.Body, &body); err != nil {
			var zero S
			return zero, fmt.Errorf("decode %s: %w", e.Kind, err)
		}
	}
	return as(body), nil
}

// EncodeCommand gives a command its JSON form.
func EncodeCommand(c record.Command) ([]byte, error) {
	e, err := seal(commandKind(c), c)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return Compress(data)
}

func commandKind(c record.Command) string {
	switch c.(type) {
	case record.Noop:
		return "noop"
	case record.PutDocument:
		return "put_document"
	case record.SetDomain:
		return "set_domain"
	case record.SetServer:
		return "set_server"
	case record.PutConfiguration:
		return "put_configuration"
	case record.Retire:
		return "retire"
	case record.Enroll:
		return "enroll"
	case record.Withdraw:
		return "withdraw"
	case record.Claim:
		return "claim"
	case record.Settle:
		return "settle"
	case record.Release:
		return "release"
	}
	return ""
}

// DecodeCommand reads a command. Empty data is a Noop.
func DecodeCommand(data []byte) (record.Command, error) {
	if len(data) == 0 {
		return record.Noop{}, nil
	}
	data, err := Decompress(data)
	if err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	switch e.Kind {
	case "noop":
		return record.Noop{}, nil
	case "put_document":
		return open(e, func(c record.PutDocument) record.Command { return c })
	case "set_domain":
		return open(e, func(c record.SetDomain) record.Command { return c })
	case "set_server":
		return open(e, func(c record.SetServer) record.Command { return c })
	case "put_configuration":
		return open(e, func(c record.PutConfiguration) record.Command { return c })
	case "retire":
		return open(e, func(c record.Retire) record.Command { return c })
	case "enroll":
		return open(e, func(c record.Enroll) record.Command { return c })
	case "withdraw":
		return open(e, func(c record.Withdraw) record.Command { return c })
	case "claim":
		return open(e, func(c record.Claim) record.Command { return c })
	case "settle":
		return open(e, func(c record.Settle) record.Command { return c })
	case "release":
		return open(e, func(c record.Release) record.Command { return c })
	}
	return nil, &KindError{"command", e.Kind}
}

// SealResult gives a result its JSON form.
func SealResult(r record.Result) (Envelope, error) { return seal(resultKind(r), r) }

func resultKind(r record.Result) string {
	switch r.(type) {
	case record.Done:
		return "done"
	case record.VersionConflict:
		return "version_conflict"
	case record.HostConflict:
		return "host_conflict"
	case record.Claimed:
		return "claimed"
	case record.InProgress:
		return "in_progress"
	case record.Replay:
		return "replay"
	case record.KeyMismatch:
		return "key_mismatch"
	case record.LedgerFull:
		return "ledger_full"
	}
	return ""
}

// OpenResult reads a result.
func OpenResult(e Envelope) (record.Result, error) {
	switch e.Kind {
	case "done":
		return open(e, func(r record.Done) record.Result { return r })
	case "version_conflict":
		return open(e, func(r record.VersionConflict) record.Result { return r })
	case "host_conflict":
		return open(e, func(r record.HostConflict) record.Result { return r })
	case "claimed":
		return record.Claimed{}, nil
	case "in_progress":
		return record.InProgress{}, nil
	case "replay":
		return open(e, func(r record.Replay) record.Result { return r })
	case "key_mismatch":
		return record.KeyMismatch{}, nil
	case "ledger_full":
		return record.LedgerFull{}, nil
	}
	return nil, &KindError{"result", e.Kind}
}

// SealMessage gives a message between replicas its JSON form.
func SealMessage(m replica.Message) (Envelope, error) { return seal(messageKind(m), m) }

func messageKind(m replica.Message) string {
	switch m.(type) {
	case replica.VoteRequest:
		return "vote_request"
	case replica.VoteReply:
		return "vote_reply"
	case replica.AppendRequest:
		return "append_request"
	case replica.AppendReply:
		return "append_reply"
	case replica.SnapshotRequest:
		return "snapshot_request"
	case replica.ElectionRequest:
		return "election_request"
	}
	return ""
}

// OpenMessage reads a message between replicas.
func OpenMessage(e Envelope) (replica.Message, error) {
	switch e.Kind {
	case "vote_request":
		return open(e, func(m replica.VoteRequest) replica.Message { return m })
	case "vote_reply":
		return open(e, func(m replica.VoteReply) replica.Message { return m })
	case "append_request":
		return open(e, func(m replica.AppendRequest) replica.Message { return m })
	case "append_reply":
		return open(e, func(m replica.AppendReply) replica.Message { return m })
	case "snapshot_request":
		return open(e, func(m replica.SnapshotRequest) replica.Message { return m })
	case "election_request":
		return open(e, func(m replica.ElectionRequest) replica.Message { return m })
	}
	return nil, &KindError{"message", e.Kind}
}
