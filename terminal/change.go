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

// clientFlags are the flags of every verb that talks to an instance.
type clientFlags struct {
	address string
	token   string
	timeout time.Duration
}

// defaultOperator is the operator address of the examples' first instance.
const defaultOperator = "127.0.0.1:21002"

// defaultTimeout bounds a verb that talks to an instance.
const defaultTimeout = 30 * time.Second

func (c *clientFlags) declare(f *flag.FlagSet) {
	f.StringVar(&c.address, "operator", defaultOperator, "operator `address` of any instance")
	f.StringVar(&c.token, "token-file", "", "`file` that holds the bearer token")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to wait for the answer")
}

func (c *clientFlags) client() (operator.Client, error) {
	out := operator.Client{Address: c.address}
	if c.token == "" {
		return out, nil
	}
	data, err := os.ReadFile(c.token)
	if err != nil {
		return out, &UsageError{Problem: err.Error()}
	}
	for len(data) > 0 && data[len(data)-1] == '\n' {
		data = data[:len(data)-1]
	}
	out.Token = string(data)
	return out, nil
}

// changeFlags are the flags of every verb that changes something.
type changeFlags struct {
	clientFlags
	changeID string
	wait     time.Duration
}

func (c *changeFlags) declare(f *flag.FlagSet) {
	c.clientFlags.declare(f)
	f.StringVar(&c.changeID, "change-id", "", "`name` of the change, which makes a resend safe; random if empty")
	f.DurationVar(&c.wait, "wait", operator.DefaultWaitMS*time.Millisecond, "how long to wait until the change is in force; 0 does not wait")
}

func (c *changeFlags) options() operator.ChangeOptions {
	if c.changeID == "" {
		var b [8]byte
		// The reader of the standard library never fails.
		_, _ = rand.Read(b[:])
		c.changeID = hex.EncodeToString(b[:])
	}
	return operator.ChangeOptions{ChangeID: c.changeID, WaitMS: c.wait.Milliseconds()}
}

// finish prints a change, and fails when it is not in force in time.
func (c *changeFlags) finish(t Terminal, change operator.Change, err error) (any, error) {
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

func (c *clientFlags) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}
