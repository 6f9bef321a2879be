package peer

import (
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepost/oriolepost/admission"
	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/connlimit"
)

const (
	// maxMessageBytes limits a message. The largest is a snapshot with a configuration of
	// 8 MiB, as submitted and decoded: 25 MiB with many short routes; see limits_test.go.
	maxMessageBytes = 64 << 20
	// messageAllowance is how much of a message is read without a reservation.
	messageAllowance = 64 << 10
	// decodingFactor is the memory of a message relative to its size: the buffer of the
	// decoder, which doubles, and the copy of the parameters.
	decodingFactor = 3
)

var (
	errMessageTooLong = errors.New("message exceeds 64 MiB")
	errUsedUp         = errors.New("too much is being received at present")
)

// messageStream reads JSON-RPC messages of limited size. A message that is too long, or
// does not fit into the budget, ends the connection. It is owned by the task that reads
// from the connection.
type messageStream struct {
	jsonrpc2.ObjectStream
	source *messageSource
}

// messageSource counts the bytes of the message that is being read.
type messageSource struct {
	net.Conn
	budget *budget.Budget
	// limited is the connection of a server that limits them; nil otherwise.
	limited *connlimit.Conn
	read    int64
	// reserved is how many bytes of the message the allowance and the hold cover.
	reserved int64
	hold     *budget.Hold
}

func newMessageStream(c net.Conn, b *budget.Budget) *messageStream {
	source := &messageSource{Conn: c, budget: b, reserved: messageAllowance}
	inner := c
	if counted, ok := inner.(*countedConn); ok {
		inner = counted.Conn
	}
	if secure, ok := inner.(*tls.Conn); ok {
		inner = secure.NetConn()
	}
	source.limited, _ = inner.(*connlimit.Conn)
	return &messageStream{ObjectStream: jsonrpc2.NewPlainObjectStream(source), source: source}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *messageStream) ReadObject(v any) error {
	s.takeHold().Release()
	err := s.ObjectStream.ReadObject(v)
	s.source.read, s.source.reserved = 0, messageAllowance
	s.source.hold.Arrived()
	s.source.setActivity(admission.Idle)
	return err
}

// takeHold returns what is reserved for the message that was read last. Whoever takes it
// must release it.
func (s *messageStream) takeHold() *budget.Hold {
	if s == nil {
		return nil
	}
	hold := s.source.hold
	s.source.hold = nil
	return hold
}

// Read implements io.Reader.
func (s *messageSource) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if s.read == 0 {
		s.setActivity(admission.Reading)
	}
	s.read += int64(n)
	if s.read > maxMessageBytes {
		return 0, errMessageTooLong
	}
	if s.read > s.reserved {
		if s.hold == nil {
			s.hold = s.budget.Hold(s.evict)
		}
		if !s.hold.Reserve(decodingFactor*s.read, 0, true) {
			return 0, errUsedUp
		}
		// The buffer of the decoder doubles as well.
		s.reserved += s.read
	}
	return n, err
}

// evict ends the current read. Closing the connection here could block, since TLS sends a
// last record.
func (s *messageSource) evict() { _ = s.SetReadDeadline(time.Unix(1, 0)) }

func (s *messageSource) setActivity(a admission.Activity) {
	if s.limited != nil {
		s.limited.Set(a)
	}
}
