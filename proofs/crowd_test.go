package proofs

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oriolepost/oriolepost/platform"
)

// crowd ADDRESS PATTERN CLIENTS sends a pattern from a number of
// clients at once. It fails when a process of the scenario ends, when its resident
// memory or its open descriptors exceed the limits in its settings, or when an ordinary request is not
// answered while the clients stay connected.
func runCrowd(ts *testscript.TestScript, _ bool, args []string) {
	pattern, ok := patterns()[args[1]]
	if !ok {
		ts.Fatalf("crowd: unknown pattern %q", args[1])
	}
	var numbers []int
	for _, text := range []string{args[2], ts.Getenv("MEMORY_MB"), ts.Getenv("MAX_FDS")} {
		n, err := strconv.Atoi(text)
		ts.Check(err)
		numbers = append(numbers, n)
	}
	clients, memoryMB, maxFDs := numbers[0], numbers[1], numbers[2]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range clients {
		go runClient(ctx, args[0], pattern)
	}
	mostFDs := map[int]int{}
	for end := time.Now().Add(crowdDuration); time.Now().Before(end); waitPollInterval() {
		for _, c := range ts.BackgroundCmds() {
			mostFDs[c.Process.Pid] = max(mostFDs[c.Process.Pid], openFDs(c.Process.Pid))
		}
	}
	for _, c := range ts.BackgroundCmds() {
		name, most := processName(c.Process.Pid, c.Args), mostFDs[c.Process.Pid]
		peak := peakMemoryKB(c.Process.Pid)
		ts.Logf("%s: peak memory %d MB of %d, descriptors %d of %d", name, peak>>10, memoryMB, most, maxFDs)
		if peak == 0 || c.Process.Signal(syscall.Signal(0)) != nil {
			ts.Fatalf("%s has ended", name)
		}
		if peak > memoryMB<<10 {
			ts.Fatalf("%s: peak memory is %d MB, limit %d", name, peak>>10, memoryMB)
		}
		if most > maxFDs {
			ts.Fatalf("%s: %d open descriptors, limit %d", name, most, maxFDs)
		}
	}
	awaitStatus(ts, "ordinary request beside the crowd", func() int { return ordinary(ts) })
}

// pattern is what a client of a crowd sends on its connection: the requests, which it
// sends in pieces of a size with a pause behind each, and whether it reads responses.
type pattern struct {
	requests [][]byte
	piece    int
	pause    time.Duration
	reads    bool
}

func post256(path string, cut int, header string) []byte {
	head := "POST " + path + " HTTP/1.1\r\nHost: booking\r\n" + header + "Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n"
	return append([]byte(head), make([]byte, bodyBytes-cut)...)
}

func chunks(count int) []byte {
	chunk := append([]byte("10000\r\n"), make([]byte, 64<<10)...)
	head := "POST / HTTP/1.1\r\nHost: booking\r\nTransfer-Encoding: chunked\r\n\r\n"
	return append([]byte(head), bytes.Repeat(append(chunk, '\r', '\n'), count)...)
}

// declared returns a request whose body is declared longer than what is sent of it.
func declared(path string, length, sent int, header string) []byte {
	head := "POST " + path + " HTTP/1.1\r\nHost: booking\r\n" + header + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	return append([]byte(head), bytes.Repeat([]byte(" "), sent)...)
}

// patterns returns the patterns by name. They are made only when a crowd runs: the
// processes under test run the same binary, and must not hold them.
func patterns() map[string]pattern {
	return map[string]pattern{
		"whole":       {requests: slices.Repeat([][]byte{post256("/slow", 0, "")}, 18), reads: true},
		"incremental": {requests: slices.Repeat([][]byte{post256("/slow", 0, "")}, 18), piece: 32 << 10, pause: 5 * time.Millisecond, reads: true},
		"unfinished":  {requests: [][]byte{post256("/", 5, "")}, reads: true},
		"declared":    {requests: [][]byte{declared("/", 1<<30, 4<<20, "")}, reads: true},
		"chunked":     {requests: [][]byte{chunks(64)}, reads: true},
		"headers":     {requests: [][]byte{[]byte("GET / HTTP/1.1\r\nHost: booking\r\n" + strings.Repeat("X-A: b\r\n", 1000))}, piece: 8, pause: 50 * time.Millisecond, reads: true},
		"silent":      {reads: true},
		"unread":      {requests: slices.Repeat([][]byte{[]byte("GET /large HTTP/1.1\r\nHost: booking\r\n\r\n")}, 40)},
		"configurations": {requests: [][]byte{
			declared(platform.ConfigurePath, 8<<20, 8<<20-5, "Content-Type: application/json\r\n"),
		}, reads: true},
		"heartbeats": {requests: [][]byte{declared(platform.HeartbeatPath+"u9", 16<<10, 16<<10-5, "")}, reads: true},
		"orders":     {requests: slices.Repeat([][]byte{[]byte("GET " + platform.ReadCall().Path + " HTTP/1.1\r\nHost: control\r\n\r\n")}, 4)},
		"messages":   {requests: [][]byte{append([]byte(`{"jsonrpc":"2.0","id":1,"method":"`), bytes.Repeat([]byte("m"), 96<<20)...)}, reads: true},
		"keyed":      {requests: [][]byte{declared("/", 1<<20, 1<<20-5, "Idempotency-Key: k\r\n")}, reads: true},
		"documents":  {requests: [][]byte{declared("/v1/announce", 256<<10, 256<<10-5, "")}, reads: true},
	}
}

// runClient connects again after each close, at most ten times, and stays connected
// until the context ends.
func runClient(ctx context.Context, address string, p pattern) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for range 10 {
		if conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address); err == nil {
			runConnection(ctx, conn, p)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func runConnection(ctx context.Context, conn net.Conn, p pattern) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	ended := make(chan struct{})
	if p.reads {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	for _, r := range p.requests {
		size := p.piece
		if size == 0 {
			size = len(r)
		}
		for piece := range slices.Chunk(r, size) {
			if _, err := conn.Write(piece); err != nil {
				return
			}
			if p.pause > 0 && !pause(ctx, p.pause) {
				return
			}
		}
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
