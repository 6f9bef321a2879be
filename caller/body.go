package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// replayBytes is the size up to which a request body is kept in memory, so
// that a second attempt can send it again.
const replayBytes = 64 << 10

// body is the body of a caller's request.
type body struct {
	// whole is the body if it is kept in memory.
	whole []byte
	kept  bool
	// stream reads the rest from the caller's connection.
	stream io.Reader
	length int64
	// started is true once a byte of the stream may have been read.
	started atomic.Bool
	// tooLarge is true when the stream was longer than its limit.
	tooLarge atomic.Bool
}

// reader gives the body for one attempt.
func (b *body) reader() io.Reader {
	if b.kept {
		if len(b.whole) == 0 {
			return nil
		}
		return bytes.NewReader(b.whole)
	}
	return b
}

// gone reports whether a second attempt would lack the body.
func (b *body) gone() bool { return !b.kept && b.started.Load() }

// Read reads the stream.
func (b *body) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.stream.Read(p)
	var limit *http.MaxBytesError
	if errors.As(err, &limit) {
		b.tooLarge.Store(true)
	}
	return n, err
}

// readBody takes the body of a request. It is kept when it is short, or when
// the call has a key, since a claim needs to know the whole request.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, idle time.Duration, keyed bool) (*body, error) {
	stream := &idleReader{
		reader:  http.MaxBytesReader(w, r.Body, limit),
		control: http.NewResponseController(w), idle: idle,
	}
	b := &body{stream: stream, length: r.ContentLength}
	short := r.ContentLength >= 0 && r.ContentLength <= replayBytes
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if !short && !keyed {
		return b, nil
	}
	whole, err := io.ReadAll(stream)
	if err != nil {
		return nil, err
	}
	b.whole = whole
	b.kept = true
	if len(r.Trailer) == 0 {
		b.length = int64(len(whole))
	}
	return b, nil
}

// idleReader gives a caller a bounded time for each part of its body.
type idleReader struct {
	reader  io.Reader
	control *http.ResponseController
	idle    time.Duration
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	if err := r.control.SetReadDeadline(time.Now().Add(r.idle)); err != nil {
		return 0, err
	}
	n, err := r.reader.Read(p)
	if err != nil {
		// The library watches the connection for the caller's departure from
		// now on, which must not time out.
		_ = r.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
