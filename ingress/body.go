package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/route"
)

// checkLength refuses a body whose length is known to be above the limit.
func (r *Request) checkLength(limit int64) error {
	if r.Length > limit {
		return errBodyTooLarge
	}
	return nil
}

// errBodyTooLarge is the error for a body above the limit.
var errBodyTooLarge = &StatusError{http.StatusRequestEntityTooLarge, "body too large"}

// readBody reads the body into Body. Of a long body only the beginning is read, and
// the remainder is left in Rest. A body that ends too early gives
// [io.ErrUnexpectedEOF], as the caller has closed the connection.
func (r *Request) readBody(reader *bufio.Reader, limits route.Limits) error {
	var body io.Reader
	bufferedLimit := int64(maxBufferedBodyBytes)
	switch {
	case r.Length == 0:
		return nil
	case r.Length > 0:
		body = &fixedLengthBody{source: reader, remaining: r.Length}
	default:
		body = &chunkedBody{source: reader, remaining: limits.BodyBytes, trailerLimit: limits.HeaderBytes}
		// One more byte shows whether a body that fills the buffer goes on.
		bufferedLimit++
	}
	if r.Length > 0 {
		bufferedLimit = min(bufferedLimit, r.Length)
	}
	buffer := budget.Buffer{Limit: int(bufferedLimit), Grow: r.growBody}
	if err := buffer.Fill(body); err != nil {
		return err
	}
	r.Body = buffer.Bytes
	if r.Length > maxBufferedBodyBytes || r.Length < 0 && int64(len(r.Body)) == bufferedLimit {
		r.Rest = &streamedBody{source: body, conn: r.conn, ended: make(chan struct{})}
	}
	return nil
}

// streamedBody is the part of a body that is forwarded while it arrives. The task
// that forwards it reads it, and the tasks of the connection ask whether it was read to its
// end.
type streamedBody struct {
	source io.Reader
	conn   *conn
	// ended is closed once the body was read to its end.
	ended   chan struct{}
	endOnce sync.Once
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.conn.beginReading(time.Now())
	n, err := b.source.Read(p)
	b.conn.endReading()
	if errors.Is(err, io.EOF) {
		b.endOnce.Do(func() { close(b.ended) })
	}
	return n, err
}

// bodyUnread reports whether bytes of the body may still arrive on the connection.
func (r *Request) bodyUnread() bool {
	body, streamed := r.Rest.(*streamedBody)
	if !streamed {
		return false
	}
	select {
	case <-body.ended:
		return false
	default:
		return true
	}
}

// fixedLengthBody is a body with a Content-Length. A body that ends before that
// length is an error.
type fixedLengthBody struct {
	source    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *fixedLengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) && b.remaining > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody decodes a chunked body and discards its extensions and its trailer.
// The decoder of package httputil refuses spaces before an extension, which must be
// accepted (RFC 9112, section 7.1.1), and limits lines to the size of the buffer.
type chunkedBody struct {
	source *bufio.Reader
	// remaining is how many more bytes the limit for the body allows.
	remaining int64
	// trailerLimit is the limit for the lines of the trailer together.
	trailerLimit int
	// chunkRemaining is how many bytes of the current chunk are unread.
	chunkRemaining int64
	// endUnread is true when the CR LF at the end of the current chunk is unread.
	endUnread bool
	// overhead is how many bytes of extensions are not balanced by content.
	overhead int64
	// err is the error that ended the body: [io.EOF] after the trailer.
	err error
}

const (
	// maxChunkLineBytes limits the size of a chunk with its extensions.
	maxChunkLineBytes = 4 << 10
	// maxChunkOverhead limits the bytes of extensions, beyond those for which chunks
	// have freeChunkOverhead and twice their size. A body in chunks of one byte is
	// accepted.
	maxChunkOverhead  = 16 << 10
	freeChunkOverhead = 16
)

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.err == nil {
		n, b.err = b.read(p)
	}
	return n, b.err
}

func (b *chunkedBody) read(p []byte) (n int, err error) {
	if b.chunkRemaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, unexpectedEOF(err)
		}
		if b.chunkRemaining == 0 {
			if err := b.readTrailer(); err != nil {
				return 0, unexpectedEOF(err)
			}
			return 0, io.EOF
		}
	}
	n, err = b.source.Read(p[:min(int64(len(p)), b.chunkRemaining)])
	b.chunkRemaining -= int64(n)
	return n, unexpectedEOF(err)
}

// unexpectedEOF replaces [io.EOF] in the middle of a body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func malformedBody(reason string) error { return malformed("the body is broken: " + reason) }

// nextChunk reads the end of the current chunk and the size of the next one.
func (b *chunkedBody) nextChunk() error {
	if b.endUnread {
		var end [2]byte
		if _, err := io.ReadFull(b.source, end[:]); err != nil {
			return err
		}
		if string(end[:]) != "\r\n" {
			return malformedBody("malformed chunked encoding")
		}
	}
	line, err := readLine(b.source, maxChunkLineBytes)
	switch {
	case errors.Is(err, errLineTooLong):
		return malformedBody("header line too long")
	case errors.Is(err, errLineEnd):
		return malformedBody("chunked line ends with bare LF")
	case err != nil:
		return err
	}
	digits, _, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r\n")), []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return malformedBody("http chunk length too large")
	case err != nil:
		return malformedBody("invalid byte in chunk length")
	case int64(size) > b.remaining:
		return errBodyTooLarge
	}
	b.overhead = max(0, b.overhead+int64(len(line))-freeChunkOverhead-2*int64(size))
	if b.overhead > maxChunkOverhead {
		return malformedBody("chunked encoding contains too much non-data")
	}
	b.chunkRemaining, b.endUnread = int64(size), true
	b.remaining -= int64(size)
	return nil
}

// readTrailer reads the trailer to its end and discards it.
func (b *chunkedBody) readTrailer() error {
	for remaining := b.trailerLimit; ; {
		line, err := readLine(b.source, remaining)
		switch {
		case errors.Is(err, errLineTooLong):
			return malformed("the trailer is too long")
		case errors.Is(err, errLineEnd):
			return malformed("the trailer is broken")
		case err != nil:
			return err
		case len(line) == 2:
			return nil
		}
		remaining -= len(line)
	}
}
