package terminal

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/operator"
)

// clientFlags are the flags of every verb that sends requests to an instance.
type clientFlags struct {
	address string
	token   string
	timeout time.Duration
}

// defaultOperator is the operator address of the first instance of
// examples/trinacria.
const defaultOperator = "127.0.0.1:21002"

// defaultTimeout is the timeout of a verb that sends requests to an instance.
const defaultTimeout = 30 * time.Second

func (c *clientFlags) declare(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "operator", defaultOperator, "operator `address` of any instance")
	flags.StringVar(&c.token, "token-file", "", "`file` that holds the bearer token")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to wait for the response")
}

// client returns a client of the instance, with the bearer token of the token
// file, from which trailing newlines are removed.
func (c *clientFlags) client() (operator.Client, error) {
	client := operator.Client{Address: c.address}
	if c.token == "" {
		return client, nil
	}
	data, err := os.ReadFile(c.token)
	if err != nil {
		return client, &UsageError{Problem: err.Error()}
	}
	for len(data) > 0 && data[len(data)-1] == '\n' {
		data = data[:len(data)-1]
	}
	client.Token = string(data)
	return client, nil
}

// changeFlags are the flags of every verb that changes a service, a failure
// domain or a server.
type changeFlags struct {
	clientFlags
	changeID string
	wait     time.Duration
}

func (c *changeFlags) declare(flags *flag.FlagSet) {
	c.clientFlags.declare(flags)
	flags.StringVar(&c.changeID, "change-id", "", "`name` of the change, which makes it safe to send it again; random if empty")
	flags.DurationVar(&c.wait, "wait", operator.DefaultWaitMS*time.Millisecond, "how long to wait until the change is in force; 0 does not wait")
}

func (c *changeFlags) options() operator.ChangeOptions {
	if c.changeID == "" {
		var b [8]byte
		// rand.Read never returns an error.
		_, _ = rand.Read(b[:])
		c.changeID = hex.EncodeToString(b[:])
	}
	return operator.ChangeOptions{ChangeID: c.changeID, WaitMS: c.wait.Milliseconds()}
}

// printChange prints the result of a change, or returns err if it is not nil. It
// also returns an error when --wait is above 0 and the change was not in force in
// that time.
func (c *changeFlags) printChange(t Terminal, change operator.Change, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	t.printf("change %s at index %d", change.ChangeID, change.Index)
	if change.Version > 0 {
		t.printf(", version %d", change.Version)
	}
	if change.InForce {
		t.printf(", in force after %d ms\n", change.WaitedMS)
		return change, nil
	}
	t.printf(", accepted, not yet known to be in force everywhere\n")
	if c.wait > 0 {
		return nil, fmt.Errorf("change %s is accepted, but was not in force everywhere after %v", change.ChangeID, c.wait)
	}
	return change, nil
}

// context returns a context that ends with the timeout.
func (c *clientFlags) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}
