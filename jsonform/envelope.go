package jsonform

import (
	"encoding/json"
	"fmt"

	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
)

// Envelope is the JSON form of one variant of a sealed interface.
type Envelope struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body,omitempty"`
}

// UnknownKindError is returned for an envelope whose kind is not known.
type UnknownKindError struct {
	// Family is "command", "result" or "message".
	Family string
	// Kind is the kind in the envelope.
	Kind string
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("%s of kind %q is not known", e.Family, e.Kind)
}

func encodeVariant(kind string, body any) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	return Envelope{Kind: kind, Body: data}, nil
}

// decodeVariant decodes the body of an envelope into the variant T and returns it
// as the sealed interface S.
func decodeVariant[T any, S any](e Envelope, as func(T) S) (S, error) {
	var body T
	if len(e.Body) > 0 {
		if err := json.Unmarshal(e.Body, &body); err != nil {
			var zero S
			return zero, fmt.Errorf("decode %s: %w", e.Kind, err)
		}
	}
	return as(body), nil
}

// EncodeCommand encodes a command as JSON, compressed by [Compress] if it is long.
func EncodeCommand(c record.Command) ([]byte, error) {
	e, err := encodeVariant(commandKind(c), c)
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
	case record.BeginRollout:
		return "begin_rollout"
	case record.EndRollout:
		return "end_rollout"
	case record.Claim:
		return "claim"
	case record.Settle:
		return "settle"
	case record.Release:
		return "release"
	}
	return ""
}

// DecodeCommand decodes a command that [EncodeCommand] returned. Empty data is a
// [record.Noop].
func DecodeCommand(data []byte) (record.Command, error) {
	if len(data) == 0 {
		return record.Noop{}, nil
	}
	data, err := Decompress(data)
	if err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	var envelope Envelope
	if err := json.Unmarshal(data, &envelope); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	switch envelope.Kind {
	case "noop":
		return record.Noop{}, nil
	case "put_document":
		return decodeVariant(envelope, func(c record.PutDocument) record.Command { return c })
	case "set_domain":
		return decodeVariant(envelope, func(c record.SetDomain) record.Command { return c })
	case "set_server":
		return decodeVariant(envelope, func(c record.SetServer) record.Command { return c })
	case "put_configuration":
		return decodeVariant(envelope, func(c record.PutConfiguration) record.Command { return c })
	case "retire":
		return decodeVariant(envelope, func(c record.Retire) record.Command { return c })
	case "enroll":
		return decodeVariant(envelope, func(c record.Enroll) record.Command { return c })
	case "withdraw":
		return decodeVariant(envelope, func(c record.Withdraw) record.Command { return c })
	case "begin_rollout":
		return decodeVariant(envelope, func(c record.BeginRollout) record.Command { return c })
	case "end_rollout":
		return decodeVariant(envelope, func(c record.EndRollout) record.Command { return c })
	case "claim":
		return decodeVariant(envelope, func(c record.Claim) record.Command { return c })
	case "settle":
		return decodeVariant(envelope, func(c record.Settle) record.Command { return c })
	case "release":
		return decodeVariant(envelope, func(c record.Release) record.Command { return c })
	}
	return nil, &UnknownKindError{"command", envelope.Kind}
}

// EncodeResult encodes a result as an envelope.
func EncodeResult(r record.Result) (Envelope, error) { return encodeVariant(resultKind(r), r) }

func resultKind(r record.Result) string {
	switch r.(type) {
	case record.Done:
		return "done"
	case record.Overtaken:
		return "overtaken"
	case record.VersionConflict:
		return "version_conflict"
	case record.HostConflict:
		return "host_conflict"
	case record.RolloutConflict:
		return "rollout_conflict"
	case record.UnknownService:
		return "unknown_service"
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

// DecodeResult decodes the result in an envelope.
func DecodeResult(envelope Envelope) (record.Result, error) {
	switch envelope.Kind {
	case "done":
		return decodeVariant(envelope, func(r record.Done) record.Result { return r })
	case "overtaken":
		return decodeVariant(envelope, func(r record.Overtaken) record.Result { return r })
	case "version_conflict":
		return decodeVariant(envelope, func(r record.VersionConflict) record.Result { return r })
	case "host_conflict":
		return decodeVariant(envelope, func(r record.HostConflict) record.Result { return r })
	case "rollout_conflict":
		return decodeVariant(envelope, func(r record.RolloutConflict) record.Result { return r })
	case "unknown_service":
		return record.UnknownService{}, nil
	case "claimed":
		return record.Claimed{}, nil
	case "in_progress":
		return record.InProgress{}, nil
	case "replay":
		return decodeVariant(envelope, func(r record.Replay) record.Result { return r })
	case "key_mismatch":
		return record.KeyMismatch{}, nil
	case "ledger_full":
		return record.LedgerFull{}, nil
	}
	return nil, &UnknownKindError{"result", envelope.Kind}
}

// EncodeMessage encodes a message between replicas as an envelope.
func EncodeMessage(m replica.Message) (Envelope, error) { return encodeVariant(messageKind(m), m) }

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

// DecodeMessage decodes the message between replicas in an envelope.
func DecodeMessage(envelope Envelope) (replica.Message, error) {
	switch envelope.Kind {
	case "vote_request":
		return decodeVariant(envelope, func(m replica.VoteRequest) replica.Message { return m })
	case "vote_reply":
		return decodeVariant(envelope, func(m replica.VoteReply) replica.Message { return m })
	case "append_request":
		return decodeVariant(envelope, func(m replica.AppendRequest) replica.Message { return m })
	case "append_reply":
		return decodeVariant(envelope, func(m replica.AppendReply) replica.Message { return m })
	case "snapshot_request":
		return decodeVariant(envelope, func(m replica.SnapshotRequest) replica.Message { return m })
	case "election_request":
		return decodeVariant(envelope, func(m replica.ElectionRequest) replica.Message { return m })
	}
	return nil, &UnknownKindError{"message", envelope.Kind}
}
