package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// frameHeader is the size of a frame's length and checksum in bytes.
	frameHeader = 12
	// maxFrame bounds a frame's payload in bytes.
	maxFrame = 256 << 20
)

// appendFrame adds a length, a checksum and a payload to a buffer. The
// checksum covers the length as well.
func appendFrame(buffer, payload []byte) []byte {
	var header [frameHeader]byte
	binary.LittleEndian.PutUint32(header[:4], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[4:], frameSum(header[:4], payload))
	return append(append(buffer, header[:]...), payload...)
}

func frameSum(length, payload []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(length)
	_, _ = d.Write(payload)
	return d.Sum64()
}

// frameState is what the next frame of a file turned out to be.
type frameState int

const (
	frameWhole frameState = iota
	// frameTorn is the unfinished write of a crash: the file ends within the
	// frame, or only zeros follow.
	frameTorn
	frameCorrupt
)

// nextFrame reads the frame at the beginning of data. A length that reaches
// past the end of the file is a torn write only if nothing whole follows it.
func nextFrame(data []byte) (payload, rest []byte, state frameState) {
	if len(data) < frameHeader || allZero(data) {
		return nil, nil, frameTorn
	}
	length := int(binary.LittleEndian.Uint32(data[:4]))
	end := frameHeader + length
	if length > maxFrame || end > len(data) {
		if anyWholeFrame(data[1:]) {
			return nil, nil, frameCorrupt
		}
		return nil, nil, frameTorn
	}
	payload = data[frameHeader:end]
	if frameSum(data[:4], payload) != binary.LittleEndian.Uint64(data[4:frameHeader]) {
		if allZero(data[end-length:]) {
			return nil, nil, frameTorn
		}
		return nil, nil, frameCorrupt
	}
	return payload, data[end:], frameWhole
}

// anyWholeFrame searches for a frame with a right checksum. The search covers
// the last part of a journal only, since it runs after a damaged length.
func anyWholeFrame(data []byte) bool {
	for i := 0; i+frameHeader <= len(data); i++ {
		length := int(binary.LittleEndian.Uint32(data[i : i+4]))
		end := i + frameHeader + length
		if length == 0 || length > maxFrame || end > len(data) {
			continue
		}
		sum := binary.LittleEndian.Uint64(data[i+4 : i+frameHeader])
		if frameSum(data[i:i+4], data[i+frameHeader:end]) == sum {
			return true
		}
	}
	return false
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
