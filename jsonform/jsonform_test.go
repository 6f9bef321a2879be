package jsonform_test

import (
	"encoding/json"
	"testing"

	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/service"
)

// FuzzDocument guards against a stored document that cannot be read back: a
// document that DecodeStrict accepts must be accepted again after encoding. No
// input may cause a panic.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"name":"booking","limits":{"queue_length":1}}`))
	f.Add([]byte(`{"name":"a","name":"b"}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var document service.Document
		if jsonform.DecodeStrict("fuzz", data, &document) != nil {
			return
		}
		written, err := json.Marshal(document)
		if err != nil {
			t.Fatal(err)
		}
		var again service.Document
		if err := jsonform.DecodeStrict("fuzz", written, &again); err != nil {
			t.Fatalf("%s: %v", written, err)
		}
	})
}

// FuzzCommand guards against a log entry that cannot be read back: a command that
// can be decoded must be encodable, and the result must be decodable.
func FuzzCommand(f *testing.F) {
	f.Add([]byte(`{"kind":"claim","body":{"service":"booking","key":"k"}}`))
	f.Add([]byte(`{"kind":"put_document","body":{}}`))
	f.Add([]byte(`{"kind":"noop"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := jsonform.DecodeCommand(data)
		if err != nil {
			return
		}
		written, err := jsonform.EncodeCommand(command)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := jsonform.DecodeCommand(written); err != nil {
			t.Fatalf("%s: %v", written, err)
		}
	})
}

// FuzzMessage guards against a peer that stops this instance with an invalid
// message: no input may cause a panic, and a decoded message must be encodable.
func FuzzMessage(f *testing.F) {
	f.Add("append_request", []byte(`{"term":1,"entries":[{"index":1}]}`))
	f.Add("vote_reply", []byte(`{}`))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		m, err := jsonform.DecodeMessage(jsonform.Envelope{Kind: kind, Body: body})
		if err != nil {
			return
		}
		if _, err := jsonform.EncodeMessage(m); err != nil {
			t.Fatal(err)
		}
	})
}
