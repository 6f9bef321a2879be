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
	// maxHighPriorityLines and maxLowPriorityLines are the lengths of the two
	// queues of lines that wait to be written. They hold the lines of a few seconds
	// at an entry under overload.
	maxHighPriorityLines = 1024
	maxLowPriorityLines  = 256
	// maxLineBytes limits a line. With the lengths above, the queued lines take
	// 5 MiB at most.
	maxLineBytes = 4 << 10
	// maxWriteBytes is the size from which on no further line is added to a
	// write.
	maxWriteBytes = 64 << 10
)

// LogWriter is a task that owns the output of the log. Logging never blocks, even
// if nobody reads the output: a line for which its queue has no space is dropped
// and counted. There are two queues. Lines with [LowPriorityField] have low
// priority: those of requests that were served with a status below 500. All others
// have high priority. The queues are separate, so that lines of served requests
// can't displace those of failures.
type LogWriter struct {
	highPriority chan []byte
	lowPriority  chan []byte
	output       io.Writer
	dropped      *metrics.Counter
	stop         chan struct{}
	done         chan struct{}
}

// LowPriorityField is the field that gives a line low priority when its value is
// true. The field itself is not written.
const LowPriorityField = "ordinary"

// NewLogWriter starts the task, which ends with Close.
func NewLogWriter(output io.Writer, m *metrics.Set) *LogWriter {
	w := &LogWriter{
		highPriority: make(chan []byte, maxHighPriorityLines), lowPriority: make(chan []byte, maxLowPriorityLines), output: output,
		dropped: m.GetOrCreateCounter("oriolepost_log_lines_dropped_total"),
		stop:    make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// HandleLog implements log.Handler. It never blocks. It drops and counts lines that
// are longer than maxLineBytes or for which the queue has no space.
func (w *LogWriter) HandleLog(e *log.Entry) error {
	queue := w.highPriority
	if lowPriority, ok := e.Fields[LowPriorityField].(bool); ok {
		delete(e.Fields, LowPriorityField)
		if lowPriority {
			queue = w.lowPriority
		}
	}
	var line bytes.Buffer
	if err := json.New(&line).HandleLog(e); err != nil {
		return fmt.Errorf("encode log line: %w", err)
	}
	if line.Len() > maxLineBytes {
		w.dropped.Inc()
		return nil
	}
	select {
	case queue <- line.Bytes():
	default:
		w.dropped.Inc()
	}
	return nil
}

// run writes the queued lines, many in one write.
func (w *LogWriter) run() {
	defer close(w.done)
	reported := uint64(0)
	for {
		var b bytes.Buffer
		select {
		case line := <-w.highPriority:
			b.Write(line)
		case line := <-w.lowPriority:
			b.Write(line)
		case <-w.stop:
			w.flush()
			return
		}
		w.takeQueued(&b)
		if n := w.dropped.Get(); n > reported {
			fmt.Fprintf(&b, `{"fields":{"change":"log","dropped":%d},"level":"warn","message":"log lines dropped"}`+"\n", n-reported)
			reported = n
		}
		// The error is ignored: the instance must not stop because nobody reads
		// its log any more.
		_, _ = w.output.Write(b.Bytes())
	}
}

// flush writes all queued lines, in as many writes as they need.
func (w *LogWriter) flush() {
	for {
		var b bytes.Buffer
		w.takeQueued(&b)
		if b.Len() == 0 {
			return
		}
		_, _ = w.output.Write(b.Bytes())
	}
}

// takeQueued moves queued lines to a buffer, those of high priority first, until it
// holds maxWriteBytes.
func (w *LogWriter) takeQueued(b *bytes.Buffer) {
	for b.Len() < maxWriteBytes {
		select {
		case line := <-w.highPriority:
			b.Write(line)
			continue
		default:
		}
		select {
		case line := <-w.lowPriority:
			b.Write(line)
		default:
			return
		}
	}
}

// Close ends the task. It returns when all queued lines have been written, or when
// the context is done.
func (w *LogWriter) Close(ctx context.Context) {
	close(w.stop)
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}
