package upstream

import (
	"bufio"
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/placement"
)

// FuzzResponse checks that no bytes of an upstream make the client panic, that a body
// that is not streamed and a rest are bounded, that a success always has the request's ID and a
// signature, that only a failure is delivered without a signature, and that no status is
// delivered that promises that the request was not run.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s1\r\nContent-Length: 2\r\n\r\nok"), false)
	f.Add([]byte("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 1e999\r\nContent-Length: 0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 302 Found\r\nRequest-Id: r1\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, data []byte, used bool) {
		source := &limitedSource{source: bytes.NewReader(data)}
		c := &Conn{reader: bufio.NewReaderSize(source, readBufferBytes), source: source, used: used}
		c.OnNotice = func(n placement.Notice) {
			if length, _ := n.RestTime(); length < 0 || length > 5*time.Minute {
				t.Fatalf("a rest of %s was accepted", length)
			}
		}
		names := header.Names{RequestID: "Request-Id", Signature: "Signature", NotRun: "Not-Run", Load: "Load", Leaving: "Leaving"}
		response, outcome := c.readResponse(context.Background(), names, Request{Method: "POST", ID: "r1"})
		if len(response.Body) > maxBufferedBodyBytes+1 {
			t.Fatalf("%d bytes of a body were buffered", len(response.Body))
		}
		if _, answered := outcome.(placement.Answered); answered && response.Status < 300 &&
			(response.Header.Get(names.RequestID) != "r1" || response.Header.Get(names.Signature) == "") {
			t.Fatalf("a success without ID or signature was accepted: %v", response.Header)
		}
		if _, answered := outcome.(placement.Answered); answered && (promisesNotRun(response.Status) ||
			response.Status < 500 && response.Header.Get(names.Signature) == "" ||
			used && response.Header.Get(names.RequestID) != "r1") {
			t.Fatalf("status %d was accepted: %v", response.Status, response.Header)
		}
	})
}
