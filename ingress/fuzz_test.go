package ingress

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/route"
)

// FuzzRequest checks that no bytes of a caller make the parser panic, that a body is
// bounded, and that a body with a length has that length.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /view/1 HTTP/1.1\r\nHost: booking\r\n\r\n"))
	f.Add([]byte("POST /book/1 HTTP/1.1\r\nHost: booking\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("POST /book/1 HTTP/1.1\r\nHost: booking\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		const bodyLimit = 1 << 20
		limits := route.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: bodyLimit}
		reader := bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes)
		head, err := readHead(reader, defaultHeaderBytes)
		if err != nil {
			return
		}
		r, err := parseHead(head, header.Names{RequestID: "Request-Id", Deadline: "Deadline"}, time.Now())
		if err != nil || r.checkLength(bodyLimit) != nil || r.readBody(reader, limits) != nil {
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
