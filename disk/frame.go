package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// lengthSize is the size of the length field in bytes.
	lengthSize = 4
	// lengthChecksumEnd is the offset at which the checksum of the length ends.
	lengthChecksumEnd = 12
	// frameHeaderSize is the size of a frame's header in bytes: the length and
	// both checksums.
	frameHeaderSize = 20
)

// appendFrame appends a frame to a buffer: the payload's length, the checksum
// of the length, the checksum of the payload, and the payload. The length has a
// checksum of its own, so that a damaged length can be distinguished from an
// incomplete write.
func appendFrame(buffer, payload []byte) []byte {
	var header [frameHeaderSize]byte
	binary.LittleEndian.PutUint32(header[:lengthSize], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[lengthSize:lengthChecksumEnd], xxhash.Sum64(header[:lengthSize]))
	binary.LittleEndian.PutUint64(header[lengthChecksumEnd:], xxhash.Sum64(payload))
	return append(append(buffer, header[:]...), payload...)
}

// frameState is the result of reading one frame.
type frameState int

const (
	frameComplete frameState = iota
	// frameTorn is a write that a crash interrupted: the file ends within the
	// frame, or there are only zeros in place of the frame or of its payload.
	frameTorn
	// frameCorrupt has a wrong checksum and is not a torn write.
	frameCorrupt
)

// nextFrame reads the frame at the beginning of data, and returns its payload
// and the data behind it. Both are nil unless the frame is complete.
func nextFrame(data []byte) (payload, rest []byte, state frameState) {
	if len(data) < frameHeaderSize || allZero(data) {
		return nil, nil, frameTorn
	}
	if xxhash.Sum64(data[:lengthSize]) != binary.LittleEndian.Uint64(data[lengthSize:lengthChecksumEnd]) {
		return nil, nil, frameCorrupt
	}
	end := frameHeaderSize + int(binary.LittleEndian.Uint32(data[:lengthSize]))
	if end > len(data) {
		return nil, nil, frameTorn
	}
	payload = data[frameHeaderSize:end]
	if xxhash.Sum64(payload) == binary.LittleEndian.Uint64(data[lengthChecksumEnd:frameHeaderSize]) {
		return payload, data[end:], frameComplete
	}
	if allZero(data[frameHeaderSize:]) {
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
