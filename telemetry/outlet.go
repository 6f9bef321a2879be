package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

const (
	// urgentLines and ordinaryLines bound the lines that wait for the reader
	// of the output: some seconds of lines at one entry under overload.
	urgentLines   = 1024
	ordinaryLines = 256
	// maxLine bounds a line in bytes; with the two bounds above, the lines that
	// wait take 5 MB at most.
	maxLine = 4 << 10
	// maxWrite bounds what is written at once, in bytes.
	maxWrite = 64 << 10
)

// Outlet is a task that owns the output of the log. Whoever logs never waits
// for the reader: when too many lines wait, further ones are dropped and
// counted. Ordinary lines are those of requests that were served; all others
// are urgent and have a queue of their own, so that failures keep their lines
// longest.
type Outlet struct {
	urgent   chan []byte
	ordinary chan []byte
	out      io.Writer
	dropped  *metrics.Counter
	stop     chan struct{}
	done     chan struct{}
}

// OrdinaryField marks a line as ordinary when its value is true. The field
// itself is not written.
const OrdinaryField = "ordinary"

// NewOutlet starts the task.
func NewOutlet(out io.Writer, m *metrics.Set) *Outlet {
	o := &Outlet{
		urgent: make(chan []byte, urgentLines), ordinary: make(chan []byte, ordinaryLines), out: out,
		dropped: m.GetOrCreateCounter("oriolepost_log_lines_dropped_total"),
		stop:    make(chan struct{}), done: make(chan struct{}),
	}
	go o.run()
	return o
}

// HandleLog implements log.Handler. It never blocks.
func (o *Outlet) HandleLog(e *log.Entry) error {
	queue := o.urgent
	if ordinary, ok := e.Fields[OrdinaryField].(bool); ok {
		delete(e.Fields, OrdinaryField)
		if ordinary {
			queue = o.ordinary
		}
	}
	var line bytes.Buffer
	if err := json.New(&line).HandleLog(e); err != nil {
		return fmt.Errorf("encode log line: %w", err)
	}
	if line.Len() > maxLine {
		o.dropped.Inc()
		return nil
	}
	select {
	case queue <- line.Bytes():
	default:
		o.dropped.Inc()
	}
	return nil
}

// run writes the lines that wait, many at once.
func (o *Outlet) run() {
	defer close(o.done)
	told := uint64(0)
	for {
		var b bytes.Buffer
		select {
		case line := <-o.urgent:
			b.Write(line)
		case line := <-o.ordinary:
			b.Write(line)
		case <-o.stop:
			o.flush()
			return
		}
		o.gather(&b)
		if n := o.dropped.Get(); n > told {
			fmt.Fprintf(&b, `{"fields":{"change":"log","dropped":%d},"level":"warn","message":"log lines dropped"}`+"\n", n-told)
			told = n
		}
		// An output that nobody reads any more is no reason to stop.
		_, _ = o.out.Write(b.Bytes())
	}
}

// flush writes all lines that wait, in as many writes as they need.
func (o *Outlet) flush() {
	for {
		var b bytes.Buffer
		o.gather(&b)
		if b.Len() == 0 {
			return
		}
		_, _ = o.out.Write(b.Bytes())
	}
}

// gather takes the lines that wait, up to a bound.
func (o *Outlet) gather(b *bytes.Buffer) {
	for b.Len() < maxWrite {
		select {
		case line := <-o.urgent:
			b.Write(line)
			continue
		default:
		}
		select {
		case line := <-o.ordinary:
			b.Write(line)
		default:
			return
		}
	}
}

// Close writes what waits and ends the task, or gives up with the context.
func (o *Outlet) Close(ctx context.Context) {
	close(o.stop)
	select {
	case <-o.done:
	case <-ctx.Done():
	}
}
