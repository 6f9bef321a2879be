package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/budget"
)

// maxReplayBodyBytes is the size up to which a request body is buffered in memory,
// so that a second attempt can send it again.
const maxReplayBodyBytes = 64 << 10

// body is the body of a caller's request, either buffered or streamed.
type body struct {
	// content is the whole body if it is buffered.
	content  []byte
	buffered bool
	// stream reads the body from the caller's connection, if it is not buffered.
	stream io.Reader
	length int64
	// started is true once a byte of an unbuffered body may have been read.
	started atomic.Bool
	// tooLarge is true when an unbuffered body was longer than its limit.
	tooLarge atomic.Bool
}

// reader returns the body for one attempt, or nil if a buffered body is empty.
func (b *body) reader() io.Reader {
	if b.buffered {
		if len(b.content) == 0 {
			return nil
		}
		return bytes.NewReader(b.content)
	}
	return b
}

// consumed reports whether the body can no longer be sent by another attempt.
func (b *body) consumed() bool { return !b.buffered && b.started.Load() }

// Read implements io.Reader for a body that is not buffered.
func (b *body) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.stream.Read(p)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		b.tooLarge.Store(true)
	}
	return n, err
}

// readBody returns the body of a request. It is buffered when it is small, or when
// the call has a key, since a claim needs a fingerprint of the whole request.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, idleTimeout time.Duration, keyed bool, hold *budget.Hold) (*body, error) {
	stream := &idleTimeoutReader{
		reader:     http.MaxBytesReader(w, r.Body, limit),
		controller: http.NewResponseController(w), idleTimeout: idleTimeout,
	}
	requestBody := &body{stream: stream, length: r.ContentLength}
	small := r.ContentLength >= 0 && r.ContentLength <= maxReplayBodyBytes
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if !small && !keyed {
		return requestBody, nil
	}
	bufferLimit := limit
	if r.ContentLength >= 0 {
		bufferLimit = r.ContentLength
	}
	content, err := budget.ReadAll(stream, hold, bufferLimit)
	if err != nil {
		return nil, err
	}
	requestBody.content = content
	requestBody.buffered = true
	// A request with trailers keeps its unknown length: only a chunked body can
	// carry trailers.
	if len(r.Trailer) == 0 {
		requestBody.length = int64(len(content))
	}
	return requestBody, nil
}

// idleTimeoutReader limits the time of each read from the caller's connection.
type idleTimeoutReader struct {
	reader      io.Reader
	controller  *http.ResponseController
	idleTimeout time.Duration
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	if err := r.controller.SetReadDeadline(time.Now().Add(r.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := r.reader.Read(p)
	if err != nil {
		// From now on net/http reads from the connection to detect that the
		// caller disconnects. That read must not time out.
		_ = r.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
