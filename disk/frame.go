package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// lengthSize is the size of a frame's length in bytes.
	lengthSize = 4
	// lengthEnd is where the checksum of the length ends.
	lengthEnd = 12
	// frameHeader is the size of the length and both checksums in bytes.
	frameHeader = 20
)

// appendFrame adds a payload behind its length, the checksum of the length and
// the checksum of the payload. The length has a checksum of its own, so that a
// damaged length is told from a write that was cut short.
func appendFrame(buffer, payload []byte) []byte {
	var header [frameHeader]byte
	binary.LittleEndian.PutUint32(header[:lengthSize], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[lengthSize:lengthEnd], xxhash.Sum64(header[:lengthSize]))
	binary.LittleEndian.PutUint64(header[lengthEnd:], xxhash.Sum64(payload))
	return append(append(buffer, header[:]...), payload...)
}

// frameState is what the next frame of a file turned out to be.
type frameState int

const (
	frameWhole frameState = iota
	// frameTorn is the unfinished write of a crash: the file ends within the
	// frame, or only zeros follow where its content should be.
	frameTorn
	frameCorrupt
)

// nextFrame reads the frame at the beginning of data.
func nextFrame(data []byte) (payload, rest []byte, state frameState) {
	if len(data) < frameHeader || allZero(data) {
		return nil, nil, frameTorn
	}
	if xxhash.Sum64(data[:lengthSize]) != binary.LittleEndian.Uint64(data[lengthSize:lengthEnd]) {
		return nil, nil, frameCorrupt
	}
	end := frameHeader + int(binary.LittleEndian.Uint32(data[:lengthSize]))
	if end > len(data) {
		return nil, nil, frameTorn
	}
	payload = data[frameHeader:end]
	if xxhash.Sum64(payload) == binary.LittleEndian.Uint64(data[lengthEnd:frameHeader]) {
		return payload, data[end:], frameWhole
	}
	if allZero(data[frameHeader:]) {
		return nil, nil, frameTorn
	}
	return nil, nil, frameCorrupt
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
