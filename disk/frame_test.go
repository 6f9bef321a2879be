package disk

import (
	"bytes"
	"testing"
)

// FuzzFrames checks that whatever a journal's bytes are, reading them ends,
// and that whole frames before the damage are read as they were written.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("first"), []byte("second"), 3)
	f.Add([]byte(""), []byte{0, 0}, 0)
	f.Fuzz(func(t *testing.T, first, second []byte, cut int) {
		data := appendFrame(appendFrame(nil, first), second)
		if cut < 0 || cut > len(data) {
			return
		}
		payload, rest, state := nextFrame(data)
		if state != frameWhole || !bytes.Equal(payload, first) {
			t.Fatalf("first frame is %v with %q", state, payload)
		}
		cutData := data[:len(data)-cut]
		for len(cutData) > 0 {
			_, next, state := nextFrame(cutData)
			if state == frameCorrupt {
				t.Fatalf("a cut of %d bytes passes for damage", cut)
			}
			if state == frameTorn {
				break
			}
			cutData = next
		}
		if payload, _, state := nextFrame(rest); state != frameWhole || !bytes.Equal(payload, second) {
			t.Fatalf("second frame is %v with %q", state, payload)
		}
		_, _, _ = nextFrame(second)
	})
}
