package jsonform

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// minCompressBytes is the minimum size of data that is compressed. Most
	// commands have a few hundred bytes. A configuration with many routes has a
	// few hundred kilobytes and compresses to a tenth.
	minCompressBytes = 4 << 10
	// compressedPrefix is the first byte of compressed data. JSON never begins
	// with it.
	compressedPrefix = 0
	// maxDecompressedBytes limits the size of decompressed data, so that a
	// small message cannot use up the memory. Data beyond it is dropped, so that
	// decoding the result fails.
	maxDecompressedBytes = 256 << 20
)

// Compress compresses data of at least minCompressBytes and returns smaller data
// unchanged. [Decompress] reverses it.
func Compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(compressedPrefix)
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return buffer.Bytes(), nil
}

// Decompress returns the data that was passed to [Compress].
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedPrefix {
		return data, nil
	}
	r := flate.NewReader(bytes.NewReader(data[1:]))
	decompressed, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return decompressed, nil
}
