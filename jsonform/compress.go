package jsonform

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// compressFrom is the size in bytes from which on data is compressed. Most
	// commands are some hundreds of bytes; a configuration of many routes is
	// some hundred kilobytes and shrinks to a tenth.
	compressFrom = 4 << 10
	// compressedMark begins compressed data; JSON never begins with it.
	compressedMark = 0
	// maxDecompressed bounds what data may grow to, in bytes.
	maxDecompressed = 256 << 20
)

// Compress makes long data shorter. What it gives, [Decompress] turns back.
func Compress(data []byte) ([]byte, error) {
	if len(data) < compressFrom {
		return data, nil
	}
	var b bytes.Buffer
	b.WriteByte(compressedMark)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

// Decompress turns data back into what was given to [Compress].
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMark {
		return data, nil
	}
	r := flate.NewReader(bytes.NewReader(data[1:]))
	whole, err := io.ReadAll(io.LimitReader(r, maxDecompressed))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return whole, nil
}
