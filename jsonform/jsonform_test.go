package jsonform_test

import (
	"encoding/json"
	"testing"

	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/service"
)

// FuzzDocument checks that what a document's reader accepts, it accepts again
// after writing, and that nothing makes it panic.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"name":"booking","limits":{"queue_length":1}}`))
	f.Add([]byte(`{"name":"a","name":"b"}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d service.Document
		if jsonform.DecodeStrict("fuzz", data, &d) != nil {
			return
		}
		written, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		var again service.Document
		if err := jsonform.DecodeStrict("fuzz", written, &again); err != nil {
			t.Fatalf("%s: %v", written, err)
		}
	})
}

// FuzzCommand checks that a command that can be read can be written and read.
func FuzzCommand(f *testing.F) {
	f.Add([]byte(`{"kind":"claim","body":{"service":"booking","key":"k"}}`))
	f.Add([]byte(`{"kind":"put_document","body":{}}`))
	f.Add([]byte(`{"kind":"noop"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := jsonform.DecodeCommand(data)
		if err != nil {
			return
		}
		written, err := jsonform.EncodeCommand(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := jsonform.DecodeCommand(written); err != nil {
			t.Fatalf("%s: %v", written, err)
		}
	})
}

// FuzzMessage checks that nothing that a peer sends makes the reader panic.
func FuzzMessage(f *testing.F) {
	f.Add("append_request", []byte(`{"term":1,"entries":[{"index":1}]}`))
	f.Add("vote_reply", []byte(`{}`))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		m, err := jsonform.OpenMessage(jsonform.Envelope{Kind: kind, Body: body})
		if err != nil {
			return
		}
		if _, err := jsonform.SealMessage(m); err != nil {
			t.Fatal(err)
		}
	})
}
