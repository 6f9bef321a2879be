package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/upstream"
)

// writeTimeout is the limit for one write to a caller. A write blocks while the
// caller does not read.
const writeTimeout = 5 * time.Second

// plainResponse returns a short plain-text response of the entry itself.
func plainResponse(status int, reason string) upstream.Response {
	return upstream.Response{
		Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(reason + "\n"),
		Length: int64(len(reason) + 1),
	}
}

// Refusal returns a plain-text response with which the entry itself refuses a
// request. The Retry-After header, in seconds, is set only when retryAfter is
// positive.
func Refusal(status int, reason string, retryAfter time.Duration) upstream.Response {
	response := plainResponse(status, reason)
	if retryAfter > 0 {
		response.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return response
}

// writeResponses writes the responses in the order of the requests, until the
// connection ends.
func (c *conn) writeResponses() {
	var mode closeMode = closeAtOnce{}
	var next *Exchange
	defer func() {
		close(c.writerDone)
		c.linger(mode)
		_ = c.Close()
		go c.discardExchanges(next)
	}()
	var more bool
	next, more = <-c.exchanges
	for more {
		e := next
		next = nil
		response := <-e.Response
		switch {
		case e.Request.bodyUnread():
			// The rest of the body must not be read as the next request.
			e.closeAfter, e.unreadBytes = true, true
		case e.Request.Rest != nil && c.server.draining.Load():
			// The reader waits for this response, and then reads no further request.
			e.closeAfter = true
		}
		last := e.closeAfter
		if !last && c.server.draining.Load() {
			next, more, last = c.pollNext()
		}
		ok := c.writeResponse(e, response, last)
		if !ok && response.Rest != nil {
			_ = response.Rest.Close()
		}
		response.Hold.Release()
		e.release()
		now := time.Now()
		c.endServing(now)
		e.progress.end(now)
		if !ok {
			return
		}
		if last {
			mode = c.closeModeAfter(e)
			return
		}
		if next == nil {
			next, more = <-c.exchanges
		}
	}
}

// discardExchanges discards the exchanges that the writer leaves: the one that it has
// taken already, if there is one, and those that are queued. Without that, responses to
// a caller that does not read would keep their reservations and connections.
func (c *conn) discardExchanges(taken *Exchange) {
	if taken != nil {
		taken.discard()
	}
	for e := range c.exchanges {
		e.discard()
	}
}

// pollNext takes the next request if one is queued. last is true when the queue
// is empty and the reader has ended, so that no request will follow.
func (c *conn) pollNext() (next *Exchange, more, last bool) {
	select {
	case next, more = <-c.exchanges:
		return next, more, !more
	default:
		return nil, true, false
	}
}

// writeResponse writes one response and reports whether the connection can be
// used for another. With last set, the response announces that the connection
// is closed.
func (c *conn) writeResponse(exchange *Exchange, response upstream.Response, last bool) bool {
	if response.Status == 0 {
		return false
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	var buffer bytes.Buffer
	buffer.WriteString("HTTP/1.1 " + strconv.Itoa(response.Status) + " " + http.StatusText(response.Status) + "\r\n")
	if err := response.Header.Write(&buffer); err != nil {
		return false
	}
	if last {
		buffer.WriteString("Connection: close\r\n")
	}
	bodyless := exchange.Request.Method == http.MethodHead || response.Status == http.StatusNoContent || response.Status == http.StatusNotModified
	chunked := response.Rest != nil && response.Length < 0 && !bodyless
	switch {
	case response.Status == http.StatusNoContent || response.Status == http.StatusNotModified:
	case chunked:
		buffer.WriteString("Transfer-Encoding: chunked\r\n")
	case response.Length >= 0:
		buffer.WriteString("Content-Length: " + strconv.FormatInt(response.Length, 10) + "\r\n")
	}
	buffer.WriteString("\r\n")
	if response.Rest != nil {
		return c.stream(&buffer, response, chunked)
	}
	err := c.writeWhole(&buffer, response.Body, bodyless)
	c.countStalled(err)
	return err == nil
}

// maxCopiedBytes is the size up to which a body is copied behind its header, so that one
// write sends both. A longer one is not copied.
const maxCopiedBytes = 4 << 10

// writeWhole writes the header and the body of a response.
func (c *conn) writeWhole(head *bytes.Buffer, body []byte, bodyless bool) error {
	if bodyless || len(body) <= maxCopiedBytes {
		if !bodyless {
			head.Write(body)
		}
		_, err := c.Write(head.Bytes())
		return err
	}
	parts := net.Buffers{head.Bytes(), body}
	_, err := parts.WriteTo(c.Conn)
	return err
}

// countStalled counts a connection that is closed because its caller does not read.
func (c *conn) countStalled(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.server.options.Metrics.GetOrCreateCounter("oriolepost_caller_write_timeouts_total").Inc()
	}
}

// stream forwards a long response as it arrives from the upstream. If the
// upstream sends an incomplete response, the caller gets an incomplete one too:
// the connection is closed before the end of the body.
func (c *conn) stream(head *bytes.Buffer, response upstream.Response, chunked bool) bool {
	defer func() { _ = response.Rest.Close() }()
	if _, err := c.Write(head.Bytes()); err != nil {
		return false
	}
	var writer io.WriteCloser = nopCloser{c}
	if chunked {
		writer = httputil.NewChunkedWriter(c)
	}
	reader := io.MultiReader(bytes.NewReader(response.Body), response.Rest)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			if c.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
				return false
			}
			if _, writeErr := writer.Write(buffer[:n]); writeErr != nil {
				c.countStalled(writeErr)
				return false
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return false
		}
	}
	if err := writer.Close(); err != nil {
		return false
	}
	if chunked {
		_, err := io.WriteString(c, "\r\n")
		return err == nil
	}
	return true
}

// streamBufferBytes is the size of the buffer through which a long response is
// copied.
const streamBufferBytes = 16 << 10

// nopCloser keeps the connection open when the writer of a body is closed.
type nopCloser struct{ io.Writer }

// Close implements io.Closer.
func (nopCloser) Close() error { return nil }
