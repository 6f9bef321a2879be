package budget

import (
	"errors"
	"io"
)

// ErrUsedUp is the error for a body that does not fit into the budget at present.
var ErrUsedUp = errors.New("too much is being received at present; try again")

// ReadAll reads a body of a caller that is not limited otherwise into a hold. The
// reader must return an error beyond the limit.
func ReadAll(r io.Reader, hold *Hold, limit int64) ([]byte, error) {
	buffer := Buffer{Limit: int(limit), Grow: func(n int64) error {
		if !hold.Reserve(n, 0, true) {
			return ErrUsedUp
		}
		return nil
	}}
	if err := buffer.Fill(r); err != nil {
		return nil, err
	}
	if len(buffer.Bytes) == buffer.Limit {
		// The buffer has no space left that the reader could end in.
		if _, err := r.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	hold.Arrived()
	return buffer.Bytes, nil
}

// Fill reads until the end, or until the buffer is filled to its limit.
func (b *Buffer) Fill(r io.Reader) error {
	for {
		space, err := b.Space()
		if err != nil || len(space) == 0 {
			return err
		}
		n, err := r.Read(space)
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
