package header

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/oriolepost/oriolepost/workspace"
)

// credentialScheme is the scheme of a credential that holds a key (RFC 6750).
const credentialScheme = "Bearer"

// digestBytes is the length of a key's digest. 128 bits are enough to tell keys apart, and
// the digests of all keys travel to every entry.
const digestBytes = 16

// KeyDigest returns the digest of a key. Keys are compared by digest only, so a
// comparison takes the same time however much of a key is right.
func KeyDigest(key string) workspace.Digest {
	sum := sha256.Sum256([]byte(key))
	return workspace.Digest(base64.RawStdEncoding.EncodeToString(sum[:digestBytes]))
}

// ParseCredential returns the digest of the key that a request carries; empty if it
// carries none, or several.
func (n Names) ParseCredential(h http.Header) workspace.Digest {
	lines := h.Values(n.Credential)
	if len(lines) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(textproto.TrimString(lines[0]), " ")
	key = textproto.TrimString(key)
	if !strings.EqualFold(scheme, credentialScheme) || key == "" {
		return ""
	}
	return KeyDigest(key)
}

// SetWorkspace removes the credential, which upstreams must not get, and replaces the name
// of the workspace, whatever the caller sent. Nil means that there is none.
func (n Names) SetWorkspace(h http.Header, w *workspace.Workspace) {
	h.Del(n.Credential)
	h.Del(n.Workspace)
	if w != nil {
		h.Set(n.Workspace, w.Name)
	}
}
