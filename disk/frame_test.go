package disk

import (
	"bytes"
	"testing"
)

// FuzzFrames checks that a journal cut at any byte is read as complete frames
// and a torn one, never as corrupt, and that complete frames are read as they
// were written. Reading arbitrary bytes must not panic.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("first"), []byte("second"), 3)
	f.Add([]byte(""), []byte{0, 0}, 0)
	f.Fuzz(func(t *testing.T, first, second []byte, cut int) {
		data := appendFrame(appendFrame(nil, first), second)
		if cut < 0 || cut > len(data) {
			return
		}
		payload, rest, state := nextFrame(data)
		if state != frameComplete || !bytes.Equal(payload, first) {
			t.Fatalf("first frame has state %v and payload %q", state, payload)
		}
		cutData := data[:len(data)-cut]
		for len(cutData) > 0 {
			_, next, state := nextFrame(cutData)
			if state == frameCorrupt {
				t.Fatalf("a journal cut by %d bytes is read as corrupt", cut)
			}
			if state == frameTorn {
				break
			}
			cutData = next
		}
		if payload, _, state := nextFrame(rest); state != frameComplete || !bytes.Equal(payload, second) {
			t.Fatalf("second frame has state %v and payload %q", state, payload)
		}
		_, _, _ = nextFrame(second)
	})
}
