package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/oriolepost/oriolepost/ingress"
	"github.com/oriolepost/oriolepost/quarantine"
)

// fingerprintBytes is the length of a fingerprint. Nobody can find two contents with the same
// 128 bits of SHA-256, and so get the content of others refused.
const fingerprintBytes = 16

// fingerprint returns the fingerprint of the content of a request. Of a long body, only the
// buffered beginning and the length count.
func fingerprint(r *ingress.Request) quarantine.Fingerprint {
	hash := sha256.New()
	// The lengths keep apart contents whose parts are divided differently.
	var number [8]byte
	add := func(n int64) {
		binary.BigEndian.PutUint64(number[:], uint64(n))
		_, _ = hash.Write(number[:])
	}
	for _, part := range []string{r.Method, r.Host, r.Target} {
		add(int64(len(part)))
		_, _ = hash.Write([]byte(part))
	}
	add(int64(len(r.Body)))
	if r.Rest != nil {
		add(r.Length)
	}
	_, _ = hash.Write(r.Body)
	return quarantine.Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}
