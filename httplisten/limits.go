package httplisten

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/admission"
	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/connlimit"
)

// maxHeaderBytes is the limit for the header of a request, unless the server sets one,
// where connections are limited.
const maxHeaderBytes = 16 << 10

// Limits are the limits of a server. Those that are zero are not enforced.
type Limits struct {
	// MaxConns limits the open connections.
	MaxConns int
	// Budget limits what is buffered of bodies, and large headers.
	Budget *budget.Budget
	// WriteTimeout limits the time from the header of a request to the end of its
	// response. It is for servers with short responses.
	WriteTimeout time.Duration
}

// WriteTimeout is the limit for one write of a response, which blocks while the client
// does not read, and for a short response as a whole.
const WriteTimeout = 5 * time.Second

// writeBytes is how much of a long response is written under one timeout.
const writeBytes = 64 << 10

// WriteBody writes a long body, with a timeout for each part of it. Without one, clients
// that do not read would keep their connections, and the body in memory.
func WriteBody(w http.ResponseWriter, data []byte) error {
	controller := http.NewResponseController(w)
	for part := range slices.Chunk(data, writeBytes) {
		if err := controller.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return err
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// trackActivity reports to package connlimit what each connection is doing: it is idle
// between requests, and a request is arriving until its body has been read.
func trackActivity(s *http.Server) {
	connContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	onState := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if limited, ok := c.(*connlimit.Conn); ok {
			switch state {
			case http.StateIdle:
				limited.Set(admission.Idle)
			case http.StateActive:
				limited.Set(admission.Reading)
			case http.StateNew, http.StateHijacked, http.StateClosed:
			}
		}
		if onState != nil {
			onState(c, state)
		}
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*connlimit.Conn); ok {
			if r.ContentLength == 0 {
				c.Set(admission.Serving)
			} else {
				r.Body = &arrivingBody{ReadCloser: r.Body, conn: c}
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// limitHeaders reserves large headers while their requests are handled, and refuses those that
// do not fit into the budget.
func limitHeaders(s *http.Server, b *budget.Budget) {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hold := b.Hold(nil)
		defer hold.Release()
		if !hold.ReserveHeader(r.Header) {
			w.Header().Set("Connection", "close")
			http.Error(w, budget.ErrUsedUp.Error(), http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// arrivingBody is a body whose connection counts as being served once it is read.
type arrivingBody struct {
	io.ReadCloser
	conn *connlimit.Conn
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.Set(admission.Serving)
	}
	return n, err
}

// ReadBody reads a body of at most limit bytes into a hold of the budget, which the
// caller releases. The error is an [http.MaxBytesError], or [budget.ErrUsedUp].
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, b *budget.Budget) ([]byte, *budget.Hold, error) {
	if r.ContentLength > limit {
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	controller := http.NewResponseController(w)
	// An evicted body is at an end for the handler, which then answers.
	hold := b.Hold(func() { _ = controller.SetReadDeadline(aLongTimeAgo) })
	bufferLimit := limit
	if r.ContentLength >= 0 {
		bufferLimit = r.ContentLength
	}
	data, err := budget.ReadAll(http.MaxBytesReader(w, r.Body, limit), hold, bufferLimit)
	if err != nil {
		hold.Release()
		return nil, nil, err
	}
	return data, hold, nil
}

// BodyStatus returns the status for an error of [ReadBody]: the request was not run.
func BodyStatus(err error) int {
	switch {
	case errors.Is(err, budget.ErrUsedUp):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusRequestEntityTooLarge
}

// aLongTimeAgo is a deadline in the past, which ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)
