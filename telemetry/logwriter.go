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
	// maxUrgentLines and maxOrdinaryLines are the lengths of the two queues of
	// lines that wait to be written. They hold the lines of a few seconds at an
	// entry under overload.
	maxUrgentLines   = 1024
	maxOrdinaryLines = 256
	// maxLineBytes limits a line. With the lengths above, the queued lines take
	// 5 MB at most.
	maxLineBytes = 4 << 10
	// maxWriteBytes is the size from which on no further line is added to a
	// write.
	maxWriteBytes = 64 << 10
)

// LogWriter is a task that owns the output of the log. Logging never blocks,
// even if nobody reads the output: a line for which its queue has no space is
// dropped and counted. There are two queues. Ordinary lines are those of
// requests that were served; all others are urgent. The queues are separate, so
// that ordinary lines can't displace those of failures.
type LogWriter struct {
	urgent   chan []byte
	ordinary chan []byte
	output   io.Writer
	dropped  *metrics.Counter
	stop     chan struct{}
	done     chan struct{}
}

// LowPriorityField is the field that marks a line as ordinary when its value is
// true. The field itself is not written.
const LowPriorityField = "ordinary"

// NewLogWriter starts the task, which ends with Close.
func NewLogWriter(output io.Writer, m *metrics.Set) *LogWriter {
	o := &LogWriter{
		urgent: make(chan []byte, maxUrgentLines), ordinary: make(chan []byte, maxOrdinaryLines), output: output,
		dropped: m.GetOrCreateCounter("oriolepost_log_lines_dropped_total"),
		stop:    make(chan struct{}), done: make(chan struct{}),
	}
	go o.run()
	return o
}

// HandleLog implements log.Handler. It never blocks. It drops and counts lines that
// are longer than maxLineBytes or for which the queue has no space.
func (o *LogWriter) HandleLog(e *log.Entry) error {
	queue := o.urgent
	if ordinary, ok := e.Fields[LowPriorityField].(bool); ok {
		delete(e.Fields, LowPriorityField)
		if ordinary {
			queue = o.ordinary
		}
	}
	var line bytes.Buffer
	if err := json.New(&line).HandleLog(e); err != nil {
		return fmt.Errorf("encode log line: %w", err)
	}
	if line.Len() > maxLineBytes {
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

// run writes the queued lines, many in one write.
func (o *LogWriter) run() {
	defer close(o.done)
	reported := uint64(0)
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
		o.takeQueued(&b)
		if n := o.dropped.Get(); n > reported {
			fmt.Fprintf(&b, `{"fields":{"change":"log","dropped":%d},"level":"warn","message":"log lines dropped"}`+"\n", n-reported)
			reported = n
		}
		// The error is ignored: the instance must not stop because nobody reads
		// its log any more.
		_, _ = o.output.Write(b.Bytes())
	}
}

// flush writes all queued lines, in as many writes as they need.
func (o *LogWriter) flush() {
	for {
		var b bytes.Buffer
		o.takeQueued(&b)
		if b.Len() == 0 {
			return
		}
		_, _ = o.output.Write(b.Bytes())
	}
}

// takeQueued moves queued lines to a buffer, urgent ones first, until it holds
// maxWriteBytes.
func (o *LogWriter) takeQueued(b *bytes.Buffer) {
	for b.Len() < maxWriteBytes {
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

// Close ends the task. It returns when all queued lines have been written, or when
// the context is done.
func (o *LogWriter) Close(ctx context.Context) {
	close(o.stop)
	select {
	case <-o.done:
	case <-ctx.Done():
	}
}
