package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/placement"
)

const (
	// maxBuffered is how many bytes of an answer are kept in memory before
	// the caller gets any; a longer answer is passed on as it comes.
	maxBuffered = 256 << 10
	// maxForeign is how many answers to other requests are skipped.
	maxForeign = 2
	// clockMargin is taken off the time that an upstream is given, for the way.
	clockMargin = 2 * time.Millisecond
)

// Request is a request as it is sent to an upstream.
type Request struct {
	Method string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's headers without those of one connection.
	Header http.Header
	ID     string
	Body   []byte
	// Rest is what follows Body when the body is too long to be kept; nil
	// otherwise.
	Rest io.Reader
	// Length is the length of the whole body; -1 means chunks.
	Length int64
	// HasBody is true when the caller sent a body, be it empty.
	HasBody  bool
	Upstream string
	Deadline time.Time
}

// Answer is an upstream's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body when the answer is too long to be kept; nil
	// otherwise. Length is then the whole length, or -1.
	Rest   io.ReadCloser
	Length int64
	Load   placement.Load
}

// Exchange sends a request and waits for its answer. Canceling the context
// closes the connection.
func (c *Conn) Exchange(ctx context.Context, names header.Names, r Request) (a Answer, o placement.Outcome) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() {
		if !stop() {
			c.broken = true
		}
	}()
	if err := c.SetDeadline(r.Deadline); err != nil {
		c.broken = true
		return Answer{}, placement.NotRun{Reason: placement.ReasonUnsent}
	}
	left := time.Until(r.Deadline) - clockMargin
	if left <= 0 || ctx.Err() != nil {
		c.broken = true
		return Answer{}, placement.NotRun{Reason: placement.ReasonUnsent}
	}
	written, writeErr := c.write(names, r, left)
	if writeErr != nil {
		c.broken = true
		if written == 0 {
			return Answer{}, placement.NotRun{Reason: placement.ReasonUnsent}
		}
		if r.Rest == nil {
			return Answer{}, c.failure(ctx, writeErr)
		}
		// An upstream may answer before it has read a long body.
	}
	return c.receive(ctx, names, r)
}

// write sends the request and gives how many bytes were handed over.
func (c *Conn) write(names header.Names, r Request, left time.Duration) (int, error) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.WriteSubset(&b, map[string]bool{"Host": true, names.Deadline: true, names.Target: true}); err != nil {
		return 0, err
	}
	b.WriteString(names.Deadline + ": " + strconv.FormatInt(left.Milliseconds(), 10) + "\r\n")
	b.WriteString(names.Target + ": " + r.Upstream + "\r\n")
	switch {
	case r.HasBody && r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		return c.writeChunked(&b, r)
	case r.HasBody:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	n, err := c.Write(b.Bytes())
	if err != nil || r.Rest == nil {
		return n, err
	}
	more, err := io.Copy(c.Conn, r.Rest)
	return n + int(more), err
}

func (c *Conn) writeChunked(b *bytes.Buffer, r Request) (int, error) {
	head := b.Len()
	if r.Rest == nil {
		w := httputil.NewChunkedWriter(b)
		if len(r.Body) > 0 {
			_, _ = w.Write(r.Body)
		}
		_ = w.Close()
		b.WriteString("\r\n")
		return c.Write(b.Bytes())
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return 0, err
	}
	w := httputil.NewChunkedWriter(c.Conn)
	_, err := io.Copy(w, io.MultiReader(bytes.NewReader(r.Body), r.Rest))
	if err == nil {
		err = w.Close()
	}
	if err == nil {
		_, err = io.WriteString(c.Conn, "\r\n")
	}
	return head, err
}

// receive reads answers until one belongs to the request.
func (c *Conn) receive(ctx context.Context, names header.Names, r Request) (Answer, placement.Outcome) {
	for range maxForeign + 1 {
		//nolint:bodyclose // A body that is read to its end needs no close, and whoever gets the rest of one closes it.
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			c.broken = true
			return Answer{}, c.failure(ctx, err)
		}
		if response.StatusCode < 200 {
			continue
		}
		a, err := c.body(response)
		if err != nil {
			c.broken = true
			return Answer{}, c.failure(ctx, err)
		}
		if id := response.Header.Get(names.RequestID); id == r.ID || id == "" && response.StatusCode >= 300 {
			return c.accept(names, response, a)
		}
		// An answer to a request before this one. What follows may be ours,
		// but the connection is not used again.
		c.broken = true
		if a.Rest != nil {
			break
		}
	}
	c.broken = true
	return Answer{}, placement.Unknown{Reason: placement.ReasonMalformed}
}

// accept gives an answer that belongs to the request.
func (c *Conn) accept(names header.Names, response *http.Response, a Answer) (Answer, placement.Outcome) {
	if response.Close || c.reader.Buffered() > 0 {
		c.broken = true
	}
	c.rest(response.Header.Get("Keep-Alive"))
	a.Load = header.ParseLoad(response.Header.Get(names.Load))
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return Answer{}, placement.NotRun{Reason: placement.ReasonMisdirected}
	case response.Header.Get(names.NotRun) != "":
		return Answer{}, placement.NotRun{Reason: placement.ReasonShed, Sent: true}
	case response.StatusCode < 300 && response.Header.Get(names.Signature) == "":
		c.broken = true
		return Answer{}, placement.Unknown{Reason: placement.ReasonMalformed}
	}
	header.DropPerConnection(a.Header)
	return a, placement.Answered{Failed: response.StatusCode >= 500}
}

// body reads a body, whole if it is short.
func (c *Conn) body(response *http.Response) (Answer, error) {
	a := Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	if response.ContentLength > maxBuffered {
		a.Rest = response.Body
		c.broken = true
		return a, nil
	}
	var err error
	a.Body, err = io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	if err != nil {
		return Answer{}, err
	}
	if len(a.Body) > maxBuffered {
		a.Rest = response.Body
		c.broken = true
		return a, nil
	}
	a.Length = int64(len(a.Body))
	return a, nil
}

// failure tells why there is no answer.
func (c *Conn) failure(ctx context.Context, err error) placement.Outcome {
	var network *net.OpError
	switch {
	case ctx.Err() != nil:
		return placement.Unknown{Reason: placement.ReasonCanceled}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return placement.Unknown{Reason: placement.ReasonTimeout}
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return placement.Unknown{Reason: placement.ReasonReset}
	}
	return placement.Unknown{Reason: placement.ReasonMalformed}
}
