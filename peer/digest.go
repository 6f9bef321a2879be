package peer

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/oriolepost/oriolepost/fleet"
)

// bucketBytes is the size of an encoded bucket of a digest.
const bucketBytes = 4

// EncodeDigest encodes a digest as text of about 1.4 kB.
func EncodeDigest(d fleet.Digest) string {
	data := make([]byte, 0, fleet.DigestBuckets*bucketBytes)
	for _, bucket := range d {
		data = binary.LittleEndian.AppendUint32(data, bucket)
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

// DecodeDigest decodes a digest that EncodeDigest has encoded.
func DecodeDigest(text string) (d fleet.Digest, err error) {
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err == nil && len(data) != fleet.DigestBuckets*bucketBytes {
		err = fmt.Errorf("%d bytes, allowed: %d", len(data), fleet.DigestBuckets*bucketBytes)
	}
	if err != nil {
		return fleet.Digest{}, fmt.Errorf("decode fleet digest: %w", err)
	}
	for i := range d {
		d[i] = binary.LittleEndian.Uint32(data[i*bucketBytes:])
	}
	return d, nil
}
