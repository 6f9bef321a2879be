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

// permission is what a request may change.
type permission struct {
	// unrestricted allows all changes; otherwise only the services of the team
	// may be changed.
	unrestricted bool
	team         string
}

// authorize checks the bearer token of a request. It compares the token with
// every known one, each in constant time, so that the response time reveals
// nothing about them.
func authorize(tokens []settings.Token, r *http.Request) (permission, error) {
	if len(tokens) == 0 {
		return authorizeLoopback(r)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return permission{}, unauthorized("a bearer token is missing")
	}
	sum := sha256.Sum256([]byte(token))
	granted := permission{}
	for _, t := range tokens {
		expected, err := hex.DecodeString(t.SHA256)
		if err != nil {
			continue
		}
		if subtle.ConstantTimeCompare(sum[:], expected) == 1 {
			granted = permission{unrestricted: t.Team == "*", team: t.Team}
		}
	}
	if granted.team == "" {
		return permission{}, unauthorized("the bearer token is not known")
	}
	return granted, nil
}

func authorizeLoopback(r *http.Request) (permission, error) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return permission{}, unauthorized("without operator_tokens only loopback clients are served")
	}
	return permission{unrestricted: true, team: "*"}, nil
}

func unauthorized(detail string) error {
	return &Error{Status: http.StatusUnauthorized, Code: "unauthorized", Detail: detail}
}
