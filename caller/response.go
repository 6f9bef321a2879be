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

// copyBufferBytes is the size of the buffer through which a response body is
// copied from a server to a caller.
const copyBufferBytes = 32 << 10

// copyResponse streams a server's response to the caller. When the body ends
// early or a write fails, it closes the caller's connection, so that the caller
// notices that the response is incomplete.
func (x *exchange) copyResponse(response *http.Response) (err error) {
	defer func() { _ = response.Body.Close() }()
	if x.capture != nil {
		return x.copyCaptured(response)
	}
	h := x.writer.Header()
	copyResponseHeader(h, response.Header)
	announced := nameSet(response.Trailer)
	announceTrailers(h, response.Trailer)
	x.responseStarted = true
	x.writer.WriteHeader(response.StatusCode)
	if err := x.streamBody(response); err != nil {
		x.abort()
		return fmt.Errorf("copy response: %w", err)
	}
	copyTrailers(h, response.Trailer, announced)
	return nil
}

// streamBody copies the body, with a timeout for each write. When the server has
// not stated the length of the body, each part is flushed immediately.
func (x *exchange) streamBody(response *http.Response) error {
	controller := http.NewResponseController(x.writer)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			x.setWriteDeadline()
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
		if response.ContentLength < 0 {
			if err := controller.Flush(); err != nil {
				return err
			}
		}
	}
}

// setWriteDeadline limits the time of the next write to the caller.
func (x *exchange) setWriteDeadline() {
	idle := settings.Milliseconds(x.server.options.HTTP.BodyIdleMS)
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Now().Add(idle))
}

// abort closes the caller's connection before the end of the response.
func (x *exchange) abort() {
	conn, _, err := http.NewResponseController(x.writer).Hijack()
	if err != nil {
		return
	}
	_ = conn.Close()
}

// capture stores the response to a call with an idempotency key, so that it can
// be replayed.
type capture struct {
	// limit is the maximum body size in bytes; a longer body is not stored.
	limit  int64
	stored record.StoredAnswer
	// complete is true when the server's response was copied to its end.
	complete bool
}

// copyCaptured reads the body up to the limit before it sends any part of the
// response to the caller. If the body breaks off before that, the caller gets
// nothing of the response and its connection stays open for a [Problem].
func (x *exchange) copyCaptured(response *http.Response) error {
	captured := x.capture
	if !x.hold.Reserve(captured.limit, 0, false) {
		// Without a reservation the response is streamed, and its result not kept.
		captured.limit = 0
	}
	prefix, err := io.ReadAll(io.LimitReader(response.Body, captured.limit+1))
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	header := http.Header{}
	copyResponseHeader(header, response.Header)
	captured.stored = record.StoredAnswer{Status: response.StatusCode, Header: header, Body: prefix}
	if int64(len(prefix)) > captured.limit {
		captured.stored = record.StoredAnswer{Status: response.StatusCode, Dropped: true}
	}
	for name, values := range header {
		x.writer.Header()[name] = values
	}
	announced := nameSet(response.Trailer)
	announceTrailers(x.writer.Header(), response.Trailer)
	x.responseStarted = true
	x.writer.WriteHeader(response.StatusCode)
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(prefix), response.Body), response.Body}
	if err := x.streamBody(response); err != nil {
		x.abort()
		return fmt.Errorf("copy response: %w", err)
	}
	captured.complete = true
	copyTrailers(x.writer.Header(), response.Trailer, announced)
	return nil
}

// writeStored sends the caller the stored response to an earlier call.
func (x *exchange) writeStored(stored record.StoredAnswer) {
	h := x.writer.Header()
	for name, values := range stored.Header {
		h[name] = values
	}
	h.Set(HeaderReplayed, "1")
	x.setWriteDeadline()
	h.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	x.responseStarted = true
	x.writer.WriteHeader(stored.Status)
	_, _ = x.writer.Write(stored.Body)
}
