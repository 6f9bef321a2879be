package ingress

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/route"
)

// FuzzRequest checks that no bytes of a caller make the parser panic, that a body is
// bounded, that a body with a length has that length, and that what is passed on can't
// be understood as another request.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /view/1 HTTP/1.1\r\nHost: booking\r\n\r\n"))
	f.Add([]byte("POST /book/1 HTTP/1.1\r\nHost: booking\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("POST /book/1 HTTP/1.1\r\nHost: booking\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Add([]byte("\r\nGET http://booking:80/view/1?x HTTP/1.1\r\nHost: other\r\nDeadline: 1e999\r\n\r\n"))
	f.Add([]byte("POST /book/1 HTTP/1.1\r\nHost: booking\r\nContent-Length : 2\r\n\r\nhi"))
	f.Add([]byte("POST /book/1 HTTP/1.0\r\nHost: booking\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("POST /book/1 HTTP/1.1\r\nHost: booking\r\nDeadline: NaN\r\nTransfer-Encoding: Chunked\r\n\r\n02 ;x=\"y\"\r\nhi\r\n00\r\nSum: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		const bodyLimit = 1 << 20
		limits := route.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: bodyLimit}
		reader := bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes)
		head, err := readHead(reader, defaultHeaderBytes)
		if err != nil {
			return
		}
		r, err := parseHead(head, header.Names{RequestID: "Request-Id", Deadline: "Deadline"}, time.Now())
		if err != nil {
			return
		}
		checkAccepted(t, head, r)
		if r.checkLength(bodyLimit) != nil || r.readBody(reader, limits) != nil {
			return
		}
		rest := int64(0)
		if r.Rest != nil {
			if rest, err = io.Copy(io.Discard, r.Rest); err != nil {
				return
			}
		}
		length := int64(len(r.Body)) + rest
		if length > bodyLimit || r.Length >= 0 && length != r.Length {
			t.Fatalf("body of %d bytes was read, length %d", length, r.Length)
		}
		if r.bodyUnread() {
			t.Fatal("a body that was read to its end counts as unread")
		}
	})
}

// checkAccepted checks a request whose head is accepted: one host, one length at most,
// a path as the target, and no bytes that end a line where the request is written out.
func checkAccepted(t *testing.T, head requestHead, r *Request) {
	if head.hosts > 1 || head.contentLengths+head.transferEncodings > 1 {
		t.Fatalf("%+v is accepted", head)
	}
	if !strings.HasPrefix(r.Target, "/") || !strings.HasPrefix(r.Target, r.Path) {
		t.Fatalf("target %q, path %q", r.Target, r.Path)
	}
	if r.CallerTimeout < 0 || r.CallerTimeout > maxCallerTimeout {
		t.Fatalf("timeout %s", r.CallerTimeout)
	}
	if strings.ContainsAny(r.Method+r.Target, " \r\n\t") || strings.ContainsAny(r.Host, "\r\n") {
		t.Fatalf("%q %q %q", r.Method, r.Target, r.Host)
	}
	for name := range r.Header {
		if strings.ContainsAny(name, " \t\r\n:") {
			t.Fatalf("header name %q", name)
		}
	}
}
