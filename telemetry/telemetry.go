// Package telemetry creates the logger and the tracer of an instance.
//
// Logs are JSON lines that contain the instance and its failure domain. There is
// one line for each change of state; frequent events are counted by metrics
// instead. Traces are OpenTelemetry spans, written as JSON to a file. A call with a
// W3C trace context is traced if that context is sampled. Of the calls without
// one, a ratio is traced.
//
// # Usage
//
//	logger := telemetry.Logger(os.Stderr, settings)
//	tracer, stop, err := telemetry.Tracer(settings)
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/oriolepost/oriolepost/settings"
)

// tracePerm is the permission of a new trace file.
const tracePerm = 0o600

// Logger returns the logger of an instance, which writes each line directly to w.
func Logger(w io.Writer, s settings.Settings) log.Interface {
	l := &log.Logger{Handler: json.New(w), Level: log.MustParseLevel(s.LogLevel)}
	return l.WithFields(log.Fields{"instance": s.Instance, "failure_domain": s.Domain})
}

// DeploymentLogger returns the logger of an instance on a platform, which
// writes through a LogWriter.
func DeploymentLogger(o *LogWriter, d settings.Deployment) log.Interface {
	l := &log.Logger{Handler: o, Level: log.InfoLevel}
	return l.WithFields(log.Fields{"instance": d.Instance, "failure_domain": d.Domain})
}

// Tracer returns the tracer of an instance, and a function that flushes and closes
// it. Without a trace file in the settings, the tracer does nothing.
func Tracer(s settings.Settings) (t trace.Tracer, stop func(context.Context) error, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start traces: %w", err)
		}
	}()
	if s.Trace.File == "" {
		return noop.NewTracerProvider().Tracer("oriolepost"), func(context.Context) error { return nil }, nil
	}
	file, err := os.OpenFile(s.Trace.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, tracePerm)
	if err != nil {
		return nil, nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, nil, errors.Join(err, file.Close())
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Trace.Share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("instance", s.Instance), attribute.String("failure_domain", s.Domain),
		)),
	)
	stop = func(ctx context.Context) error { return errors.Join(p.Shutdown(ctx), file.Close()) }
	return p.Tracer("oriolepost"), stop, nil
}
