package ingress

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/upstream"
)

// writeTimeout bounds how long a caller may take to read a part of an answer.
const writeTimeout = 5 * time.Second

// plain is a short answer of the entry's own.
func plain(status int, reason string) upstream.Answer {
	return upstream.Answer{
		Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(reason + "\n"),
		Length: int64(len(reason) + 1),
	}
}

// Refusal is an answer of the entry's own. A time to come back is told only
// when it is positive.
func Refusal(status int, reason string, retryAfter time.Duration) upstream.Answer {
	a := plain(status, reason)
	if retryAfter > 0 {
		a.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return a
}

// write gives the answers in the order of the requests.
func (c *conn) write() {
	defer func() {
		close(c.dead)
		_ = c.Close()
	}()
	held, more := <-c.exchanges
	for more {
		e := held
		a := <-e.Answer
		last := e.closing
		if !last && c.server.draining.Load() {
			held, more, last = c.peekNext()
		} else if !last {
			held = nil
		}
		ok := c.writeAnswer(e, a, last)
		close(e.written)
		if !ok || last {
			return
		}
		if held == nil {
			held, more = <-c.exchanges
		}
	}
}

// peekNext looks for the next request. The third result is true when there is
// none and none will come.
func (c *conn) peekNext() (next *Exchange, more, last bool) {
	select {
	case next, more = <-c.exchanges:
		return next, more, !more
	default:
		return nil, true, false
	}
}

// writeAnswer writes one answer and reports whether the connection can go on.
func (c *conn) writeAnswer(e *Exchange, a upstream.Answer, last bool) bool {
	if a.Status == 0 {
		return false
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n")
	if err := a.Header.Write(&b); err != nil {
		return false
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	bodyless := e.Request.Method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	chunked := a.Rest != nil && a.Length < 0 && !bodyless
	switch {
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
	case chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case a.Length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	if a.Rest != nil {
		return c.stream(&b, a, chunked) && !last
	}
	if !bodyless {
		b.Write(a.Body)
	}
	_, err := c.Write(b.Bytes())
	return err == nil
}

// stream passes a long answer on as it comes. If it is cut, so is the answer
// to the caller.
func (c *conn) stream(b *bytes.Buffer, a upstream.Answer, chunked bool) bool {
	defer func() { _ = a.Rest.Close() }()
	if _, err := c.Write(b.Bytes()); err != nil {
		return false
	}
	var w io.WriteCloser = keepOpen{c}
	if chunked {
		w = httputil.NewChunkedWriter(c)
	}
	from := io.MultiReader(bytes.NewReader(a.Body), a.Rest)
	part := make([]byte, streamPart)
	for {
		n, err := from.Read(part)
		if n > 0 {
			if c.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
				return false
			}
			if _, failed := w.Write(part[:n]); failed != nil {
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
	if err := w.Close(); err != nil {
		return false
	}
	if chunked {
		_, err := io.WriteString(c, "\r\n")
		return err == nil
	}
	return true
}

// streamPart is the size of the parts of a long answer in bytes.
const streamPart = 16 << 10

// keepOpen leaves a connection open when the body ends.
type keepOpen struct{ io.Writer }

// Close implements io.Closer.
func (keepOpen) Close() error { return nil }
