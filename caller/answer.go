package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/settings"
)

// copyBuffer is the size of the buffer between a server and a caller.
const copyBuffer = 32 << 10

// copyAnswer streams a server's answer to the caller. When the body ends
// early, the caller's connection is closed, so that the caller notices.
func (x *exchange) copyAnswer(r *http.Response) (err error) {
	defer func() { _ = r.Body.Close() }()
	if x.capture != nil {
		return x.copyCaptured(r)
	}
	h := x.writer.Header()
	copyResponseHeader(h, r.Header)
	announced := names(r.Trailer)
	announceTrailers(h, r.Trailer)
	x.begun = true
	x.writer.WriteHeader(r.StatusCode)
	if err := x.stream(r); err != nil {
		x.abort()
		return fmt.Errorf("copy answer: %w", err)
	}
	copyTrailers(h, r.Trailer, announced)
	return nil
}

// stream copies the body with a bounded time for each part. Parts go out at
// once when the server has not said how long the body is.
func (x *exchange) stream(r *http.Response) error {
	control := http.NewResponseController(x.writer)
	buffer := make([]byte, copyBuffer)
	for {
		n, readErr := r.Body.Read(buffer)
		if n > 0 {
			x.boundWrite()
			if _, err := x.writer.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		if r.ContentLength < 0 {
			if err := control.Flush(); err != nil {
				return err
			}
		}
	}
}

// boundWrite gives the caller a bounded time to take what is written next.
func (x *exchange) boundWrite() {
	idle := settings.Milliseconds(x.server.options.HTTP.BodyIdleMS)
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Now().Add(idle))
}

// abort closes the caller's connection without an end of the answer.
func (x *exchange) abort() {
	conn, _, err := http.NewResponseController(x.writer).Hijack()
	if err != nil {
		return
	}
	_ = conn.Close()
}

// capture keeps the answer of a keyed call, so that it can be played back.
type capture struct {
	limit  int64
	answer record.StoredAnswer
	// whole is true when the server's answer was read to its end.
	whole bool
}

// copyCaptured reads an answer up to the limit before any of it goes out. An
// answer that the server cuts short within the limit is never begun.
func (x *exchange) copyCaptured(r *http.Response) error {
	c := x.capture
	head, err := io.ReadAll(io.LimitReader(r.Body, c.limit+1))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	h := http.Header{}
	copyResponseHeader(h, r.Header)
	c.answer = record.StoredAnswer{Status: r.StatusCode, Header: h, Body: head}
	if int64(len(head)) > c.limit {
		c.answer = record.StoredAnswer{Status: r.StatusCode, Dropped: true}
	}
	for name, values := range h {
		x.writer.Header()[name] = values
	}
	announced := names(r.Trailer)
	announceTrailers(x.writer.Header(), r.Trailer)
	x.begun = true
	x.writer.WriteHeader(r.StatusCode)
	r.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), r.Body), r.Body}
	if err := x.stream(r); err != nil {
		x.abort()
		return fmt.Errorf("copy answer: %w", err)
	}
	c.whole = true
	copyTrailers(x.writer.Header(), r.Trailer, announced)
	return nil
}

// play gives the caller the answer that an earlier call got.
func (x *exchange) play(a record.StoredAnswer) {
	h := x.writer.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(HeaderReplayed, "1")
	x.boundWrite()
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	x.begun = true
	x.writer.WriteHeader(a.Status)
	_, _ = x.writer.Write(a.Body)
}
