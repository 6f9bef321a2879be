package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"net/http"
	"strings"

	"github.com/oriolepost/oriolepost/settings"
)

// grant is what a request may do.
type grant struct {
	// all allows everything.
	all  bool
	team string
}

// authorize checks the bearer token of a request. All tokens are compared in
// constant time, so the time tells nothing about them.
func authorize(tokens []settings.Token, r *http.Request) (grant, error) {
	if len(tokens) == 0 {
		return authorizeLoopback(r)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return grant{}, unauthorized("a bearer token is missing")
	}
	sum := sha256.Sum256([]byte(token))
	found := grant{}
	for _, t := range tokens {
		want, err := hex.DecodeString(t.SHA256)
		if err != nil {
			continue
		}
		if subtle.ConstantTimeCompare(sum[:], want) == 1 {
			found = grant{all: t.Team == "*", team: t.Team}
		}
	}
	if found.team == "" {
		return grant{}, unauthorized("the bearer token is not known")
	}
	return found, nil
}

func authorizeLoopback(r *http.Request) (grant, error) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return grant{}, unauthorized("without operator_tokens only loopback clients are served")
	}
	return grant{all: true, team: "*"}, nil
}

func unauthorized(detail string) error {
	return &Error{Status: http.StatusUnauthorized, Code: "unauthorized", Detail: detail}
}
